package dispatch

import (
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/worth"
)

// pendingWork returns the properties of a step that determine its value class.
func (s *step) pendingWork() worth.Work {
	return worth.Work{
		LongRunning: s.isService(), OverShare: s.occurrence.job.overShare, ReadySince: s.readySince,
		Objective: s.occurrence.objective, LatestUsefulEnd: s.occurrence.latestUsefulEnd, ChainEstimate: s.chainEstimate,
	}
}

// valueClass returns what the end of a step can still be worth.
func (s *step) valueClass(now clock.Time) worth.ValueClass {
	w := s.pendingWork()
	return w.ValueClass(now)
}

// isService reports whether the step's tasks serve until the job is cancelled. Long-running fillers
// don't count: they serve nobody and can wait.
func (s *step) isService() bool {
	return s.spec.LongRunning && !s.spec.Filler
}

// rank returns the position of a step among the waiting steps.
func (s *step) rank(now clock.Time) worth.Rank {
	w := s.pendingWork()
	return worth.Rank{ValueClass: w.ValueClass(now), Priority: s.occurrence.job.queue.Priority, LatestStart: w.LatestStart(), Seq: s.seq}
}
