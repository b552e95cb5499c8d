package jobhost

import (
	"context"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/platform"
)

// listRetry is the pause after a list that could not be read: 10 tries a second of one host are 0.5% of what the
// smallest known store bears.
const listRetry = 100 * time.Millisecond

// follower follows the keys under a prefix of the store. It lists them, then watches what changes, and
// lists them anew when a watch fails.
type follower struct {
	*jobstore.Following
	store  *platform.Store
	clk    clock.Clock
	prefix string
	// wait is how long the next watch waits for a change. A watch may go silent without a sign, so none is trusted for longer.
	wait func() time.Duration
	// takeList takes in all keys as they stood at a revision, takeChanges those that have changed.
	takeList    func(items []platform.Item, at int64)
	takeChanges func([]platform.Item)
}

// newFollower returns a follower of the keys under a prefix that this host takes in.
func (h *Host) newFollower(prefix string, wait func() time.Duration, takeList func([]platform.Item, int64), takeChanges func([]platform.Item)) *follower {
	return &follower{
		Following: jobstore.NewFollowing(prefix, h.clk, h.log),
		store:     h.store, clk: h.clk, prefix: prefix, wait: wait, takeList: takeList, takeChanges: takeChanges,
	}
}

// run follows the keys until ctx ends.
func (f *follower) run(ctx context.Context) {
	for {
		after, listed := f.list(ctx)
		err := listed
		if listed == nil {
			err = f.watch(ctx, after)
		}
		if ctx.Err() != nil {
			return
		}
		f.Lost(err)
		if listed != nil {
			clock.Sleep(ctx, listRetry)
		}
	}
}

// list reads all keys and returns the revision from which to watch on.
func (f *follower) list(ctx context.Context) (after int64, err error) {
	asked := f.clk.Now()
	items, after, err := f.store.List(ctx, f.prefix)
	if err != nil {
		return 0, err
	}
	f.takeList(items, after)
	f.Known(asked)
	return after, nil
}

// watch takes in what changes after a revision until a watch fails, and returns why.
func (f *follower) watch(ctx context.Context, after int64) error {
	for {
		items, at, err := f.store.Watch(ctx, f.prefix, after, f.wait())
		if err != nil {
			return err
		}
		f.takeChanges(items)
		f.Known(f.clk.Now())
		after = at
	}
}
