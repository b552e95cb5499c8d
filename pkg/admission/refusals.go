package admission

import (
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/queue"
)

const (
	// MaxAdviceWait is how long the advice calls may take that go before those of a new job. Callers
	// ask for the outcome of jobs 14 s after the last was submitted: after this wait, the job still needs
	// its own call and a run of 4 s.
	MaxAdviceWait = 9 * time.Second
	// AdviserJoinTime is how long the advisers may take to join a new owner. Before that, the owner knows
	// few of them, and would refuse jobs for which all of them suffice.
	AdviserJoinTime = 5 * time.Second
)

// Refusal says that a queue accepts no jobs for now.
type Refusal struct {
	Queue string
	// Wait is how long the advice calls take that go before those of a new job, and RetryAfter the
	// time after which there are few enough, or may be.
	Wait, RetryAfter time.Duration
}

// PendingAdvice is the time of the advice calls that accepted jobs still need, by priority. A lower
// number goes first.
type PendingAdvice map[int]time.Duration

// timeAhead returns the time of the calls that go before those of a new job of a priority.
func (p PendingAdvice) timeAhead(priority int) time.Duration {
	var ahead time.Duration
	for other, d := range p {
		if other <= priority {
			ahead += d
		}
	}
	return ahead
}

// Load is what an owner knows when it decides on refusals.
type Load struct {
	// Age is how long ago the owner began.
	Age time.Duration
	// Advisers is the number of processes that make advice calls or can make one.
	Advisers      int
	PendingAdvice PendingAdvice
	// IsMostlyUsed reports whether most of a pool is in use.
	IsMostlyUsed func(pool string) bool
}

// Refusals returns the queues that should accept no jobs, in the order of queues. It returns none before
// the advisers have joined.
func (l Load) Refusals(queues []queue.Queue) []Refusal {
	if l.Advisers == 0 || l.Age < AdviserJoinTime {
		return nil
	}
	var out []Refusal
	for _, q := range queues {
		if q.Advice == nil || l.IsMostlyUsed(q.Pool) {
			continue
		}
		if wait := l.PendingAdvice.timeAhead(q.Priority) / time.Duration(l.Advisers); wait > MaxAdviceWait {
			out = append(out, Refusal{Queue: q.Name, Wait: wait, RetryAfter: min(wait-MaxAdviceWait, MaxAdviceWait)})
		}
	}
	return out
}

// SameQueues reports whether two lists refuse jobs of the same queues.
func SameQueues(a, b []Refusal) bool {
	return slices.EqualFunc(a, b, func(x, y Refusal) bool { return x.Queue == y.Queue })
}
