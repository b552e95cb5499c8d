package runend

import (
	"cmp"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
)

const (
	// Never stands for the end of a long-running run.
	Never = 24 * time.Hour
	// minPercent is the progress from which on a run's end can be predicted. Reports give whole percents,
	// so below it the speed would be off by a fifth or more.
	minPercent = 5
	// maxOverdue is how long after its expected end a run is still expected to end soon. Without this
	// bound, a run that makes no progress would delay a step that counts on its room for ever.
	maxOverdue = 500 * time.Millisecond
)

// Progress is a run's progress by its reports.
type Progress struct {
	Percent      int
	ChangedAt    clock.Time // last change of Percent
	firstPercent int        // Percent at the first report, including what a checkpoint brought
	hasReport    bool
}

// Start records that the run is known to be running.
func (p *Progress) Start(now clock.Time) {
	p.ChangedAt = now
}

// Update records a report.
func (p *Progress) Update(percent int, now clock.Time) {
	if !p.hasReport {
		p.hasReport, p.firstPercent = true, percent
	}
	if percent != p.Percent || p.ChangedAt == 0 {
		p.Percent, p.ChangedAt = percent, now
	}
}

// TimeLeft returns how long a run that began at a time is expected to go on: by its progress or, before
// there is any, by the estimate of its task. It is negative for a run that should have ended.
func (p *Progress) TimeLeft(estimate time.Duration, begun, now clock.Time) time.Duration {
	if p.Percent >= minPercent && p.firstPercent < p.Percent {
		done := p.Percent - p.firstPercent
		return p.ChangedAt.Sub(begun)*time.Duration(100-p.Percent)/time.Duration(done) - now.Sub(p.ChangedAt)
	}
	return estimate - now.Sub(begun)
}

// EndsWithin reports whether a run that is expected to end after timeLeft ends within a time. A run that
// should have ended maxOverdue ago or earlier does not count.
func EndsWithin(timeLeft, within time.Duration) bool {
	return timeLeft <= within && timeLeft > -maxOverdue
}

// ExpectedEnd is the expected end of a run and the resources that become free then.
type ExpectedEnd struct {
	In        time.Duration
	Resources cell.Resources
}

// TimeUntilRoom returns how long it is expected to take until enough runs have ended to make room; Never
// when there will be none.
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
