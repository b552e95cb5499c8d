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

// removalInterval limits the load on the store: one removal per shard in this time.
const removalInterval = 5 * time.Second

// handleStoredSegment records a segment that was written to the store and accepts the
// requests that it contains. Both happen under one lock: otherwise the removal of segments
// could run between them and find a segment whose requests are unknown. Requests in an
// unsettled segment, which the store may not contain, are not accepted.
func (e *Engine) handleStoredSegment(s batch.Segment) {
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

// runSegmentRemoval periodically removes a batch segment whose requests all ended longer
// ago than their window.
func (e *Engine) runSegmentRemoval(ctx context.Context) {
	clock.Every(ctx, removalInterval, func() { e.removeSegment(ctx) })
}

func (e *Engine) removeSegment(ctx context.Context) {
	e.mu.Lock()
	var s batch.Segment
	found := false
	if e.recovery.complete && e.deps.StoreAvailable() {
		s, found = e.segments.Removable(e.batches, e.deps.Clock.Wall(), e.retention)
	}
	e.mu.Unlock()
	if !found || !e.authorized() {
		return
	}
	// A segment is never modified, so a conflict means that an earlier removal succeeded
	// although its answer was lost.
	if err := e.deps.RemoveSegment(ctx, s.Key, s.Revision); err != nil && !errors.Is(err, store.ErrConflict) {
		e.log("segment_not_removed", logrus.Fields{"segment": s.Key, "error": err})
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.segments.Remove(s.Key, e.batches)
}

// retention returns how long the result of a request is kept after its end, so that its
// caller can read it: the window of the workload.
func (e *Engine) retention(r batch.Record) time.Duration {
	if w, ok := e.tree.Workloads[r.Workload]; ok {
		return w.Window
	}
	return settings.DefaultWindow
}
