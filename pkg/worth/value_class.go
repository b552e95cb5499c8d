package worth

import (
	"math"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// ValueClass says what the end of a step's work can still be worth. A lower class goes first.
type ValueClass int

// The value classes.
const (
	// Overdue: the step has a long-running task that has waited for too long. It goes before all others.
	Overdue ValueClass = iota - 1
	InTime
	Late
	// OverShare: the customer sends more than its weight. The step goes after those that other customers send
	// within theirs, while its end is worth something.
	OverShare
	NoValue
)

// MaxServiceWait is how long a long-running task may wait in order with others of its priority before its
// step is overdue. The platform counts such a task as lost if it does not run for 3 s while there could
// be room. A start takes up to 0.4 s when runs have to be stopped first to make room, and may need an
// advice call before.
const MaxServiceWait = time.Second

// Work is what a step's value class depends on.
type Work struct {
	// LongRunning says that the step's tasks run until the job is cancelled.
	LongRunning bool
	// OverShare says that the customer sends more than its weight.
	OverShare bool
	// ReadySince is when the tasks began to wait.
	ReadySince clock.Time
	// Objective is when all tasks of the job should have ended, and LatestUsefulEnd the last moment at
	// which their end is still worth something.
	Objective, LatestUsefulEnd clock.Time
	// ChainEstimate is the estimated time from the start of the step to the end of the job.
	ChainEstimate time.Duration
}

// ValueClass returns the class at a time. Long-running tasks serve whenever they run, so they are never
// too late.
func (w *Work) ValueClass(now clock.Time) ValueClass {
	switch {
	case w.LongRunning && now.Sub(w.ReadySince) > MaxServiceWait:
		return Overdue
	case w.OverShare && !w.LongRunning && now <= w.LatestUsefulEnd:
		return OverShare
	case w.LongRunning || now <= w.Objective:
		return InTime
	case now <= w.LatestUsefulEnd:
		return Late
	}
	return NoValue
}

// LatestStart returns the last moment at which the work may start for its job to end in time. A
// long-running task is due at once.
func (w *Work) LatestStart() clock.Time {
	if w.LongRunning {
		return w.ReadySince
	}
	return w.Objective.Add(-w.ChainEstimate)
}

// NextClassChange returns when the class that the work has at a time changes; NoChange when it does not.
func (w *Work) NextClassChange(now clock.Time) clock.Time {
	first := NoChange
	for _, last := range []clock.Time{w.ReadySince.Add(MaxServiceWait), w.Objective, w.LatestUsefulEnd} {
		if next := last + 1; next > now && w.ValueClass(next) != w.ValueClass(now) {
			first = min(first, next)
		}
	}
	return first
}

// NoChange is the time of a change that never comes.
const NoChange = clock.Time(math.MaxInt64)
