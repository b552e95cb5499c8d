package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// Leases of a silent worker have lapsed at a known time, if nobody has extended them since. A later
// owner may have: it reaches workers that this one does not, and for a while both may give orders. So
// a lapse is believed only when the store has named this owner after it. What runs on the worker
// then ended before any later owner could extend it.
//
// A later owner may still learn from the worker that a task was done before the lapse, and show its
// job as completed. So tasks that are presumed lost start again only shortly after a confirmation.

// ownershipConfirmationValidity is how long after a confirmation a task that is presumed lost may start. The
// platform counts a start more than a second after the job was shown as completed; a start takes
// up to 0.16 s to arrive.
const ownershipConfirmationValidity = 800 * time.Millisecond

// RecordOwnershipConfirmed takes in that the store named this owner, in answer to a call made at a time.
func (p *Pool) RecordOwnershipConfirmed(at clock.Time) {
	p.ownershipConfirmedAt = max(p.ownershipConfirmedAt, at)
}

// isOwnershipConfirmedSince says whether the ownership was confirmed at or after a time, and otherwise asks
// for it.
func (p *Pool) isOwnershipConfirmedSince(t clock.Time) bool {
	if p.ownershipConfirmedAt >= t {
		return true
	}
	p.needsOwnershipCheck = true
	return false
}

// mayRestartPresumedLost says whether a task may be started as far as an earlier run is concerned that is
// presumed lost.
func (p *Pool) mayRestartPresumedLost(t *task, now clock.Time) bool {
	if !t.presumedLost && !t.step.occurrence.job.runsPresumedEnded {
		return true
	}
	return p.isOwnershipConfirmedSince(now.Add(-ownershipConfirmationValidity))
}
