package runend

import (
	"cmp"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
)

const (
	// Never stands for the end of what lasts.
	Never = 24 * time.Hour
	// minPercent is the progress from which a run's end can be told: reports give whole percents, so that
	// with less the speed is off by a fifth or more.
	minPercent = 5
	// overdueAfter is how long after it should have ended a run is no longer expected to end soon: one that stands still would hold up a step for ever that
	// counts on its room.
	overdueAfter = 500 * time.Millisecond
)

// Progress is what reports tell of a run.
type Progress struct {
	Percent int
	At      clock.Time // Percent changed last
	start   int        // at the first report, with what a checkpoint brought
	seen    bool
}

// Begin takes in that the run is known to go on.
func (p *Progress) Begin(now clock.Time) {
	p.At = now
}

// Observe takes in a report.
func (p *Progress) Observe(percent int, now clock.Time) {
	if !p.seen {
		p.seen, p.start = true, percent
	}
	if percent != p.Percent || p.At == 0 {
		p.Percent, p.At = percent, now
	}
}

// EndsIn is how long a run is expected to go on that began at a time, by its progress or, before there is any, by the
// estimate of its task. It is below 0 for one that should have ended.
func (p *Progress) EndsIn(estimate time.Duration, begun, now clock.Time) time.Duration {
	if p.Percent >= minPercent && p.start < p.Percent {
		done := p.Percent - p.start
		return p.At.Sub(begun)*time.Duration(100-p.Percent)/time.Duration(done) - now.Sub(p.At)
	}
	return estimate - now.Sub(begun)
}

// Within says that a run which is expected to end in a time does so within another one. What should have ended a while ago does not.
func Within(in, within time.Duration) bool {
	return in <= within && in > -overdueAfter
}

// End is the expected end of a run.
type End struct {
	In    time.Duration
	Frees cell.Resources
}

// RoomIn is how long it is expected to take until there is room for a need beside the runs that end; Never when there won't be.
func RoomIn(need, free cell.Resources, ends []End) time.Duration {
	if need.Fits(free) {
		return 0
	}
	slices.SortFunc(ends, func(a, b End) int { return cmp.Compare(a.In, b.In) })
	for _, e := range ends {
		free = free.Add(e.Frees)
		if need.Fits(free) {
			return e.In
		}
	}
	return Never
}
