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

// Guards against a request that runs a second time under a later owner. The write of its
// first copy took effect but was not answered, so the owner does not know whether that
// segment exists. After the request's window the owner must not remove the segment with
// the end of the request while the first copy may remain.
func TestRequestWithUnsettledFirstCopyDoesNotRunAgain(t *testing.T) {
	g := NewWithT(t)
	s := newSegmentStore()
	puts := 0
	loseFirstAnswer := func(ctx context.Context, key, value string) (int64, error) {
		puts++
		r, err := s.put(ctx, key, value)
		if puts == 1 {
			return 0, store.ErrUnsettled
		}
		return r, err
	}
	e := newOwnerWithPut(t, s, loseFirstAnswer, 1, always)
	submission := Submission{Caller: "tester", Key: "k", Workload: "publish", Payload: "p"}
	_, err := e.SubmitBatch(e.runCtx, submission)
	g.Expect(result.From(err).Code).To(Equal(result.InProgress))
	accepted, err := e.SubmitBatch(e.runCtx, submission)
	g.Expect(err).NotTo(HaveOccurred())
	end := batch.Entry{Ended: &batch.End{ID: accepted.ID, State: batch.Done, At: time.Now().Add(-2 * time.Hour)}}
	g.Expect(e.journal.Append(e.runCtx, end)).To(Succeed())
	e.mu.Lock()
	e.batches.Apply(end)
	e.mu.Unlock()
	for range 10 {
		e.removeSegment(e.runCtx)
	}
	next := newRecoveredOwner(t, s, 2, always)
	g.Expect(next.Explain("publish")).To(BeEmpty())
}

// Guards against segments that are never removed because the end of their request was
// stored twice.
func TestSegmentsOfARequestWithTwoStoredEndsAreRemoved(t *testing.T) {
	g := NewWithT(t)
	s := newSegmentStore()
	e := newRecoveredOwner(t, s, 1, always)
	accepted, err := e.SubmitBatch(e.runCtx, Submission{Caller: "tester", Key: "k", Workload: "publish", Payload: "p"})
	g.Expect(err).NotTo(HaveOccurred())
	end := batch.Entry{Ended: &batch.End{ID: accepted.ID, State: batch.Done, At: time.Now().Add(-2 * time.Hour)}}
	g.Expect(e.journal.Append(e.runCtx, end)).To(Succeed())
	g.Expect(e.journal.Append(e.runCtx, end)).To(Succeed())
	next := newRecoveredOwner(t, s, 2, always)
	for range 10 {
		next.removeSegment(next.runCtx)
	}
	g.Expect(s.len()).To(Equal(0))
}
