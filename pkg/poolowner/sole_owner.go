package poolowner

import (
	"context"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

const (
	// authorityCheckInterval is the time between two checks whether previous owners still have authority.
	authorityCheckInterval = 100 * time.Millisecond
	// soleOwnerRetryDelay is the time between two attempts to record that they have none.
	soleOwnerRetryDelay = time.Second
)

// recordSoleOwner records, once it is so, that this owner is the only one with authority. The next process of this
// host then need not wait for the authority of owners before it.
func (o *Owner) recordSoleOwner(ctx context.Context) {
	for ctx.Err() == nil && !o.isSoleOwner(o.deps.Clock.Now()) {
		clock.Sleep(ctx, authorityCheckInterval)
	}
	for ctx.Err() == nil {
		err := o.writeSoleOwner(ctx)
		if err == nil || errors.Is(err, ErrDeposed) || ctx.Err() != nil {
			return
		}
		o.deps.Log.WithField("error", err).Warn("sole_owner_not_written")
		clock.Sleep(ctx, soleOwnerRetryDelay)
	}
}

// isSoleOwner reports whether the authority of all previous owners has ended: at the election, or after most workers
// had accepted this owner's token.
func (o *Owner) isSoleOwner(now clock.Time) bool {
	if o.claim.PreviousAuthorityEnded {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.majorityFencedAt != 0 && now.Sub(o.majorityFencedAt) >= maxPreviousAuthority
}

// writeSoleOwner writes the key that names this owner's record. Repeating it after a lost answer is harmless.
func (o *Owner) writeSoleOwner(ctx context.Context) error {
	_, _, err := o.deps.Store.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: jobstore.OwnerRecordKey, Revision: o.claim.Revision}},
		Put:        []platform.Put{{Key: jobstore.SoleOwnerKey, Value: jobstore.EncodeSoleOwner(o.claim.Revision)}},
	})
	if errors.Is(err, platform.ErrConflict) {
		o.depose("record")
		return ErrDeposed
	}
	if err == nil {
		o.deps.Log.WithFields(logrus.Fields{"term": o.claim.Term, "revision": o.claim.Revision}).Info("sole_owner")
	}
	return err
}
