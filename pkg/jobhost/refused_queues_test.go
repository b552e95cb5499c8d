package jobhost

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

// postJob submits a job to a host's job handler and returns the answer.
func postJob(t *testing.T, h *Host, id string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+emulator.QueueHost+emulator.PathPrefix+id, strings.NewReader(`{"spec":"x","steps":[{"count":1}]}`))
	r.Host = emulator.QueueHost
	w := httptest.NewRecorder()
	h.jobHandler().ServeHTTP(w, r)
	return w
}

// The owner has reported that a queue accepts no jobs. A new job is refused with a time to retry, and not
// stored. A job that was accepted earlier stays accepted.
func TestRefusedQueueRejectsOnlyNewJobs(t *testing.T) {
	g := NewWithT(t)
	p := startPlatform(t)
	p.PutConfig(1)
	h, _ := newTestHost(t, p)
	items, _, err := h.store.List(t.Context(), "op/")
	g.Expect(err).NotTo(HaveOccurred())
	h.applyOperatorItems(items)
	go h.writer.run(t.Context())

	g.Expect(postJob(t, h, "5c0e7a21d94b36f8").Code).To(Equal(http.StatusOK))
	h.refusedQueues.set([]*poolpb.Refusal{{Queue: h.config.Load().Queues[0].Name, WaitMs: 13_200, RetryAfterMs: 4200}}, h.clk.Now())
	w := postJob(t, h, "5c0e7a21d94b36f9")
	g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(w.Header().Get("Retry-After")).To(Equal("5"))
	g.Expect(p.Store.Values("foldarch/jobs/5c0e7a21d94b36f9")).To(BeEmpty())
	g.Expect(postJob(t, h, "5c0e7a21d94b36f8").Code).To(Equal(http.StatusOK), "it is the same job")
	g.Expect(h.metrics.queueRefused.Count()).To(BeEquivalentTo(1))
}

// A list from an owner that no longer sends heartbeats refuses no queue.
func TestRefusalsExpireWithoutTheOwner(t *testing.T) {
	g := NewWithT(t)
	var q refusedQueueList
	now := clock.Time(100_000)
	g.Expect(q.find("fits", now)).To(BeNil())
	q.set([]*poolpb.Refusal{{Queue: "fits"}}, now)
	g.Expect(q.find("fits", now.Add(ownerListValidity))).NotTo(BeNil())
	g.Expect(q.find("others", now)).To(BeNil())
	g.Expect(q.find("fits", now.Add(ownerListValidity+time.Millisecond))).To(BeNil())
	q.set(nil, now)
	g.Expect(q.find("fits", now)).To(BeNil())
}
