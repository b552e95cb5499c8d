package dispatch

import (
	"cmp"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// LongWait is a step that has waited for long though its pool has room.
type LongWait struct {
	Step     job.StepID
	Customer string
	Waited   time.Duration // since this owner knows that its turn has come
	// Left is what is left of its job's objective, below 0 once that has passed; 0 for tasks that last, which have none.
	Left time.Duration
	// Waits is for what (StepView.Waits).
	Waits string
}

// LongWaits lists up to most steps of jobs of which nothing runs that have waited for a time at least while their pool is not well used, those first
// that have waited longest. A job that is lost in a pool with room is one of them until then, so that logs tell its cause.
func (p *Pool) LongWaits(least time.Duration, most int, now clock.Time) []LongWait {
	var waiting []*step
	for s := range p.ready.all() {
		j := s.time.job
		if now.Sub(s.readySince) >= least && !j.runs() && !p.load(j.queue.Pool).isWellUsed() {
			waiting = append(waiting, s)
		}
	}
	slices.SortFunc(waiting, func(a, b *step) int {
		return cmp.Or(cmp.Compare(a.readySince, b.readySince), cmp.Compare(a.number, b.number))
	})
	var out []LongWait
	for _, s := range waiting[:min(len(waiting), most)] {
		waits := p.waitsFor(s, now)
		if p.blocked(s.time.job) {
			waits = blockedText
		}
		out = append(out, LongWait{s.id(), s.time.job.customer.Name, now.Sub(s.readySince), s.left(now), waits})
	}
	return out
}

// left is what is left of the objective of a step's job; 0 for tasks that last.
func (s *step) left(now clock.Time) time.Duration {
	if s.spec.LongRunning {
		return 0
	}
	return s.time.objective.Sub(now)
}
