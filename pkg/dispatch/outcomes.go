package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// ExpiredOutcomes lists up to most jobs whose outcomes have been kept for a time. They are
// forgotten by ForgetOutcomes, once the store has none of them.
func (p *Pool) ExpiredOutcomes(keep time.Duration, most int, now clock.Time) []job.ID {
	return p.outcomes.Expired(keep, most, now)
}

// ForgetOutcomes forgets outcomes that ExpiredOutcomes listed.
func (p *Pool) ForgetOutcomes(ids []job.ID) {
	p.outcomes.Forget(ids)
}
