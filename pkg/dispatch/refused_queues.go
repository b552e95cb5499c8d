package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/admission"
	"foldarch.dev/foldarch/pkg/advice"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/queue"
)

// RefusedQueues lists the queues that should take in no jobs now, in the order of the configuration. While former owners' runs are looked for,
// nobody knows what is owed.
func (p *Pool) RefusedQueues(now clock.Time) []admission.Refusal {
	if p.config == nil || !p.jobsLoaded || p.takeover.mayRunAnyJob() {
		return nil
	}
	load := admission.Load{
		Age: now.Sub(p.createdAt), Advisers: p.advice.advisers.WorkingCount(now), PendingAdvice: p.pendingAdviceTime(),
		IsMostlyUsed: func(pool string) bool { return p.poolLoad(pool).isMostlyUsed() },
	}
	return load.Refusals(p.config.Queues)
}

// pendingAdviceTime sums up by priority the time of the calls for advice that accepted jobs still need.
func (p *Pool) pendingAdviceTime() admission.PendingAdvice {
	owed := admission.PendingAdvice{}
	for _, j := range p.jobs {
		if j.outcome != "" || j.queue.Advice == nil {
			continue
		}
		for s := range j.steps() {
			if n := s.idleTasks; n > 0 && !p.awaitsQuota(s) {
				owed[j.queue.Priority] += p.expectedAdviceTime(&j.queue, n)
			}
		}
	}
	return owed
}

// expectedAdviceTime is what the calls are expected to take for a number of tasks.
func (p *Pool) expectedAdviceTime(q *queue.Queue, tasks int) time.Duration {
	return time.Duration(p.advice.rounds.Of(q.Name) * float64(p.adviceRoundTime(q, tasks)))
}

// adviceRoundTime is what the calls take that name just as many workers as a number of tasks needs, with one task on each.
func (p *Pool) adviceRoundTime(q *queue.Queue, tasks int) time.Duration {
	return advice.RoundTime(*q.Advice, tasks, p.advice.rates.Of(q.Name), p.poolLoad(q.Pool).workers)
}

// updateAdviceRounds takes in what the calls for a step took that has finished.
func (p *Pool) updateAdviceRounds(s *step) {
	q := &s.occurrence.job.queue
	if q.Advice == nil || s.advice.callTime == 0 {
		return
	}
	p.advice.rounds.Learn(q.Name, s.advice.callTime, p.adviceRoundTime(q, len(s.tasks)))
}
