package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// ownershipConfirmationValidity is how long after a confirmation of the ownership a task that is
// presumed lost may be restarted. The worker may report to a later owner that the task finished before its
// lease expired, and that owner may then show the job as completed. The platform counts a start as a fault
// when it comes more than a second after that; a start takes up to 0.16 s to arrive.
const ownershipConfirmationValidity = 800 * time.Millisecond

// RecordOwnershipConfirmed records that the store named this process as the owner in answer to a call
// made at the given time.
func (p *Pool) RecordOwnershipConfirmed(at clock.Time) {
	p.ownershipConfirmedAt = max(p.ownershipConfirmedAt, at)
}

// isOwnershipConfirmedSince reports whether the ownership was confirmed at or after the given time. If
// not, it requests a confirmation.
//
// The leases of an unresponsive worker expire at a known time only if no later owner has extended them. A
// later owner may reach workers that this one does not, and for a while both may give orders. So an
// expired lease counts only once the store has named this owner after the expiry: what ran on the
// worker then ended before any later owner could extend the lease.
func (p *Pool) isOwnershipConfirmedSince(t clock.Time) bool {
	if p.ownershipConfirmedAt >= t {
		return true
	}
	p.needsOwnershipCheck = true
	return false
}

// mayRestartPresumedLost reports whether a task may be started with regard to an earlier run of it that
// is presumed lost: the ownership must have been confirmed a short time ago
// (ownershipConfirmationValidity).
func (p *Pool) mayRestartPresumedLost(t *task, now clock.Time) bool {
	if !t.presumedLost && !t.step.occurrence.job.runsPresumedEnded {
		return true
	}
	return p.isOwnershipConfirmedSince(now.Add(-ownershipConfirmationValidity))
}
