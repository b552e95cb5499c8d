package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/admission"
	"foldarch.dev/foldarch/pkg/advice"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/queue"
	"foldarch.dev/foldarch/pkg/worth"
)

// RefusedQueues lists the queues that should accept no jobs now, in the order of the configuration. It
// lists none while unknown runs of previous owners may belong to any job, since the pending work is not
// known then.
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

// pendingAdviceTime sums up, by priority, the expected time of the advice calls that accepted jobs
// still need.
func (p *Pool) pendingAdviceTime() admission.PendingAdvice {
	pending := admission.PendingAdvice{}
	for _, j := range p.jobs {
		if j.outcome != "" || j.queue.Advice == nil {
			continue
		}
		for s := range j.steps() {
			if j.hasBacklog && s.valueClass(p.now) == worth.NoValue {
				continue // new jobs go first, and there may always be more of these
			}
			if n := s.idleTasks; n > 0 && !p.awaitsQuota(s) {
				pending[j.queue.Priority] += p.expectedAdviceTime(&j.queue, n)
			}
		}
	}
	return pending
}

// expectedAdviceTime returns how long the advice calls for the given number of tasks are expected to
// take.
func (p *Pool) expectedAdviceTime(q *queue.Queue, tasks int) time.Duration {
	return time.Duration(p.advice.rounds.Of(q.Name) * float64(p.adviceRoundTime(q, tasks)))
}

// adviceRoundTime returns how long one round of advice calls takes that asks about as many workers as
// the given number of tasks needs, with one task on each.
func (p *Pool) adviceRoundTime(q *queue.Queue, tasks int) time.Duration {
	return advice.RoundTime(*q.Advice, tasks, p.advice.rates.Of(q.Name), p.poolLoad(q.Pool).workers)
}

// updateAdviceRounds records how long the advice calls for a finished step took.
func (p *Pool) updateAdviceRounds(s *step) {
	q := &s.occurrence.job.queue
	if q.Advice == nil || s.advice.callTime == 0 {
		return
	}
	p.advice.rounds.Update(q.Name, s.advice.callTime, p.adviceRoundTime(q, s.spec.Count))
}
