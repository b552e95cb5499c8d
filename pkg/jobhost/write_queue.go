package jobhost

import (
	"context"
	"slices"
	"sync"
	"time"

	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
)

// mostWaiting bounds the writes that wait.
const mostWaiting = 512

// write is one key to be written by a host, if it is not there yet.
type write struct {
	ctx   context.Context // of the caller who waits for it
	key   string
	value []byte
	// holder is the revision of the owner's record that must stand; 0 for none.
	holder int64
	done   chan putResult
}

// deadline is until when the caller waits; far away when that is not told.
func (w *write) deadline() time.Time {
	if d, ok := w.ctx.Deadline(); ok {
		return d
	}
	return time.Now().Add(time.Hour)
}

// refuse answers a write of which nothing was sent.
func (w *write) refuse(reason string) {
	w.done <- putResult{err: errors.Wrap(platform.ErrRefused, reason)}
}

// writeQueue holds the writes of which nothing was sent yet. It is safe for concurrent use.
type writeQueue struct {
	more chan struct{} // of size 1: writes wait

	mu      sync.Mutex
	waiting []*write
}

func newWriteQueue() *writeQueue {
	return &writeQueue{more: make(chan struct{}, 1)}
}

// put adds a write; it says whether there was room.
func (q *writeQueue) put(w *write) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= mostWaiting {
		return false
	}
	q.waiting = append(q.waiting, w)
	q.signal()
	return true
}

func (q *writeQueue) signal() {
	select {
	case q.more <- struct{}{}:
	default:
	}
}

// remove takes a write out; it says whether it still waited, so that nothing of it was or will be sent.
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

// take takes out up to most writes, in order of arrival or of their callers' deadlines. Writes whose callers are gone are refused.
func (q *writeQueue) take(most int, byDeadline bool) []*write {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = slices.DeleteFunc(q.waiting, func(w *write) bool {
		gone := w.ctx.Err() != nil
		if gone {
			w.refuse("the caller is gone")
		}
		return gone
	})
	if byDeadline {
		slices.SortStableFunc(q.waiting, func(a, b *write) int { return a.deadline().Compare(b.deadline()) })
	}
	n := min(most, len(q.waiting))
	taken := slices.Clone(q.waiting[:n])
	q.waiting = slices.Delete(q.waiting, 0, n)
	if len(q.waiting) > 0 {
		q.signal()
	}
	return taken
}

// refuseAll refuses all writes that wait.
func (q *writeQueue) refuseAll(reason string) {
	for _, w := range q.take(mostWaiting, false) {
		w.refuse(reason)
	}
}
