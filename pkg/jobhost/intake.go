package jobhost

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
)

const (
	// intakeAtOnce is how many transactions may be on their way.
	intakeAtOnce = 4
	// entriesPerWrite is how many entries of a transaction a write needs at most.
	entriesPerWrite = 2
	// holderEntries is how many a transaction needs for the owner's record.
	holderEntries = 1
	// intakeLinger is how long a write waits for others while a transaction is on its way.
	intakeLinger = 8 * time.Millisecond
	// settleFor bounds the tries to settle a write whose answer was lost, and settleBack those while the store has just come back.
	settleFor   = 900 * time.Millisecond
	settleBack  = 2 * settleFor
	settlePause = 30 * time.Millisecond
	// distrustAfter is how long the store must not have answered anything for writes to be
	// refused at once after one has failed.
	distrustAfter = 500 * time.Millisecond
	// orderedFor is for how long after the store's return writes go in order of their callers' deadlines: what waited and what comes back meets there.
	orderedFor = time.Second
)

// errOwnerChanged says that a key was certainly not written, since another owner is on record than the one that the write is for.
var errOwnerChanged = errors.New("another owner is on record")

// putResult is the outcome of a write. created says that the key holds the value of this
// write; otherwise an earlier one was there.
type putResult struct {
	created bool
	err     error
}

// intake writes keys into the store, many with one transaction. Each is on condition of the owner's record: a new owner lists the jobs after it is on
// record, so that none is written for the former one that the new one does not list.
type intake struct {
	store *platform.Store
	clk   clock.Clock
	// sawHolder takes in a record of the owner that a write has found.
	sawHolder func(platform.Item)
	queue     *writeQueue
	slots     chan struct{}
	failedAt  atomic.Int64 // when a transaction got no answer last
	backAt    atomic.Int64 // when the store came back last
}

func newIntake(store *platform.Store, clk clock.Clock, sawHolder func(platform.Item)) *intake {
	return &intake{store: store, clk: clk, sawHolder: sawHolder, queue: newWriteQueue(), slots: make(chan struct{}, intakeAtOnce)}
}

// put writes a key that nobody changes, under an owner's record; it is no error when it is there already, but
// created is false then. Errors: platform.ErrRefused when it was certainly not written and
// never will be, platform.ErrUnsettled, errOwnerChanged.
func (t *intake) put(ctx context.Context, key string, value []byte, holder int64) (created bool, err error) {
	if t.distrusts() {
		return false, errors.Wrap(platform.ErrRefused, "the store does not answer")
	}
	w := &write{ctx: ctx, key: key, value: value, holder: holder, done: make(chan putResult, 1)}
	if !t.queue.put(w) {
		return false, errors.Wrap(platform.ErrRefused, "too many writes wait")
	}
	select {
	case result := <-w.done:
		return result.created, result.err
	case <-ctx.Done():
		if t.queue.remove(w) {
			return false, errors.Wrap(platform.ErrRefused, "nothing was sent until the caller's deadline")
		}
		return false, errors.Mark(ctx.Err(), platform.ErrUnsettled)
	}
}

// distrusts says that the store does not answer at present: a transaction failed, and nothing was answered since.
func (t *intake) distrusts() bool {
	return t.store.SilentSince(clock.Time(t.failedAt.Load())) && t.clk.Now().Sub(t.store.LastAnswer()) > distrustAfter
}

// failed takes in that a transaction got no answer.
func (t *intake) failed() {
	t.failedAt.Store(int64(t.clk.Now()))
	t.store.Doubt()
}

// storeBack takes in that the store answers again after a gap.
func (t *intake) storeBack() {
	t.backAt.Store(int64(t.clk.Now()))
}

// backSince says that the store came back no longer ago than a time.
func (t *intake) backSince(d time.Duration) bool {
	at := t.backAt.Load()
	return at != 0 && t.clk.Now().Sub(clock.Time(at)) < d
}

