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
	// maxConcurrentTxns bounds the transactions in flight.
	intakeAtOnce = 4
	// entriesPerWrite is how many entries of a transaction a write needs at most: a condition and a put.
	entriesPerWrite = 2
	// ownerRecordEntries is how many entries of a transaction the condition on the owner's record needs.
	holderEntries = 1
	// batchWait is how long the writer collects further writes while a transaction is in flight.
	intakeLinger = 8 * time.Millisecond
	// resolveTime bounds the retries that find out whether a write with a lost answer took effect.
	// resolveTimeAfterOutage applies shortly after the store has recovered.
	settleFor   = 900 * time.Millisecond
	settleBack  = 2 * settleFor
	settlePause = 30 * time.Millisecond
	// maxStoreSilence is how long the store may have answered nothing after a failed transaction until
	// further writes are refused at once.
	distrustAfter = 500 * time.Millisecond
	// deadlineOrderTime is for how long after the store has recovered writes are ordered by their
	// callers' deadlines: the writes that have waited then compete with those of returning callers.
	orderedFor = time.Second
)

// errOwnerChanged means that a key was certainly not written, because the recorded owner is not the one
// that the write was meant for.
var errOwnerChanged = errors.New("another owner is on record")

// writeResult is the outcome of a write. created is true if the key holds the value of this write, and
// false if it already held an earlier one.
type putResult struct {
	created bool
	err     error
}

// batchWriter writes keys into the store, many in one transaction. Each transaction requires that the
// owner's record is unchanged. A new owner lists the jobs after it has written its record, so that every
// job was either listed by it or written under its record.
type intake struct {
	store *platform.Store
	clk   clock.Clock
	// ownerRecordFound is called with an owner's record that a transaction has found in the store.
	sawHolder func(platform.Item)
	queue     *writeQueue
	slots     chan struct{}
	failedAt  atomic.Int64 // when a transaction last got no answer
	backAt    atomic.Int64 // when the store last recovered
}

func newIntake(store *platform.Store, clk clock.Clock, sawHolder func(platform.Item)) *intake {
	return &intake{store: store, clk: clk, sawHolder: sawHolder, queue: newWriteQueue(), slots: make(chan struct{}, intakeAtOnce)}
}

// writeOnce writes a key that is never changed afterwards, on condition that the owner's record has the
// given revision. If the key already exists, that is no error, and created is false unless it holds the
// same value. Errors: platform.ErrRefused if the key was certainly not written and never will be,
// platform.ErrOutcomeUnknown, errOwnerChanged.
func (b *intake) put(ctx context.Context, key string, value []byte, holder int64) (created bool, err error) {
	if b.distrusts() {
		return false, errors.Wrap(platform.ErrRefused, "the store does not answer")
	}
	w := &write{ctx: ctx, key: key, value: value, holder: holder, done: make(chan putResult, 1)}
	if !b.queue.put(w) {
		return false, errors.Wrap(platform.ErrRefused, "too many writes wait")
	}
	select {
	case result := <-w.done:
		return result.created, result.err
	case <-ctx.Done():
		if b.queue.remove(w) {
			return false, errors.Wrap(platform.ErrRefused, "nothing was sent until the caller's deadline")
		}
		return false, errors.Mark(ctx.Err(), platform.ErrUnsettled)
	}
}

// isStoreUnresponsive reports whether the store does not answer at present: a transaction has failed, and
// the store has answered nothing since nor for maxStoreSilence.
func (b *intake) distrusts() bool {
	return b.store.SilentSince(clock.Time(b.failedAt.Load())) && b.clk.Now().Sub(b.store.LastAnswer()) > distrustAfter
}

// recordFailure records that a transaction got no answer.
func (b *intake) failed() {
	b.failedAt.Store(int64(b.clk.Now()))
	b.store.Doubt()
}

// recordRecovery records that the store answers again after an outage.
func (b *intake) storeBack() {
	b.backAt.Store(int64(b.clk.Now()))
}

// recoveredWithin reports whether the store has recovered less than d ago.
func (b *intake) backSince(d time.Duration) bool {
	at := b.backAt.Load()
	return at != 0 && b.clk.Now().Sub(clock.Time(at)) < d
}

// run collects writes into transactions until ctx ends.
func (b *intake) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.queue.more:
		}
		if len(b.slots) > 0 {
			clock.Sleep(ctx, intakeLinger)
		}
		select {
		case <-ctx.Done():
			return
		case b.slots <- struct{}{}:
		}
		group := b.queue.take((platform.MaxTxnEntries-holderEntries)/entriesPerWrite, b.backSince(orderedFor))
		go func() {
			defer func() { <-b.slots }()
			b.commit(ctx, group)
		}()
	}
}

// commit writes a group in one transaction. After a conflict it answers the writes whose keys exist
// already and repeats the others. If an answer was lost it repeats the transaction, which is safe because
// each key is written only once.
func (b *intake) commit(ctx context.Context, group []*write) {
	started := b.clk.Now()
	outcomeUnknown := false
	group, ownerRevision := underLatest(group)
	for len(group) > 0 {
		_, found, err := b.store.Commit(ctx, txnOf(group, ownerRevision))
		switch {
		case err == nil:
			answerAll(group, putResult{created: true})
			return
		case errors.Is(err, platform.ErrConflict):
			rest := answerPresent(group, found)
			switch {
			case b.ownerChanged(found, ownerRevision):
				answerAll(rest, putResult{err: errOwnerChanged})
				return
			case len(rest) == len(group):
				// The conflict names no key: a key was written and removed meanwhile.
				answerAll(rest, putResult{err: errors.Mark(errors.New("conflict without a key"), platform.ErrUnsettled)})
				return
			}
			group = rest
			continue
		case errors.Is(err, platform.ErrUnsettled):
			outcomeUnknown = true
		}
		b.failed()
		if !outcomeUnknown {
			answerAll(group, putResult{err: errors.Mark(err, platform.ErrRefused)})
			return
		}
		if ctx.Err() != nil || b.clk.Now().Sub(started) > b.settleLimit() {
			answerAll(group, putResult{err: errors.Mark(errors.Newf("%v", err), platform.ErrUnsettled)})
			return
		}
		clock.Sleep(ctx, settlePause)
	}
}

// resolveTimeout returns for how long commit repeats a transaction with a lost answer.
func (b *intake) settleLimit() time.Duration {
	if b.backSince(orderedFor) {
		return settleBack
	}
	return settleFor
}

// selectLatestOwner returns the writes of a group that are meant for the latest owner among them, and the
// revision of that owner's record. It answers the other writes.
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

// detectOwnerChange reports whether a conflict has revealed another owner's record, and passes that
// record on.
func (b *intake) ownerChanged(found []platform.Item, ownerRevision int64) bool {
	for _, i := range found {
		if i.Key == jobstore.HolderKey && i.Revision != ownerRevision {
			b.sawHolder(i)
			return true
		}
	}
	return false
}

func txnOf(group []*write, ownerRevision int64) platform.Txn {
	t := platform.Txn{Conditions: []platform.Condition{{Key: jobstore.HolderKey, Revision: ownerRevision}}}
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

// completePresent answers the writes whose keys were found, and returns the others.
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
