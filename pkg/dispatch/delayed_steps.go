package dispatch

import (
	"cmp"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// DelayedStep is a step that has waited for long though its pool has room.
type DelayedStep struct {
	Step     job.StepID
	Customer string
	Waited   time.Duration // since this owner knows that its turn has come
	// TimeLeft is what is left of its job's objective, below 0 once that has passed; 0 for tasks that last, which have none.
	TimeLeft time.Duration
	// WaitReason is for what (StepView.Waits).
	WaitReason string
}

// DelayedSteps lists up to most steps of jobs of which nothing runs that have waited for a time at least while their pool is not well used, those first
// that have waited longest. A job that is lost in a pool with room is one of them until then, so that logs tell its cause.
func (p *Pool) DelayedSteps(least time.Duration, most int, now clock.Time) []DelayedStep {
	var waiting []*step
	for s := range p.waitingSteps.all() {
		j := s.occurrence.job
		if now.Sub(s.readySince) >= least && !j.hasRuns() && !p.poolLoad(j.queue.Pool).isMostlyUsed() {
			waiting = append(waiting, s)
		}
	}
	slices.SortFunc(waiting, func(a, b *step) int {
		return cmp.Or(cmp.Compare(a.readySince, b.readySince), cmp.Compare(a.seq, b.seq))
	})
	var out []DelayedStep
	for _, s := range waiting[:min(len(waiting), most)] {
		waits := p.waitReason(s, now)
		if p.isBlockedByTakeover(s.occurrence.job) {
			waits = blockedJobReason
		}
		out = append(out, DelayedStep{s.id(), s.occurrence.job.customer.Name, now.Sub(s.readySince), s.timeLeft(now), waits})
	}
	return out
}

// timeLeft is what is left of the objective of a step's job; 0 for tasks that last.
func (s *step) timeLeft(now clock.Time) time.Duration {
	if s.spec.LongRunning {
		return 0
	}
	return s.occurrence.objective.Sub(now)
}
