package dispatch

import (
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/worth"
)

// pendingWork is what the standing of a step depends on.
func (s *step) pendingWork() worth.Work {
	return worth.Work{
		LongRunning: s.isService(), OverShare: s.occurrence.job.overShare, ReadySince: s.readySince,
		Objective: s.occurrence.objective, LatestUsefulEnd: s.occurrence.latestUsefulEnd, ChainEstimate: s.chainEstimate,
	}
}

// valueClass says what the end of a step can still be worth.
func (s *step) valueClass(now clock.Time) worth.ValueClass {
	w := s.pendingWork()
	return w.ValueClass(now)
}

// isService says that the step's tasks serve until the job is cancelled. Those that fill what
// others leave serve nobody and can wait.
func (s *step) isService() bool {
	return s.spec.LongRunning && !s.spec.Filler
}

// place is what decides when a step has its turn.
func (s *step) rank(now clock.Time) worth.Rank {
	w := s.pendingWork()
	return worth.Rank{ValueClass: w.ValueClass(now), Priority: s.occurrence.job.queue.Priority, LatestStart: w.LatestStart(), Seq: s.seq}
}
