package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/runend"
)

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
		return runend.Never
	case r.state != runActive:
		return s.spec.Estimate
	}
	return r.progress.EndsIn(s.spec.Estimate, r.confirmedAt, now)
}

// freeBy is what a worker is expected to have free after a time.
func (w *worker) freeBy(within time.Duration, now clock.Time) cell.Resources {
	free := w.free()
	for _, r := range w.runs {
		if runend.Within(r.expectedIn(now), within) {
			free = free.Add(r.task.step.spec.Need())
		}
	}
	return free
}

// roomIn is how long it is expected to take until a worker has room for one more task of a step;
// runend.Never when it never has.
func (w *worker) roomIn(s *step, now clock.Time) time.Duration {
	need, free := s.spec.Need(), w.free()
	if need.Fits(free) {
		return 0
	}
	ends := make([]runend.End, 0, len(w.runs))
	for _, r := range w.runs {
		ends = append(ends, runend.End{In: r.left(now), Frees: r.task.step.spec.Need()})
	}
	return runend.RoomIn(need, free, ends)
}
