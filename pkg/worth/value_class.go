package worth

import (
	"math"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// Standing is what the end of a step's work can still be worth. A lower one goes first.
type Standing int

// The standings.
const (
	// Overdue: a task that lasts and has been away for too long. It goes before all others.
	Overdue Standing = iota - 1
	InTime
	Late
	// Beyond: its customer sends more than its weight. It goes after what others send within theirs, as long as its end is worth something.
	Beyond
	Worthless
)

// OverdueAfter is how long a task that lasts may wait for its turn among others of its priority.
// The platform counts one lost that is away for 3 s while there could be room; a start takes
// up to 0.4 s for a stop that makes the room, and a call for advice before.
const OverdueAfter = time.Second

// Work is what the standing of a step depends on.
type Work struct {
	// Lasts says that its tasks serve until the job is cancelled.
	Lasts bool
	// Beyond says that its customer sends more than its weight.
	Beyond bool
	// ReadySince is when its tasks began to wait.
	ReadySince clock.Time
	// Objective is when all tasks of the job should have ended, and Latest the last moment at which that is still worth something.
	Objective, Latest clock.Time
	// Chain is the estimated time from the start of the step to the end of the job.
	Chain time.Duration
}

// Standing says what the end of the work can still be worth. Tasks that last serve whenever they run,
// so they never come too late.
func (w *Work) Standing(now clock.Time) Standing {
	switch {
	case w.Lasts && now.Sub(w.ReadySince) > OverdueAfter:
		return Overdue
	case w.Beyond && !w.Lasts && now <= w.Latest:
		return Beyond
	case w.Lasts || now <= w.Objective:
		return InTime
	case now <= w.Latest:
		return Late
	}
	return Worthless
}

// LatestStart is the last moment at which the work may begin for its job to end in time. A task that
// lasts is due at once.
func (w *Work) LatestStart() clock.Time {
	if w.Lasts {
		return w.ReadySince
	}
	return w.Objective.Add(-w.Chain)
}

// StandingChanges is when the standing changes that a step has at a time; NeverChanges when it does not.
func (w *Work) StandingChanges(now clock.Time) clock.Time {
	first := NeverChanges
	for _, last := range []clock.Time{w.ReadySince.Add(OverdueAfter), w.Objective, w.Latest} {
		if next := last + 1; next > now && w.Standing(next) != w.Standing(now) {
			first = min(first, next)
		}
	}
	return first
}

// NeverChanges is the time of a change that does not come.
const NeverChanges = clock.Time(math.MaxInt64)
