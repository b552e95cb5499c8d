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
	// maxOverdue is how long after it should have ended a run is no longer expected to end soon: one that stands still would hold up a step for ever that
	// counts on its room.
	maxOverdue = 500 * time.Millisecond
)

// Progress is what reports tell of a run.
type Progress struct {
	Percent      int
	ChangedAt    clock.Time // Percent changed last
	firstPercent int        // at the first report, with what a checkpoint brought
	hasReport    bool
}

// Start takes in that the run is known to go on.
func (p *Progress) Start(now clock.Time) {
	p.ChangedAt = now
}

// Update takes in a report.
func (p *Progress) Update(percent int, now clock.Time) {
	if !p.hasReport {
		p.hasReport, p.firstPercent = true, percent
	}
	if percent != p.Percent || p.ChangedAt == 0 {
		p.Percent, p.ChangedAt = percent, now
	}
}

// TimeLeft is how long a run is expected to go on that began at a time, by its progress or, before there is any, by the
// estimate of its task. It is below 0 for one that should have ended.
func (p *Progress) TimeLeft(estimate time.Duration, begun, now clock.Time) time.Duration {
	if p.Percent >= minPercent && p.firstPercent < p.Percent {
		done := p.Percent - p.firstPercent
		return p.ChangedAt.Sub(begun)*time.Duration(100-p.Percent)/time.Duration(done) - now.Sub(p.ChangedAt)
	}
	return estimate - now.Sub(begun)
}

// EndsWithin says that a run which is expected to end in a time does so within another one. What should have ended a while ago does not.
func EndsWithin(in, within time.Duration) bool {
	return in <= within && in > -maxOverdue
}

// ExpectedEnd is the expected end of a run.
type ExpectedEnd struct {
	In        time.Duration
	Resources cell.Resources
}

// TimeUntilRoom is how long it is expected to take until there is room for a need beside the runs that end; Never when there won't be.
func TimeUntilRoom(need, free cell.Resources, ends []ExpectedEnd) time.Duration {
	if need.Fits(free) {
		return 0
	}
	slices.SortFunc(ends, func(a, b ExpectedEnd) int { return cmp.Compare(a.In, b.In) })
	for _, e := range ends {
		free = free.Add(e.Resources)
		if need.Fits(free) {
			return e.In
		}
	}
	return Never
}
