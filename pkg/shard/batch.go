package shard

import (
	"context"
	"time"

	"foldarch.dev/foldarch/pkg/batch"
	"foldarch.dev/foldarch/pkg/result"
	"foldarch.dev/foldarch/pkg/settings"
	"foldarch.dev/foldarch/pkg/store"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

const (
	submitTimeout       = 5 * time.Second
	storeDownRetryAfter = 2 * time.Second
	maxBackoffAttempt   = 6 // number of failed reads after which the delay no longer grows
	// endBackoffAttempt is the attempt number passed to store.Backoff after the end of a request
	// could not be stored; it sets the length of the delay.
	endBackoffAttempt = 5
)

// Submission is a batch request as a caller submits it.
type Submission struct {
	Caller   string
	Key      string
	Workload string
	Payload  string
}

// SubmitBatch accepts a batch request and returns its record once it is durably stored. A
// repeat with the same key returns the record of the existing request.
func (e *Engine) SubmitBatch(ctx context.Context, s Submission) (batch.Record, error) {
	if !e.authorized() || e.stopped.Load() {
		return batch.Record{}, result.New(result.NoOwner, "no authority over %s", e.cfg.Shard).WithRetryAfter(refusalRetryAfter)
	}
	request, known, err := e.admitBatch(s)
	if err != nil || known.ID != "" {
		return known, err
	}
	if !e.deps.StoreAvailable() {
		return batch.Record{}, submitError(store.ErrUnavailable)
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if err := e.journal.Append(ctx, batch.Entry{Submitted: &request}); err != nil {
		return batch.Record{}, submitError(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	record, _ := e.batches.Get(request.ID)
	return record, nil
}

// admitBatch validates a submission. It returns either a new request to be stored or, for
// a known key, the record of the existing request.
func (e *Engine) admitBatch(s Submission) (batch.Request, batch.Record, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.tree == nil || !e.recovery.batchesLoaded {
		return batch.Request{}, batch.Record{}, result.New(result.NotReady, "the owner has not read the batch requests yet").WithRetryAfter(refusalRetryAfter)
	}
	w, ok := e.tree.Workloads[s.Workload]
	switch {
	case !ok:
		return batch.Request{}, batch.Record{}, result.New(result.UnknownService, "no workload %s", s.Workload)
	case w.Kind != settings.KindBatch:
		return batch.Request{}, batch.Record{}, result.New(result.WrongKind, "%s is a service", s.Workload)
	case int64(len(s.Payload)) > w.MaxBody:
		return batch.Request{}, batch.Record{}, result.New(result.BodyTooLarge, "the payload is over %d bytes", w.MaxBody)
	}
	id := batch.NewID(e.cfg.Shard, s.Caller, s.Key)
	if known, ok := e.batches.Get(id); ok {
		if known.Payload != s.Payload || known.Workload != s.Workload {
			return batch.Request{}, batch.Record{}, result.New(result.KeyReused, "the key stands for another request")
		}
		return batch.Request{}, known, nil
	}
	return batch.Request{
		ID: id, Caller: s.Caller, Workload: s.Workload, Payload: s.Payload,
		NotRepeatable: !w.Repeatable, At: e.deps.Clock.Wall().UTC(),
	}, batch.Record{}, nil
}

// submitError converts an error of the journal to a result for the caller.
func submitError(err error) error {
	if errors.Is(err, store.ErrUnsettled) {
		return result.New(result.InProgress, "the store did not say whether the request is kept; submit it again with the same key").
			WithRetryAfter(storeDownRetryAfter)
	}
	if errors.Is(err, store.ErrTooLarge) {
		return result.New(result.BodyTooLarge, "the request does not fit into the store")
	}
	return result.New(result.StoreDown, "%s", result.StoreDown.Info().Text).WithRetryAfter(storeDownRetryAfter)
}

// acceptBatch queues a stored request for placement. Two copies of one request may have
// been stored at the same time; the second has no effect. The caller holds the engine's
// lock.
func (e *Engine) acceptBatch(r batch.Request) {
	if _, ok := e.batches.Get(r.ID); ok {
		return
	}
	e.batches.Apply(batch.Entry{Submitted: &r})
	record, _ := e.batches.Get(r.ID)
	if w, ok := e.tree.Workloads[r.Workload]; ok {
		e.placer.Submit(e.newBatchTask(record, w), e.now())
		e.wake()
	}
	e.log("batch_kept", logrus.Fields{"batch": r.ID, "caller": r.Caller, "workload": r.Workload})
}

// storeBatchEnd stores the end of a request, and then has its worker, if w is not nil,
// discard the result. Until the end is stored the worker keeps the result, so that a new
// owner would find it there.
func (e *Engine) storeBatchEnd(end batch.End, w *workerController) {
	if e.storingEnd[end.ID] {
		return
	}
	e.storingEnd[end.ID] = true
	end.At = e.deps.Clock.Wall().UTC()
	ctx := e.runCtx
	e.goroutines.Go(func() {
		for {
			err := e.journal.Append(ctx, batch.Entry{Ended: &end})
			if e.handleBatchEndWrite(end, w, err) || ctx.Err() != nil {
				return
			}
			_ = store.Backoff(ctx, endBackoffAttempt)
		}
	})
}

// handleBatchEndWrite processes the result of a write of the end of a request. It returns false
// if the write has to be repeated because no worker will report the end again.
func (e *Engine) handleBatchEndWrite(end batch.End, w *workerController, err error) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil {
		delete(e.storingEnd, end.ID)
		e.applyBatchEnd(end, w)
		return true
	}
	e.log("batch_end_not_stored", logrus.Fields{"batch": end.ID, "error": err})
	if _, placed := e.placer.WorkerOf(string(end.ID)); !placed {
		return false
	}
	delete(e.storingEnd, end.ID)
	return true
}

// applyBatchEnd applies the stored end of a request to the engine's state. The caller holds
// the engine's lock.
func (e *Engine) applyBatchEnd(end batch.End, w *workerController) {
	e.batches.Apply(batch.Entry{Ended: &end})
	e.placer.End(string(end.ID))
	if w != nil {
		w.removeTask(string(end.ID))
		w.pendingForgets[string(end.ID)] = true
		w.wake()
	}
	e.log("batch_ended", logrus.Fields{"batch": end.ID, "state": end.State, "worker": end.Worker})
	e.wake()
}

// recoverBatches reads the shard's batch requests from the store and retries until it succeeds.
func (e *Engine) recoverBatches(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		segments, err := e.deps.LoadBatches(ctx)
		if err == nil {
			e.applyLoadedSegments(segments)
			return
		}
		_ = store.Backoff(ctx, min(attempt, maxBackoffAttempt))
	}
}

func (e *Engine) applyLoadedSegments(segments []batch.Segment) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, segment := range segments {
		e.segments.Add(segment)
		for _, entry := range segment.Entries {
			e.batches.Apply(entry)
		}
	}
	e.recovery.batchesLoaded = true
	for _, w := range e.workers {
		w.wake()
	}
	e.wake()
}

// ReadBatch returns a batch request to the caller that submitted it.
func (e *Engine) ReadBatch(caller string, id batch.ID) (batch.Record, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.batches.Get(id)
	switch {
	case !ok && !e.recovery.batchesLoaded:
		return batch.Record{}, result.New(result.NotReady, "the owner has not read the batch requests yet").WithRetryAfter(refusalRetryAfter)
	case !ok:
		return batch.Record{}, result.New(result.UnknownBatch, "no batch request %s", id)
	case r.Caller != caller:
		return batch.Record{}, result.New(result.NotYours, "the batch request was made by another caller")
	}
	return r, nil
}
