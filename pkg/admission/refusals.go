package admission

import (
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/queue"
)

const (
	// MaxAdviceWait is how long the calls may take that go before those of a new job. What became of jobs is asked 14 s after
	// the last was handed in: its own call and a run of 4 s come after the wait.
	MaxAdviceWait = 9 * time.Second
	// AdviserJoinTime is how long the processes that make calls may take to join a new owner. Before that it knows of few, and would refuse what
	// all of them get through.
	AdviserJoinTime = 5 * time.Second
)

// Refusal says that a queue takes in no jobs for now.
type Refusal struct {
	Queue string
	// Wait is how long the calls for advice take that go before those of a new job, and RetryAfter when they will be fewer, or may be.
	Wait, RetryAfter time.Duration
}

// PendingAdvice is the time of the calls for advice that accepted jobs still need, by priority; a lower one goes first.
type PendingAdvice map[int]time.Duration

// timeAhead is the time of the calls that go before those of a new job of a priority.
func (o PendingAdvice) timeAhead(priority int) time.Duration {
	var ahead time.Duration
	for other, d := range o {
		if other <= priority {
			ahead += d
		}
	}
	return ahead
}

// Load is what an owner knows when it decides.
type Load struct {
	// Age is how long ago the owner began.
	Age time.Duration
	// Advisers counts the processes that make calls, or can.
	Advisers      int
	PendingAdvice PendingAdvice
	// IsMostlyUsed says that most of a pool of workers is in use.
	IsMostlyUsed func(pool string) bool
}

// Refusals lists the queues that should take in no jobs, in their order. It lists none before the processes that make calls have joined.
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

// SameQueues says whether two lists refuse the jobs of the same queues.
func SameQueues(a, b []Refusal) bool {
	return slices.EqualFunc(a, b, func(x, y Refusal) bool { return x.Queue == y.Queue })
}
