package dispatch

import (
	"cmp"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
)

// minPercent is the progress from which a run's end can be told: reports give whole percents, so that
// with less the speed is off by a fifth or more.
const minPercent = 5

// farOff stands for the end of what lasts.
const farOff = 24 * time.Hour

// left is how long a run is expected to go on, by its progress or, before there is any, by the
// estimate that came with its job. A run that should have ended is expected to end at once.
func (r *run) left(now clock.Time) time.Duration {
	return max(r.expectedIn(now), 0)
}

// expectedIn is left for a run that should not have ended yet, and below 0 for one that should have.
func (r *run) expectedIn(now clock.Time) time.Duration {
	s := r.task.step
	switch {
	case r.stopAsked:
		return 0
	case s.spec.LongRunning:
		return farOff
	case r.state != runActive:
		return s.spec.Estimate
	}
	elapsed := now.Sub(r.confirmedAt)
	if r.percent >= minPercent && r.startPercent < r.percent {
		done := r.percent - r.startPercent
		return r.percentAt.Sub(r.confirmedAt)*time.Duration(100-r.percent)/time.Duration(done) - now.Sub(r.percentAt)
	}
	return s.spec.Estimate - elapsed
}

// overdueAfter is how long after it should have ended a run is no longer expected to end soon: one that stands still would hold up a step for ever that
// counts on its room.
const overdueAfter = 500 * time.Millisecond

// freeBy is what a worker is expected to have free after a time.
func (w *worker) freeBy(within time.Duration, now clock.Time) cell.Resources {
	free := w.free()
	for _, r := range w.runs {
		if in := r.expectedIn(now); in <= within && in > -overdueAfter {
			free = free.Add(r.task.step.spec.Need())
		}
	}
	return free
}

// roomIn is how long it is expected to take until a worker has room for one more task of a step;
// farOff when it never has.
func (w *worker) roomIn(s *step, now clock.Time) time.Duration {
	need, free := s.spec.Need(), w.free()
	if need.Fits(free) {
		return 0
	}
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.left(now), b.left(now)) })
	for _, r := range runs {
		free = free.Add(r.task.step.spec.Need())
		if need.Fits(free) {
			return r.left(now)
		}
	}
	return farOff
}
