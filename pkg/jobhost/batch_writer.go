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
	maxConcurrentTxns = 4
	// entriesPerWrite is how many entries of a transaction a write needs at most: a condition and a put.
	entriesPerWrite = 2
	// ownerRecordEntries is how many entries of a transaction the condition on the owner's record needs.
	ownerRecordEntries = 1
	// batchWait is how long the writer collects further writes while a transaction is in flight.
	batchWait = 8 * time.Millisecond
	// resolveTime bounds the retries that find out whether a write with a lost answer took effect.
	// resolveTimeAfterOutage applies shortly after the store has recovered.
	resolveTime            = 900 * time.Millisecond
	resolveTimeAfterOutage = 2 * resolveTime
	resolveRetryInterval   = 30 * time.Millisecond
	// maxStoreSilence is how long the store may have answered nothing after a failed transaction until
	// further writes are refused at once.
	maxStoreSilence = 500 * time.Millisecond
	// deadlineOrderTime is for how long after the store has recovered writes are ordered by their
	// callers' deadlines: the writes that have waited then compete with those of returning callers.
	deadlineOrderTime = time.Second
)

// errOwnerChanged means that a key was certainly not written, because the recorded owner is not the one
// that the write was meant for.
var errOwnerChanged = errors.New("another owner is on record")

// writeResult is the outcome of a write. created is true if the key holds the value of this write, and
// false if it already held an earlier one.
type writeResult struct {
	created bool
	err     error
}

// batchWriter writes keys into the store, many in one transaction. Each transaction requires that the
// owner's record is unchanged. A new owner lists the jobs after it has written its record, so that every
// job was either listed by it or written under its record.
type batchWriter struct {
	store *platform.Store
	clk   clock.Clock
	// ownerRecordFound is called with an owner's record that a transaction has found in the store.
	ownerRecordFound func(platform.Item)
	queue            *writeQueue
	slots            chan struct{}
	failedAt         atomic.Int64 // when a transaction last got no answer
	recoveredAt      atomic.Int64 // when the store last recovered
}

func newBatchWriter(store *platform.Store, clk clock.Clock, ownerRecordFound func(platform.Item)) *batchWriter {
	return &batchWriter{store: store, clk: clk, ownerRecordFound: ownerRecordFound, queue: newWriteQueue(), slots: make(chan struct{}, maxConcurrentTxns)}
}

// writeIfAbsent writes a key that is never changed afterwards, on condition that the owner's record has the
// given revision. If the key already exists, that is no error, and created is false unless it holds the
// same value. Errors: platform.ErrRefused if the key was certainly not written and never will be,
// platform.ErrOutcomeUnknown, errOwnerChanged.
func (b *batchWriter) writeIfAbsent(ctx context.Context, key string, value []byte, ownerRevision int64) (created bool, err error) {
	if b.isStoreUnresponsive() {
		return false, errors.Wrap(platform.ErrRefused, "the store does not answer")
	}
	w := &write{ctx: ctx, key: key, value: value, ownerRevision: ownerRevision, done: make(chan writeResult, 1)}
	if !b.queue.add(w) {
		return false, errors.Wrap(platform.ErrRefused, "too many writes wait")
	}
	select {
	case result := <-w.done:
		return result.created, result.err
	case <-ctx.Done():
		if b.queue.remove(w) {
			return false, errors.Wrap(platform.ErrRefused, "nothing was sent until the caller's deadline")
		}
		return false, errors.Mark(ctx.Err(), platform.ErrOutcomeUnknown)
	}
}

// isStoreUnresponsive reports whether the store does not answer at present: a transaction has failed, and
// the store has answered nothing since nor for maxStoreSilence.
func (b *batchWriter) isStoreUnresponsive() bool {
	return b.store.NoAnswerSince(clock.Time(b.failedAt.Load())) && b.clk.Now().Sub(b.store.LastAnswer()) > maxStoreSilence
}

// recordFailure records that a transaction got no answer.
func (b *batchWriter) recordFailure() {
	b.failedAt.Store(int64(b.clk.Now()))
	b.store.ReportUnanswered()
}

// recordRecovery records that the store answers again after an outage.
func (b *batchWriter) recordRecovery() {
	b.recoveredAt.Store(int64(b.clk.Now()))
}

// recoveredWithin reports whether the store has recovered less than d ago.
func (b *batchWriter) recoveredWithin(d time.Duration) bool {
	at := b.recoveredAt.Load()
	return at != 0 && b.clk.Now().Sub(clock.Time(at)) < d
}