// run is the duty that groups writes.
func (t *intake) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.queue.more:
		}
		if len(t.slots) > 0 {
			clock.Sleep(ctx, intakeLinger)
		}
		select {
		case <-ctx.Done():
			return
		case t.slots <- struct{}{}:
		}
		group := t.queue.take((platform.MaxTxnEntries-holderEntries)/entriesPerWrite, t.backSince(orderedFor))
		go func() {
			defer func() { <-t.slots }()
			t.commit(ctx, group)
		}()
	}
}

// commit writes a group. Writes whose key is there already are answered, and the others
// tried again; a lost answer is settled by trying again, too, since a key is written once.
func (t *intake) commit(ctx context.Context, group []*write) {
	started := t.clk.Now()
	unsettled := false
	group, holder := underLatest(group)
	for len(group) > 0 {
		_, found, err := t.store.Commit(ctx, txnOf(group, holder))
		switch {
		case err == nil:
			answerAll(group, putResult{created: true})
			return
		case errors.Is(err, platform.ErrConflict):
			rest := answerPresent(group, found)
			switch {
			case t.ownerChanged(found, holder):
				answerAll(rest, putResult{err: errOwnerChanged})
				return
			case len(rest) == len(group):
				// Nothing was found although there is a conflict: a key came and went.
				answerAll(rest, putResult{err: errors.Mark(errors.New("conflict without a key"), platform.ErrUnsettled)})
				return
			}
			group = rest
			continue
		case errors.Is(err, platform.ErrUnsettled):
			unsettled = true
		}
		t.failed()
		if !unsettled {
			answerAll(group, putResult{err: errors.Mark(err, platform.ErrRefused)})
			return
		}
		if ctx.Err() != nil || t.clk.Now().Sub(started) > t.settleLimit() {
			answerAll(group, putResult{err: errors.Mark(errors.Newf("%v", err), platform.ErrUnsettled)})
			return
		}
		clock.Sleep(ctx, settlePause)
	}
}

// settleLimit bounds the tries to settle a write.
func (t *intake) settleLimit() time.Duration {
	if t.backSince(orderedFor) {
		return settleBack
	}
	return settleFor
}

// underLatest returns the writes of a group that are under the latest record of an owner, and that record's revision. It answers the others.
func underLatest(group []*write) (latest []*write, holder int64) {
	for _, w := range group {
		holder = max(holder, w.holder)
	}
	for _, w := range group {
		if w.holder < holder {
			w.done <- putResult{err: errOwnerChanged}
		} else {
			latest = append(latest, w)
		}
	}
	return latest, holder
}

// ownerChanged says that a conflict has found another record of the owner, and takes it in.
func (t *intake) ownerChanged(found []platform.Item, holder int64) bool {
	for _, i := range found {
		if i.Key == jobstore.HolderKey && i.Revision != holder {
			t.sawHolder(i)
			return true
		}
	}
	return false
}

func txnOf(group []*write, holder int64) platform.Txn {
	t := platform.Txn{Conditions: []platform.Condition{{Key: jobstore.HolderKey, Revision: holder}}}
	for _, w := range group {
		t.Conditions = append(t.Conditions, platform.Condition{Key: w.key})
		t.Put = append(t.Put, platform.Put{Key: w.key, Value: w.value})
	}
	return t
}

func answerAll(group []*write, r putResult) {
	for _, w := range group {
		w.done <- r
	}
}

// answerPresent answers the writes whose keys were found, and returns the others.
func answerPresent(group []*write, found []platform.Item) []*write {
	present := make(map[string][]byte, len(found))
	for _, i := range found {
		if i.Revision > 0 && !i.Gone {
			present[i.Key] = i.Value
		}
	}
	var rest []*write
	for _, w := range group {
		if value, ok := present[w.key]; ok {
			w.done <- putResult{created: bytes.Equal(value, w.value)}
		} else {
			rest = append(rest, w)
		}
	}
	return rest
}
