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
const listRetryInterval = 100 * time.Millisecond

// keyWatcher keeps track of the keys under a prefix of the store. It lists them, then watches for
// changes, and lists them again when a watch fails.
type keyWatcher struct {
	*jobstore.WatchStatus
	store  *platform.Store
	clk    clock.Clock
	prefix string
	// nextWait returns how long the next watch waits for a change. A broken watch may give no error, so
	// no watch is relied on for longer.
	nextWait func() time.Duration
	// applyList is called with all keys as of a revision, applyChanges with keys that have changed.
	applyList    func(items []platform.Item, at int64)
	applyChanges func([]platform.Item)
}

// newKeyWatcher returns a watcher of the keys under a prefix.
func (h *Host) newKeyWatcher(prefix string, nextWait func() time.Duration, applyList func([]platform.Item, int64), applyChanges func([]platform.Item)) *keyWatcher {
	return &keyWatcher{
		WatchStatus: jobstore.NewWatchStatus(prefix, h.clk, h.log),
		store:       h.store, clk: h.clk, prefix: prefix, nextWait: nextWait, applyList: applyList, applyChanges: applyChanges,
	}
}

// run watches the keys until ctx ends.
func (w *keyWatcher) run(ctx context.Context) {
	for {
		after, listErr := w.list(ctx)
		err := listErr
		if listErr == nil {
			err = w.watch(ctx, after)
		}
		if ctx.Err() != nil {
			return
		}
		w.RecordFailure(err)
		if listErr != nil {
			clock.Sleep(ctx, listRetryInterval)
		}
	}
}

// list reads all keys and returns the revision after which to watch.
func (w *keyWatcher) list(ctx context.Context) (after int64, err error) {
	requestedAt := w.clk.Now()
	items, after, err := w.store.List(ctx, w.prefix)
	if err != nil {
		return 0, err
	}
	w.applyList(items, after)
	w.RecordCurrent(requestedAt)
	return after, nil
}

// watch applies the changes after a revision until a watch fails, and returns the error.
func (w *keyWatcher) watch(ctx context.Context, after int64) error {
	for {
		items, at, err := w.store.Watch(ctx, w.prefix, after, w.nextWait())
		if err != nil {
			return err
		}
		w.applyChanges(items)
		w.RecordCurrent(w.clk.Now())
		after = at
	}
}
