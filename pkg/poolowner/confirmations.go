package poolowner

import (
	"context"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/jobstore"
)

// confirmPause is the time between two looks at the owner's record, which are made only while what
// ran on a silent worker is to be started elsewhere. It is half of the time for which the pool
// needs a confirmation to be fresh (dispatch.ownershipConfirmationValidity).
const confirmPause = 400 * time.Millisecond

// askConfirmation has the owner's record read.
func (o *Owner) askConfirmation() {
	signal(o.unconfirmed)
}

// runConfirmations is the duty that reads the owner's record when the pool asks for it.
func (o *Owner) runConfirmations(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.unconfirmed:
		}
		o.confirm(ctx)
		clock.Sleep(ctx, confirmPause)
	}
}

// confirm reads the owner's record. Another owner on it deposes this one.
func (o *Owner) confirm(ctx context.Context) {
	sentAt := o.deps.Clock.Now()
	item, err := o.deps.Store.Read(ctx, jobstore.HolderKey)
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
	o.wake()
}
