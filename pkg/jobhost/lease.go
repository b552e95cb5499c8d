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

// leaseKeeper renews the owner's lease. The lease tells other hosts that the owner lives;
// what the owner may do does not hang on it alone (package poolowner).
type leaseKeeper struct {
	host      *Host
	lease     int64 // 0 before the first one
	record    int64
	renewedAt atomic.Int64
}

// holds says that the store has confirmed the ownership lately.
func (k *leaseKeeper) holds(now clock.Time) bool {
	return now.Sub(clock.Time(k.renewedAt.Load())) < leaseTerm
}

// run is the duty that renews the lease, and has another host take over when the store
// does not answer this one.
func (k *leaseKeeper) run(ctx context.Context, o *poolowner.Owner) {
	keep := func() {
		began := k.host.clk.Now()
		if k.renew(ctx) {
			k.renewedAt.Store(int64(began))
		}
		switch {
		case k.host.stopping.Load(): // leave asks for the takeover
		case k.host.storeAge() > yieldAfter:
			o.Yield(poolowner.Unreached)
		case !o.Strong() && o.Yield(poolowner.TooSmall):
		default:
			o.Stay()
		}
	}
	keep()
	clock.Every(ctx, leaseEvery, keep)
}

func (k *leaseKeeper) renew(ctx context.Context) bool {
	if k.lease == 0 {
		return k.reopen(ctx)
	}
	err := k.host.store.KeepLease(ctx, k.lease)
	if errors.Is(err, platform.ErrNoLease) {
		return k.reopen(ctx)
	}
	return err == nil
}

// reopen opens a lease, the first one or after the platform has ended the last one, unless
// another host is on record.
func (k *leaseKeeper) reopen(ctx context.Context) bool {
	lease, _, err := k.host.store.OpenLease(ctx, max(leaseTerm, k.host.cfg.Load().Store.MinLease))
	if err != nil {
		return false
	}
	_, _, err = k.host.store.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: jobstore.HolderKey, Revision: k.record}},
		Put:        []platform.Put{{Key: jobstore.AliveKey, Value: []byte(k.host.life), Lease: lease}},
	})
	if err != nil {
		return false
	}
	k.lease = lease
	k.host.log.Info("lease_opened")
	return true
}
