package shard

import (
	"context"
	"time"

	"foldarch.dev/foldarch/pkg/batch"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/settings"
	"foldarch.dev/foldarch/pkg/store"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// removeEvery bounds the writes that removal costs: one a shard in this time.
const removeEvery = 5 * time.Second

// segmentStored takes in a segment and the requests in it at once: between the two, the
// removal would find a segment of requests that nobody knows. Requests of a segment that
// the store may not hold are not accepted.
func (e *Engine) segmentStored(s batch.Segment) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.segments.Add(s)
	if s.Unsettled {
		e.log("segment_unsettled", logrus.Fields{"segment": s.Key, "entries": len(s.Entries)})
		return
	}
	for _, entry := range s.Entries {
		if entry.Submitted != nil {
			e.acceptBatch(*entry.Submitted)
		}
	}
}

// removeSegments is the duty that removes batch segments of which every request ended
// longer ago than its window.
func (e *Engine) removeSegments(ctx context.Context) {
	clock.Every(ctx, removeEvery, func() { e.removeOne(ctx) })
}

func (e *Engine) removeOne(ctx context.Context) {
	e.mu.Lock()
	var s batch.Segment
	found := false
	if e.recovery.settled && e.deps.StoreUp() {
		s, found = e.segments.Removable(e.book, e.deps.Clock.Wall(), e.keepFor)
	}
	e.mu.Unlock()
	if !found || !e.authorized() {
		return
	}
	// A segment never changes, so a conflict says that it is gone: an answer was lost.
	if err := e.deps.RemoveSegment(ctx, s.Key, s.Revision); err != nil && !errors.Is(err, store.ErrConflict) {
		e.log("segment_not_removed", logrus.Fields{"segment": s.Key, "error": err})
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.segments.Removed(s.Key, e.book)
}

// keepFor is how long a result is kept for its caller after the end: a window.
func (e *Engine) keepFor(r batch.Record) time.Duration {
	if w, ok := e.tree.Workloads[r.Workload]; ok {
		return w.Window
	}
	return settings.DefaultWindow
}
