package jobhost

import (
	"context"
	"sync/atomic"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/platform"
	"github.com/sirupsen/logrus"
)

// listRetry is the pause after a list that could not be read: 10 tries a second of one host are 0.5% of what the
// smallest known store bears.
const listRetry = 100 * time.Millisecond

// follower follows the keys under a prefix of the store. It lists them, then watches what changes, and
// lists them anew when a watch fails. Its log has one line when it loses track of the keys and one when it knows them again.
type follower struct {
	store  *platform.Store
	clk    clock.Clock
	log    *logrus.Entry
	prefix string
	// wait is how long a watch waits for a change. A watch may go silent without a sign, so none is trusted for longer.
	wait time.Duration
	// takeList takes in all keys, takeChanges those that have changed.
	takeList    func([]platform.Item)
	takeChanges func([]platform.Item)

	knownAt atomic.Int64 // a clock.Time; see age
	lost    bool         // of run only
}

// newFollower returns a follower of the keys under a prefix that this host takes in.
func (h *Host) newFollower(prefix string, wait time.Duration, takeList, takeChanges func([]platform.Item)) *follower {
	f := &follower{store: h.store, clk: h.clk, log: h.log, prefix: prefix, wait: wait, takeList: takeList, takeChanges: takeChanges}
	f.known(f.clk.Now())
	return f
}

// run follows the keys until ctx ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		after, err := f.list(ctx)
		if err != nil {
			f.lose(err)
			clock.Sleep(ctx, listRetry)
			continue
		}
		f.watch(ctx, after)
	}
}

// list reads all keys and returns the revision from which to watch on.
func (f *follower) list(ctx context.Context) (after int64, err error) {
	asked := f.clk.Now()
	items, after, err := f.store.List(ctx, f.prefix)
	if err != nil {
		return 0, err
	}
	f.takeList(items)
	f.regain()
	f.known(asked)
	return after, nil
}

// watch takes in what changes after a revision until a watch fails.
func (f *follower) watch(ctx context.Context, after int64) {
	for {
		items, at, err := f.store.Watch(ctx, f.prefix, after, f.wait)
		if err != nil {
			f.lose(err)
			return
		}
		f.takeChanges(items)
		f.known(f.clk.Now())
		after = at
	}
}

// age is how long ago the keys were last known as they stood in the store; before the first list, how long ago the
// follower was made.
func (f *follower) age() time.Duration {
	return f.clk.Now().Sub(clock.Time(f.knownAt.Load()))
}

func (f *follower) known(at clock.Time) {
	f.knownAt.Store(int64(at))
}

// lose logs that the keys are not followed at present, once until they are again.
func (f *follower) lose(err error) {
	if f.lost {
		return
	}
	f.lost = true
	f.log.WithFields(logrus.Fields{"keys": f.prefix, "age_ms": f.age().Milliseconds(), "error": err}).Warn("keys_lost")
}

// regain logs that the keys are followed again, and for how long they were not known.
func (f *follower) regain() {
	if !f.lost {
		return
	}
	f.lost = false
	f.log.WithFields(logrus.Fields{"keys": f.prefix, "age_ms": f.age().Milliseconds()}).Info("keys_regained")
}
