package dispatch

import (
	"cmp"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// DelayedStep is a step that has waited for a long time although its pool has room.
type DelayedStep struct {
	Step     job.StepID
	Customer string
	Waited   time.Duration // since the step became ready under this owner
	// TimeLeft is the time until its job's objective, negative once that has passed; 0 for long-running
	// tasks, which have none.
	TimeLeft time.Duration
	// Cause and WaitReason (StepView.WaitReason) say what it waits for.
	Cause      WaitCause
	WaitReason string
}

// DelayedSteps lists up to maxSteps steps of jobs without runs that have waited for minWait while their
// pool is not mostly used, those that have waited longest first. A job that is lost in a pool with room is
// listed until then, so that the logs show the cause.
func (p *Pool) DelayedSteps(minWait time.Duration, maxSteps int, now clock.Time) []DelayedStep {
	waiting := p.idleSteps(minWait, now)
	slices.SortFunc(waiting, func(a, b *step) int {
		return cmp.Or(cmp.Compare(a.readySince, b.readySince), cmp.Compare(a.seq, b.seq))
	})
	var out []DelayedStep
	for _, s := range waiting[:min(len(waiting), maxSteps)] {
		reason := p.waitReason(s, now)
		if p.isStepBlockedByTakeover(s) {
			reason = blockedJobReason
		}
		out = append(out, DelayedStep{s.id(), s.occurrence.job.customer.Name, now.Sub(s.readySince), s.timeLeft(now), p.waitCause(s, now), reason})
	}
	return out
}

// timeLeft is the time until the objective of a step's job; 0 for long-running tasks.
func (s *step) timeLeft(now clock.Time) time.Duration {
	if s.spec.LongRunning {
		return 0
	}
	return s.occurrence.objective.Sub(now)
}
