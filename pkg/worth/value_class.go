package worth

import (
	"math"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// ValueClass is what the end of a step's work can still be worth. A lower one goes first.
type ValueClass int

// The standings.
const (
	// Overdue: a task that lasts and has been away for too long. It goes before all others.
	Overdue ValueClass = iota - 1
	InTime
	Late
	// OverShare: its customer sends more than its weight. It goes after what others send within theirs, as long as its end is worth something.
	OverShare
	NoValue
)

// MaxServiceWait is how long a task that lasts may wait for its turn among others of its priority.
// The platform counts one lost that is away for 3 s while there could be room; a start takes
// up to 0.4 s for a stop that makes the room, and a call for advice before.
const MaxServiceWait = time.Second

// Work is what the standing of a step depends on.
type Work struct {
	// LongRunning says that its tasks serve until the job is cancelled.
	LongRunning bool
	// OverShare says that its customer sends more than its weight.
	OverShare bool
	// ReadySince is when its tasks began to wait.
	ReadySince clock.Time
	// Objective is when all tasks of the job should have ended, and Latest the last moment at which that is still worth something.
	Objective, LatestUsefulEnd clock.Time
	// ChainEstimate is the estimated time from the start of the step to the end of the job.
	ChainEstimate time.Duration
}

// ValueClass says what the end of the work can still be worth. Tasks that last serve whenever they run,
// so they never come too late.
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

// LatestStart is the last moment at which the work may begin for its job to end in time. A task that
// lasts is due at once.
func (w *Work) LatestStart() clock.Time {
	if w.LongRunning {
		return w.ReadySince
	}
	return w.Objective.Add(-w.ChainEstimate)
}

// NextClassChange is when the standing changes that a step has at a time; NoChange when it does not.
func (w *Work) NextClassChange(now clock.Time) clock.Time {
	first := NoChange
	for _, last := range []clock.Time{w.ReadySince.Add(MaxServiceWait), w.Objective, w.LatestUsefulEnd} {
		if next := last + 1; next > now && w.ValueClass(next) != w.ValueClass(now) {
			first = min(first, next)
		}
	}
	return first
}

// NoChange is the time of a change that does not come.
const NoChange = clock.Time(math.MaxInt64)
