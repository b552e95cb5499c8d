package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/runend"
)

// timeLeft is how long a run is expected to continue, by its progress or, before there is any, by the
// estimate that came with its job. It is 0 for a run that is overdue.
func (r *run) timeLeft(now clock.Time) time.Duration {
	return max(r.expectedTimeLeft(now), 0)
}

// expectedTimeLeft is like timeLeft, but negative for an overdue run.
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

// freeWithin returns the resources that a worker is expected to have free after a time.
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
// runend.Never when it never will.
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
