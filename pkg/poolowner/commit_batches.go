package poolowner

import (
	"context"
	"fmt"
	"sync"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/customer"
	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/platform"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

// maxBatchBytes is the size of the values from which a transaction gets no further ones, so that a large
// value does not delay many others on a slow link.
const maxBatchBytes = 256 << 10

// atomicWrite is entries of one job that must be written in one transaction.
type atomicWrite struct {
	job        job.ID
	put        []platform.Put
	remove     []string
	hasOutcome bool
}

func (w atomicWrite) entryCount() int {
	return len(w.put) + len(w.remove)
}

func (w atomicWrite) bytes() int {
	n := 0
	for _, p := range w.put {
		n += len(p.Value)
	}
	return n
}

// largest returns the largest value that is written.
func (w atomicWrite) largest() (largest platform.Put) {
	for _, p := range w.put {
		if len(p.Value) >= len(largest.Value) {
			largest = p
		}
	}
	return largest
}

// batch is the writes of one transaction. They may as well be written in several.
type batch []atomicWrite

func (b batch) txn() platform.Txn {
	var t platform.Txn
	for _, w := range b {
		t.Put = append(t.Put, w.put...)
		t.Remove = append(t.Remove, w.remove...)
	}
	return t
}

// batchBuilder packs writes into as few transactions as possible.
type batchBuilder struct {
	batches        []batch
	entries, bytes int // of the last batch
}

func (b *batchBuilder) add(writes ...atomicWrite) {
	const maxEntries = platform.MaxTxnEntries - reservedEntries
	for _, w := range writes {
		if len(b.batches) == 0 || b.entries+w.entryCount() > maxEntries || b.bytes > 0 && b.bytes+w.bytes() > maxBatchBytes {
			b.batches, b.entries, b.bytes = append(b.batches, nil), 0, 0
		}
		last := len(b.batches) - 1
		b.batches[last] = append(b.batches[last], w)
		b.entries, b.bytes = b.entries+w.entryCount(), b.bytes+w.bytes()
	}
}

// packedChanges are the transactions that write changes: the last ones only after the first ones, and within
// each group in any order.
type packedChanges struct {
	first, last []batch
	refused     []refusedChange // those that can't be encoded
}

// packChanges packs changes into transactions.
func packChanges(changes []dispatch.JobChange, e progressEncoder) packedChanges {
	var first, last batchBuilder
	var refused []refusedChange
	for _, c := range changes {
		before, after, err := changeWrites(c, e)
		if err != nil {
			refused = append(refused, refusedChange{job: c.Job, key: jobstore.ProgressKey(c.Job), bound: e.maxBytes, err: err})
			continue
		}
		first.add(before...)
		last.add(after...)
	}
	return packedChanges{first.batches, last.batches, refused}
}

// changeWrites returns what one change writes and removes, and what of it must be written after the rest.
func changeWrites(c dispatch.JobChange, e progressEncoder) (first, last []atomicWrite, err error) {
	if c.Outcome != "" {
		outcome, err := outcomeWrite(c)
		return []atomicWrite{outcome}, removeSegments(c), err
	}
	for _, s := range c.Segments {
		key := jobstore.SegmentKey(c.Job, s.Number)
		value, err := e.encodeSegment(key, s.Segment)
		if err != nil {
			return nil, nil, err
		}
		first = append(first, atomicWrite{job: c.Job, put: []platform.Put{{Key: key, Value: value}}})
	}
	first = append(first, removeSegments(c)...)
	if c.ProgressUnchanged {
		return first, nil, nil
	}
	key := jobstore.ProgressKey(c.Job)
	value, err := e.encodeProgress(key, c.Progress)
	w := atomicWrite{job: c.Job, put: []platform.Put{{Key: key, Value: value}}}
	if c.ProgressAfterSegments {
		return first, []atomicWrite{w}, err
	}
	return append(first, w), nil, err
}

// outcomeWrite returns the write of a job's outcome. It removes the job's other keys, apart from segments.
func outcomeWrite(c dispatch.JobChange) (atomicWrite, error) {
	w := atomicWrite{job: c.Job, hasOutcome: true}
	data, err := job.Record{Outcome: c.Outcome, Customer: customer.Customer{Name: c.Customer}, RemainingUse: c.RemainingUse, LastLateStart: c.LastLateStart}.Encode()
	w.put = []platform.Put{{Key: jobstore.JobKey(c.Job), Value: data}}
	if c.HasProgress {
		w.remove = append(w.remove, jobstore.ProgressKey(c.Job))
	}
	if c.Outcome == job.Cancelled {
		w.remove = append(w.remove, jobstore.CancelKey(c.Job))
	}
	return w, err
}

func removeSegments(c dispatch.JobChange) []atomicWrite {
	var out []atomicWrite
	for _, n := range c.RemovedSegments {
		out = append(out, atomicWrite{job: c.Job, remove: []string{jobstore.SegmentKey(c.Job, n)}})
	}
	return out
}

// refusedChange is a change of a job that the store never takes.
type refusedChange struct {
	job   job.ID
	key   string
	bytes int // of the value
	bound int // the largest value, in bytes
	err   error
}

func (r refusedChange) reason() string {
	return fmt.Sprintf("key %s with %d bytes, at most %d: %v", r.key, r.bytes, r.bound, r.err)
}

// writeChanges writes changes to the store and repeats failed writes. It returns the changes that the store
// never takes, and an error only when this owner ends.
func (o *Owner) writeChanges(ctx context.Context, changes []dispatch.JobChange) ([]refusedChange, error) {
	packed := packChanges(changes, o.newProgressEncoder())
	for _, r := range packed.refused {
		o.recordOversize("value_refused", r.key, r.bytes)
	}
	refused, err := o.writeBatches(ctx, packed.first)
	refused = append(refused, packed.refused...)
	if err != nil || len(packed.last) == 0 {
		return refused, err
	}
	more, err := o.writeBatches(ctx, withoutJobs(packed.last, refused))
	return append(refused, more...), err
}

// withoutJobs returns batches without the writes of refused jobs.
func withoutJobs(batches []batch, refused []refusedChange) []batch {
	jobs := map[job.ID]bool{}
	for _, r := range refused {
		jobs[r.job] = true
	}
	var b batchBuilder
	for _, x := range batches {
		for _, w := range x {
			if !jobs[w.job] {
				b.add(w)
			}
		}
	}
	return b.batches
}

// writeBatches writes transactions in any order, spread over the lanes, so that a slow store gets several at
// the same time.
func (o *Owner) writeBatches(ctx context.Context, batches []batch) ([]refusedChange, error) {
	var mu sync.Mutex
	var refused []refusedChange
	group, ctx := errgroup.WithContext(ctx)
	lanes := len(o.lanes)
	if o.deps.Disabled.Contains(dispatch.ParallelCommits) {
		lanes = 1
	}
	for n := range min(lanes, len(batches)) {
		group.Go(func() error {
			for at := n; at < len(batches); at += lanes {
				r, err := o.writeBatch(ctx, &o.lanes[n], batches[at])
				if err != nil {
					return err
				}
				mu.Lock()
				refused = append(refused, r...)
				mu.Unlock()
			}
			return nil
		})
	}
	err := group.Wait()
	return refused, err
}

// writeBatch writes one transaction. If the store never takes it, it writes the halves of it, down to the
// writes that are the cause.
func (o *Owner) writeBatch(ctx context.Context, lane *commitLane, b batch) ([]refusedChange, error) {
	err := o.commit(ctx, lane, b.txn())
	if !platform.IsPermanent(err) {
		return nil, err
	}
	if len(b) > 1 {
		first, err := o.writeBatch(ctx, lane, b[:len(b)/2])
		if err != nil {
			return nil, err
		}
		second, err := o.writeBatch(ctx, lane, b[len(b)/2:])
		return append(first, second...), err
	}
	return o.handleRefusedWrite(ctx, lane, b[0], err)
}

// handleRefusedWrite logs and counts a write that the store never takes. That of an outcome is repeated all
// the same: it is small, and nothing can take its place.
func (o *Owner) handleRefusedWrite(ctx context.Context, lane *commitLane, w atomicWrite, err error) ([]refusedChange, error) {
	largest := w.largest()
	r := refusedChange{job: w.job, key: largest.Key, bytes: len(largest.Value), bound: o.deps.Store.MaxValueBytes(), err: err}
	o.recordOversize("value_refused", r.key, r.bytes)
	if !w.hasOutcome {
		return []refusedChange{r}, nil
	}
	for platform.IsPermanent(err) {
		clock.Sleep(ctx, storeRetryDelay)
		err = o.commit(ctx, lane, batch{w}.txn())
	}
	return nil, err
}

// recordOversize logs and counts a value that the store never takes.
func (o *Owner) recordOversize(event, key string, size int) {
	metrics.GetOrRegisterCounter("pool."+event, o.deps.Metrics).Inc(1)
	o.deps.Log.WithFields(logrus.Fields{"key": key, "bytes": size, "max_bytes": o.deps.Store.MaxValueBytes()}).Error(event)
}
