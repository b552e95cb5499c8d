package jobhost

import (
	"context"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/platform"
)

// listRetryInterval is the pause after a failed list: 10 attempts a second of one host are 0.5% of the
// rate of the smallest known store.
const listRetry = 100 * time.Millisecond

// keyWatcher keeps track of the keys under a prefix of the store. It lists them, then watches for
// changes, and lists them again when a watch fails.
type follower struct {
	*jobstore.Following
	store  *platform.Store
	clk    clock.Clock
	prefix string
	// nextWait returns how long the next watch waits for a change. A broken watch may give no error, so
	// no watch is relied on for longer.
	wait func() time.Duration
	// applyList is called with all keys as of a revision, applyChanges with keys that have changed.
	takeList    func(items []platform.Item, at int64)
	takeChanges func([]platform.Item)
}

// newKeyWatcher returns a watcher of the keys under a prefix.
func (h *Host) newFollower(prefix string, wait func() time.Duration, takeList func([]platform.Item, int64), takeChanges func([]platform.Item)) *follower {
	return &follower{
		Following: jobstore.NewFollowing(prefix, h.clk, h.log),
		store:     h.store, clk: h.clk, prefix: prefix, wait: wait, takeList: takeList, takeChanges: takeChanges,
	}
}

// run watches the keys until ctx ends.
func (w *follower) run(ctx context.Context) {
	for {
		after, listErr := w.list(ctx)
		err := listErr
		if listErr == nil {
			err = w.watch(ctx, after)
		}
		if ctx.Err() != nil {
			return
		}
		w.Lost(err)
		if listErr != nil {
			clock.Sleep(ctx, listRetry)
		}
	}
}

// list reads all keys and returns the revision after which to watch.
func (w *follower) list(ctx context.Context) (after int64, err error) {
	requestedAt := w.clk.Now()
	items, after, err := w.store.List(ctx, w.prefix)
	if err != nil {
		return 0, err
	}
	w.takeList(items, after)
	w.Known(requestedAt)
	return after, nil
}

// watch applies the changes after a revision until a watch fails, and returns the error.
func (w *follower) watch(ctx context.Context, after int64) error {
	for {
		items, at, err := w.store.Watch(ctx, w.prefix, after, w.wait())
		if err != nil {
			return err
		}
		w.takeChanges(items)
		w.Known(w.clk.Now())
		after = at
	}
}
