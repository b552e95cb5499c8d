package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/runend"
)

// timeLeft is how long a run is expected to go on, by its progress or, before there is any, by the
// estimate that came with its job. A run that should have ended is expected to end at once.
func (r *run) timeLeft(now clock.Time) time.Duration {
	return max(r.expectedTimeLeft(now), 0)
}

// expectedTimeLeft is left for a run that should not have ended yet, and below 0 for one that should have.
func (r *run) expectedTimeLeft(now clock.Time) time.Duration {
	s := r.task.step
	switch {
	case r.stopRequested:
		return 0
	case s.spec.LongRunning:
		return runend.Never
	case r.state != runActive:
		return s.spec.Estimate
	}
	return r.progress.TimeLeft(s.spec.Estimate, r.runningSince, now)
}

// freeWithin is what a worker is expected to have free after a time.
func (w *worker) freeWithin(within time.Duration, now clock.Time) cell.Resources {
	free := w.free()
	for _, r := range w.runs {
		if runend.EndsWithin(r.expectedTimeLeft(now), within) {
			free = free.Add(r.task.step.spec.Need())
		}
	}
	return free
}

// timeUntilRoom is how long it is expected to take until a worker has room for one more task of a step;
// runend.Never when it never has.
func (w *worker) timeUntilRoom(s *step, now clock.Time) time.Duration {
	need, free := s.spec.Need(), w.free()
	if need.Fits(free) {
		return 0
	}
	ends := make([]runend.ExpectedEnd, 0, len(w.runs))
	for _, r := range w.runs {
		ends = append(ends, runend.ExpectedEnd{In: r.timeLeft(now), Resources: r.task.step.spec.Need()})
	}
	return runend.TimeUntilRoom(need, free, ends)
}
