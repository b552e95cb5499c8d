package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// ExpiredOutcomes lists up to limit jobs whose outcomes have been kept for at least the given time. The
// caller deletes them from the store and then calls ForgetOutcomes.
func (p *Pool) ExpiredOutcomes(keep time.Duration, limit int, now clock.Time) []job.ID {
	return p.outcomes.Expired(keep, limit, now)
}

// ForgetOutcomes drops outcomes that ExpiredOutcomes listed and that the store no longer has.
func (p *Pool) ForgetOutcomes(ids []job.ID) {
	p.outcomes.Forget(ids)
}
