package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/admission"
	"foldarch.dev/foldarch/pkg/advice"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/queue"
)

// Refusals lists the queues that should take in no jobs now, in the order of the configuration. While former owners' runs are looked for,
// nobody knows what is owed.
func (p *Pool) Refusals(now clock.Time) []admission.Refusal {
	if p.config == nil || !p.loaded || p.takeover.mayRunAnything() {
		return nil
	}
	load := admission.Load{
		Age: now.Sub(p.createdAt), Advisers: p.advice.advisers.Working(now), Owed: p.adviceOwed(),
		WellUsed: func(pool string) bool { return p.load(pool).isWellUsed() },
	}
	return load.Refusals(p.config.Queues)
}

// adviceOwed sums up by priority the time of the calls for advice that accepted jobs still need.
func (p *Pool) adviceOwed() admission.Owed {
	owed := admission.Owed{}
	for _, j := range p.jobs {
		if j.outcome != "" || j.queue.Advice == nil {
			continue
		}
		for s := range j.steps() {
			if n := s.idle; n > 0 && !p.awaitsQuota(s) {
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
