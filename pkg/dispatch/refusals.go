package dispatch

import (
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/advice"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/queue"
)

// Which queues have to refuse jobs since advice is short. A host makes one call at a time, so with few hosts more calls may be needed than are made,
// while most of the workers' room is free. What is accepted then waits ever longer, and some of it never runs: with two hosts and 2.7 s of calls a second, up
// to 27 accepted jobs of a minute's load had not begun 14 s after its end. So a queue takes in no more while the calls that go before its own
// take longer than a job may wait. Short room is no reason: the order drops what comes too late, and the workers are busy.

const (
	// mostAdviceWait is how long the calls may take that go before those of a new job. The platform asks for all jobs 14 s after the last was handed
	// in: a call and a run of 4 s come after the wait. With 3 s, work that can wait was refused that would have ended in its objective, and a pool
	// with two hosts earned 0.02 to 0.16 less (four days, one play each).
	mostAdviceWait = 9 * time.Second
	// joinTime is how long the hosts may take to join a new owner. Before that it knows of few that make calls: one refused a job for 49 s, with 147
	// hosts about to join.
	joinTime = 5 * time.Second
)

// Refusal says that a queue takes in no jobs for now.
type Refusal struct {
	Queue string
	// Wait is how long the calls for advice take that go before those of a new job, and RetryAfter when they will be fewer, or may be.
	Wait, RetryAfter time.Duration
}

// Refusals lists the queues that should take in no jobs now, in the order of the configuration. While former owners' runs are looked for,
// nobody knows what is owed, and shortly before that nobody knows who makes calls.
func (p *Pool) Refusals(now clock.Time) []Refusal {
	advisers := p.advice.advisers.Working(now)
	if p.config == nil || !p.loaded || p.takeover.pending || advisers == 0 || now.Sub(p.createdAt) < joinTime {
		return nil
	}
	owed := p.adviceOwed()
	var out []Refusal
	for _, q := range p.config.Queues {
		if q.Advice == nil || p.load(q.Pool).isWellUsed() {
			continue
		}
		var ahead time.Duration
		for priority, d := range owed {
			if priority <= q.Priority {
				ahead += d
			}
		}
		if wait := ahead / time.Duration(advisers); wait > mostAdviceWait {
			out = append(out, Refusal{Queue: q.Name, Wait: wait, RetryAfter: min(wait-mostAdviceWait, mostAdviceWait)})
		}
	}
	return out
}

// adviceOwed sums up by priority the time of the calls for advice that accepted jobs still need.
func (p *Pool) adviceOwed() map[int]time.Duration {
	owed := map[int]time.Duration{}
	for _, j := range p.jobs {
		if j.outcome != "" || j.queue.Advice == nil {
			continue
		}
		for s := range j.steps() {
			if n := s.waitingTasks(); n > 0 && !p.awaitsQuota(s) {
				owed[j.queue.Priority] += p.adviceNeed(&j.queue, n)
			}
		}
	}
	return owed
}

// adviceNeed is what the calls are expected to take for a number of tasks.
func (p *Pool) adviceNeed(q *queue.Queue, tasks int) time.Duration {
	return time.Duration(p.advice.rounds.Of(q.Name) * float64(p.oneRound(q, tasks)))
}

// oneRound is what the calls take that name just as many workers as a number of tasks needs, with one task on each.
func (p *Pool) oneRound(q *queue.Queue, tasks int) time.Duration {
	return advice.OneRound(*q.Advice, tasks, p.advice.rates.Of(q.Name), p.load(q.Pool).workers)
}

// learnSpent takes in what the calls for a step took that has finished.
func (p *Pool) learnSpent(s *step) {
	q := &s.time.job.queue
	if q.Advice == nil || s.advice.spent == 0 {
		return
	}
	p.advice.rounds.Learn(q.Name, s.advice.spent, p.oneRound(q, len(s.tasks)))
}

// SameQueues says whether two lists refuse the jobs of the same queues.
func SameQueues(a, b []Refusal) bool {
	return slices.EqualFunc(a, b, func(x, y Refusal) bool { return x.Queue == y.Queue })
}
