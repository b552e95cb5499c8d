package shard

import (
	"context"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/batch"
	"foldarch.dev/foldarch/pkg/result"
	"foldarch.dev/foldarch/pkg/store"
	. "github.com/onsi/gomega"
)

// Guards against a request that runs again under a later owner, after its window: the write of a first copy took effect without an answer, so that its segment is not known.
func TestRequestWhoseFirstCopyWasUnsettledDoesNotRunAgain(t *testing.T) {
	g := NewWithT(t)
	s := newSegmentStore()
	puts := 0
	lose := func(ctx context.Context, key, value string) (int64, error) {
		puts++
		r, err := s.put(ctx, key, value)
		if puts == 1 {
			return 0, store.ErrUnsettled
		}
		return r, err
	}
	e := newOwnerThatPuts(t, s, lose, 1, always)
	req := Submission{Caller: "tester", Key: "k", Workload: "publish", Payload: "p"}
	_, err := e.SubmitBatch(e.runCtx, req)
	g.Expect(result.From(err).Code).To(Equal(result.InProgress))
	kept, err := e.SubmitBatch(e.runCtx, req)
	g.Expect(err).NotTo(HaveOccurred())
	end := batch.Entry{Ended: &batch.End{ID: kept.ID, State: batch.Done, At: time.Now().Add(-2 * time.Hour)}}
	g.Expect(e.journal.Append(e.runCtx, end)).To(Succeed())
	e.mu.Lock()
	e.book.Apply(end)
	e.mu.Unlock()
	for range 10 {
		e.removeOne(e.runCtx)
	}
	next := newRecoveredOwner(t, s, 2, always)
	g.Expect(next.Explain("publish")).To(BeEmpty())
}

// Guards against segments that are kept for ever: the end of their request was stored twice.
func TestSegmentsOfARequestWithTwoStoredEndsAreRemoved(t *testing.T) {
	g := NewWithT(t)
	s := newSegmentStore()
	e := newRecoveredOwner(t, s, 1, always)
	kept, err := e.SubmitBatch(e.runCtx, Submission{Caller: "tester", Key: "k", Workload: "publish", Payload: "p"})
	g.Expect(err).NotTo(HaveOccurred())
	end := batch.Entry{Ended: &batch.End{ID: kept.ID, State: batch.Done, At: time.Now().Add(-2 * time.Hour)}}
	g.Expect(e.journal.Append(e.runCtx, end)).To(Succeed())
	g.Expect(e.journal.Append(e.runCtx, end)).To(Succeed())
	next := newRecoveredOwner(t, s, 2, always)
	for range 10 {
		next.removeOne(next.runCtx)
	}
	g.Expect(s.len()).To(Equal(0))
}
