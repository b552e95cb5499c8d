package admission

import (
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/queue"
)

const (
	// MostAdviceWait is how long the calls may take that go before those of a new job. What became of jobs is asked 14 s after
	// the last was handed in: its own call and a run of 4 s come after the wait.
	MostAdviceWait = 9 * time.Second
	// JoinTime is how long the processes that make calls may take to join a new owner. Before that it knows of few, and would refuse what
	// all of them get through.
	JoinTime = 5 * time.Second
)

// Refusal says that a queue takes in no jobs for now.
type Refusal struct {
	Queue string
	// Wait is how long the calls for advice take that go before those of a new job, and RetryAfter when they will be fewer, or may be.
	Wait, RetryAfter time.Duration
}

// Owed is the time of the calls for advice that accepted jobs still need, by priority; a lower one goes first.
type Owed map[int]time.Duration

// before is the time of the calls that go before those of a new job of a priority.
func (o Owed) before(priority int) time.Duration {
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
	Advisers int
	Owed     Owed
	// WellUsed says that most of a pool of workers is in use.
	WellUsed func(pool string) bool
}

// Refusals lists the queues that should take in no jobs, in their order. It lists none before the processes that make calls have joined.
func (l Load) Refusals(queues []queue.Queue) []Refusal {
	if l.Advisers == 0 || l.Age < JoinTime {
		return nil
	}
	var out []Refusal
	for _, q := range queues {
		if q.Advice == nil || l.WellUsed(q.Pool) {
			continue
		}
		if wait := l.Owed.before(q.Priority) / time.Duration(l.Advisers); wait > MostAdviceWait {
			out = append(out, Refusal{Queue: q.Name, Wait: wait, RetryAfter: min(wait-MostAdviceWait, MostAdviceWait)})
		}
	}
	return out
}

// SameQueues says whether two lists refuse the jobs of the same queues.
func SameQueues(a, b []Refusal) bool {
	return slices.EqualFunc(a, b, func(x, y Refusal) bool { return x.Queue == y.Queue })
}