// run collects writes into transactions until ctx ends.
func (b *batchWriter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.queue.notEmpty:
		}
		if len(b.slots) > 0 {
			clock.Sleep(ctx, batchWait)
		}
		select {
		case <-ctx.Done():
			return
		case b.slots <- struct{}{}:
		}
		group := b.queue.take((platform.MaxTxnEntries-ownerRecordEntries)/entriesPerWrite, b.recoveredWithin(deadlineOrderTime))
		go func() {
			defer func() { <-b.slots }()
			b.commit(ctx, group)
		}()
	}
}

// commit writes a group in one transaction. After a conflict it answers the writes whose keys exist
// already and repeats the others. If an answer was lost it repeats the transaction, which is safe because
// each key is written only once.
func (b *batchWriter) commit(ctx context.Context, group []*write) {
	started := b.clk.Now()
	outcomeUnknown := false
	group, ownerRevision := selectLatestOwner(group)
	for len(group) > 0 {
		_, found, err := b.store.Commit(ctx, newTxn(group, ownerRevision))
		switch {
		case err == nil:
			completeAll(group, writeResult{created: true})
			return
		case errors.Is(err, platform.ErrConflict):
			rest := completePresent(group, found)
			switch {
			case b.detectOwnerChange(found, ownerRevision):
				completeAll(rest, writeResult{err: errOwnerChanged})
				return
			case len(rest) == len(group):
				// The conflict names no key: a key was written and removed meanwhile.
				completeAll(rest, writeResult{err: errors.Mark(errors.New("conflict without a key"), platform.ErrOutcomeUnknown)})
				return
			}
			group = rest
			continue
		case platform.IsPermanent(err) && !outcomeUnknown:
			b.refusePermanently(ctx, group, err)
			return
		case errors.Is(err, platform.ErrOutcomeUnknown):
			outcomeUnknown = true
		}
		b.recordFailure()
		if !outcomeUnknown {
			completeAll(group, writeResult{err: errors.Mark(err, platform.ErrRefused)})
			return
		}
		if ctx.Err() != nil || b.clk.Now().Sub(started) > b.resolveTimeout() {
			completeAll(group, writeResult{err: errors.Mark(errors.Newf("%v", err), platform.ErrOutcomeUnknown)})
			return
		}
		clock.Sleep(ctx, resolveRetryInterval)
	}
}

// refusePermanently refuses a write that the store never takes. Of a group it writes the halves, so that the
// other writes are carried out.
func (b *batchWriter) refusePermanently(ctx context.Context, group []*write, err error) {
	if len(group) == 1 {
		completeAll(group, writeResult{err: errors.Mark(err, platform.ErrRefused)})
		return
	}
	b.commit(ctx, group[:len(group)/2])
	b.commit(ctx, group[len(group)/2:])
}

// resolveTimeout returns for how long commit repeats a transaction with a lost answer.
func (b *batchWriter) resolveTimeout() time.Duration {
	if b.recoveredWithin(deadlineOrderTime) {
		return resolveTimeAfterOutage
	}
	return resolveTime
}

// selectLatestOwner returns the writes of a group that are meant for the latest owner among them, and the
// revision of that owner's record. It answers the other writes.
func selectLatestOwner(group []*write) (latest []*write, ownerRevision int64) {
	for _, w := range group {
		ownerRevision = max(ownerRevision, w.ownerRevision)
	}
	for _, w := range group {
		if w.ownerRevision < ownerRevision {
			w.done <- writeResult{err: errOwnerChanged}
		} else {
			latest = append(latest, w)
		}
	}
	return latest, ownerRevision
}

// detectOwnerChange reports whether a conflict has revealed another owner's record, and passes that
// record on.
func (b *batchWriter) detectOwnerChange(found []platform.Item, ownerRevision int64) bool {
	for _, i := range found {
		if i.Key == jobstore.OwnerRecordKey && i.Revision != ownerRevision {
			b.ownerRecordFound(i)
			return true
		}
	}
	return false
}

func newTxn(group []*write, ownerRevision int64) platform.Txn {
	t := platform.Txn{Conditions: []platform.Condition{{Key: jobstore.OwnerRecordKey, Revision: ownerRevision}}}
	for _, w := range group {
		t.Conditions = append(t.Conditions, platform.Condition{Key: w.key})
		t.Put = append(t.Put, platform.Put{Key: w.key, Value: w.value})
	}
	return t
}

func completeAll(group []*write, r writeResult) {
	for _, w := range group {
		w.done <- r
	}
}

// completePresent answers the writes whose keys were found, and returns the others.
func completePresent(group []*write, found []platform.Item) []*write {
	present := make(map[string][]byte, len(found))
	for _, i := range found {
		if i.Revision > 0 && !i.Removed {
			present[i.Key] = i.Value
		}
	}
	var rest []*write
	for _, w := range group {
		if value, ok := present[w.key]; ok {
			w.done <- writeResult{created: bytes.Equal(value, w.value)}
		} else {
			rest = append(rest, w)
		}
	}
	return rest
}
