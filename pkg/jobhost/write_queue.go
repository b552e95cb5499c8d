package jobhost

import (
	"context"
	"slices"
	"sync"
	"time"

	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
)

// maxWaitingWrites bounds the number of waiting writes.
const maxWaitingWrites = 512

// write is a request to write one key if it does not exist yet.
type write struct {
	ctx   context.Context // of the caller that waits for the result
	key   string
	value []byte
	// ownerRevision is the required revision of the owner's record; 0 for no record.
	ownerRevision int64
	done          chan writeResult
}

// deadline returns when the caller stops waiting; an hour from now if that is unknown.
func (w *write) deadline() time.Time {
	if d, ok := w.ctx.Deadline(); ok {
		return d
	}
	return time.Now().Add(time.Hour)
}

// refuse answers a write that was not sent.
func (w *write) refuse(reason string) {
	w.done <- writeResult{err: errors.Wrap(platform.ErrRefused, reason)}
}

// writeQueue holds the writes that were not sent yet. It is safe for concurrent use.
type writeQueue struct {
	notEmpty chan struct{} // of capacity 1: signals that writes are waiting

	mu      sync.Mutex
	waiting []*write
}

func newWriteQueue() *writeQueue {
	return &writeQueue{notEmpty: make(chan struct{}, 1)}
}

// add adds a write and reports whether there was room.
func (q *writeQueue) add(w *write) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= maxWaitingWrites {
		return false
	}
	q.waiting = append(q.waiting, w)
	q.signal()
	return true
}

func (q *writeQueue) signal() {
	select {
	case q.notEmpty <- struct{}{}:
	default:
	}
}

// remove removes a write and reports whether it was still waiting, so that it was not and will not be
// sent.
func (q *writeQueue) remove(w *write) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := slices.Index(q.waiting, w)
	if n < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, n, n+1)
	return true
}

// take removes and returns up to limit writes, in order of arrival or of their callers' deadlines. Writes
// whose callers have gone away are refused.
func (q *writeQueue) take(limit int, byDeadline bool) []*write {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = slices.DeleteFunc(q.waiting, func(w *write) bool {
		ended := w.ctx.Err() != nil
		if ended {
			w.refuse("the caller is gone")
		}
		return ended
	})
	if byDeadline {
		slices.SortStableFunc(q.waiting, func(a, b *write) int { return a.deadline().Compare(b.deadline()) })
	}
	n := min(limit, len(q.waiting))
	batch := slices.Clone(q.waiting[:n])
	q.waiting = slices.Delete(q.waiting, 0, n)
	if len(q.waiting) > 0 {
		q.signal()
	}
	return batch
}

// refuseAll refuses all waiting writes.
func (q *writeQueue) refuseAll(reason string) {
	for _, w := range q.take(maxWaitingWrites, false) {
		w.refuse(reason)
	}
}
