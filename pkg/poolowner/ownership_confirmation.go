package poolowner

import (
	"context"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/jobstore"
)

// confirmationInterval is the time between two reads of the owner's record. They are made only while the
// pool is to restart runs of a silent worker elsewhere, and after workers have restarted. It is half of the
// time for which the pool accepts a confirmation (dispatch.ownershipConfirmationValidity).
const confirmationInterval = 400 * time.Millisecond

// requestConfirmation requests a read of the owner's record.
func (o *Owner) requestConfirmation() {
	notify(o.confirmSignal)
}

// runConfirmations reads the owner's record when the pool requests it.
func (o *Owner) runConfirmations(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.confirmSignal:
		}
		o.confirmOwnership(ctx)
		clock.Sleep(ctx, confirmationInterval)
	}
}

// confirmOwnership reads the owner's record. If it names another owner, this one is deposed.
func (o *Owner) confirmOwnership(ctx context.Context) {
	sentAt := o.deps.Clock.Now()
	item, err := o.deps.Store.Read(ctx, jobstore.OwnerRecordKey)
	if err != nil {
		o.deps.Log.WithField("error", err).Warn("owner_unconfirmed")
		return
	}
	if item.Revision != o.claim.Revision {
		o.depose("record")
		return
	}
	o.mu.Lock()
	o.pool.RecordOwnershipConfirmed(sentAt)
	o.mu.Unlock()
	o.requestPlan()
}
