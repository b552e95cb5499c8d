package dispatch

import (
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/worth"
)

// waitingWork is what the standing of a step depends on.
func (s *step) waitingWork() worth.Work {
	return worth.Work{
		Lasts: s.lasting(), Beyond: s.time.job.beyond, ReadySince: s.readySince,
		Objective: s.time.objective, Latest: s.time.latest, Chain: s.chain,
	}
}

// standing says what the end of a step can still be worth.
func (s *step) standing(now clock.Time) worth.Standing {
	w := s.waitingWork()
	return w.Standing(now)
}

// lasting says that the step's tasks serve until the job is cancelled. Those that fill what
// others leave serve nobody and can wait.
func (s *step) lasting() bool {
	return s.spec.LongRunning && !s.spec.Filler
}

// place is what decides when a step has its turn.
func (s *step) place(now clock.Time) worth.Place {
	w := s.waitingWork()
	return worth.Place{Standing: w.Standing(now), Priority: s.time.job.queue.Priority, Latest: w.LatestStart(), Number: s.number}
}
