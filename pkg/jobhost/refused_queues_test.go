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
func handIn(t *testing.T, h *Host, id string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+emulator.QueueHost+emulator.Prefix+id, strings.NewReader(`{"spec":"x","steps":[{"count":1}]}`))
	r.Host = emulator.QueueHost
	w := httptest.NewRecorder()
	h.door().ServeHTTP(w, r)
	return w
}

// The owner has reported that a queue accepts no jobs. A new job is refused with a time to retry, and not
// stored. A job that was accepted earlier stays accepted.
func TestQueueThatTakesInNoJobsRefusesNewOnesOnly(t *testing.T) {
	g := NewWithT(t)
	p := startPlatform(t)
	p.PutConfig(1)
	h, _ := newTestHost(t, p)
	items, _, err := h.store.List(t.Context(), "op/")
	g.Expect(err).NotTo(HaveOccurred())
	h.takeOperatorItems(items)
	go h.intake.run(t.Context())

	g.Expect(handIn(t, h, "5c0e7a21d94b36f8").Code).To(Equal(http.StatusOK))
	h.refusals.put([]*poolpb.Refusal{{Queue: h.config.Load().Queues[0].Name, WaitMs: 13_200, RetryAfterMs: 4200}}, h.clk.Now())
	w := handIn(t, h, "5c0e7a21d94b36f9")
	g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(w.Header().Get("Retry-After")).To(Equal("5"))
	g.Expect(p.Store.Values("foldarch/jobs/5c0e7a21d94b36f9")).To(BeEmpty())
	g.Expect(handIn(t, h, "5c0e7a21d94b36f8").Code).To(Equal(http.StatusOK), "it is the same job")
	g.Expect(h.figures.unserved.Count()).To(BeEquivalentTo(1))
}

// A list from an owner that is no longer heard refuses no queue.
func TestRefusalsHoldAsLongAsTheOwnerIsHeard(t *testing.T) {
	g := NewWithT(t)
	var q queueRefusals
	now := clock.Time(100_000)
	g.Expect(q.of("fits", now)).To(BeNil())
	q.put([]*poolpb.Refusal{{Queue: "fits"}}, now)
	g.Expect(q.of("fits", now.Add(refusalsHold))).NotTo(BeNil())
	g.Expect(q.of("others", now)).To(BeNil())
	g.Expect(q.of("fits", now.Add(refusalsHold+time.Millisecond))).To(BeNil())
	q.put(nil, now)
	g.Expect(q.of("fits", now)).To(BeNil())
}
