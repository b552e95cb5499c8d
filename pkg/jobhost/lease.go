package jobhost

import (
	"context"
	"sync/atomic"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/pkg/poolowner"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
)

// leaseKeeper renews the owner's lease, which shows other hosts that the owner is alive. The lease alone
// does not decide what the owner may do (package poolowner).
type leaseKeeper struct {
	host          *Host
	lease         int64 // id in the store; 0 before the first lease
	ownerRevision int64
	renewedAt     atomic.Int64
}

// isConfirmed reports whether the store has confirmed the ownership within the duration of a lease.
func (k *leaseKeeper) isConfirmed(now clock.Time) bool {
	return now.Sub(clock.Time(k.renewedAt.Load())) < leaseDuration
}

// run renews the lease until ctx ends, and asks another host to take over when the store does not answer
// this one or this host is too small.
func (k *leaseKeeper) run(ctx context.Context, o *poolowner.Owner) {
	keep := func() {
		began := k.host.clk.Now()
		if k.renew(ctx) {
			k.renewedAt.Store(int64(began))
		}
		switch {
		case k.host.stopping.Load(): // shutDown asks another host to take over
		case k.host.storeAge() > yieldStoreAge:
			o.Yield(poolowner.YieldStoreUnreached)
		case !o.IsStrongEnough() && o.Yield(poolowner.YieldHostTooSmall):
		default:
			o.CancelYield()
		}
	}
	keep()
	clock.Every(ctx, leaseRenewInterval, keep)
}

// renew renews the lease, or opens a new one, and reports whether the store has confirmed it.
func (k *leaseKeeper) renew(ctx context.Context) bool {
	if k.lease == 0 {
		return k.reopen(ctx)
	}
	err := k.host.store.RenewLease(ctx, k.lease)
	if errors.Is(err, platform.ErrNoLease) {
		return k.reopen(ctx)
	}
	return err == nil
}

// reopen opens a lease, either the first one or one that replaces an expired one. It fails if another
// host is recorded as the owner.
func (k *leaseKeeper) reopen(ctx context.Context) bool {
	lease, _, err := k.host.store.OpenLease(ctx, max(leaseDuration, k.host.cfg.Load().Store.MinLease))
	if err != nil {
		return false
	}
	_, _, err = k.host.store.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: jobstore.OwnerRecordKey, Revision: k.ownerRevision}},
		Put:        []platform.Put{{Key: jobstore.OwnerLeaseKey, Value: []byte(k.host.incarnation), Lease: lease}},
	})
	if err != nil {
		return false
	}
	k.lease = lease
	k.host.log.Info("lease_opened")
	return true
}
