package jobhost

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/customer"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
	"foldarch.dev/foldarch/pkg/queue"
	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

// newLimit returns a list from the owner that accepts only a share of the jobs of customer "hot" in a
// queue.
func hotLimit(share float64, queueName string) []*poolpb.Limit {
	return []*poolpb.Limit{{Customer: "hot", Queues: []*poolpb.Refusal{{Queue: queueName, WaitMs: 13_200, RetryAfterMs: 4200, Share: share}}}}
}

// postJobWithKey submits a job with a customer's key and returns the answer.
func handInAs(t *testing.T, h *Host, key, id string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+emulator.QueueHost+emulator.Prefix+id, strings.NewReader(`{"spec":"x","steps":[{"count":1}]}`))
	r.Host = emulator.QueueHost
	r.Header.Set("X-Api-Key", key)
	w := httptest.NewRecorder()
	h.door().ServeHTTP(w, r)
	return w
}

// newCustomersHost returns a host that knows two customers, "hot" and "other", by the keys "h" and "o".
func newCustomersHost(t *testing.T) (*Host, *emulator.Platform) {
	t.Helper()
	p, err := emulator.Start(emulator.Options{Customers: []emulator.Customer{{Name: "hot", Keys: []string{"h"}}, {Name: "other", Keys: []string{"o"}}}})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(p.Close)
	p.PutConfig(1)
	h, _ := newTestHost(t, p)
	h.takeOperatorItems(listed(t, h, "op/"))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go h.intake.run(ctx)
	return h, p
}

// A job outside the accepted share of its customer's jobs is refused with a time to retry, and not
// stored. Jobs of other customers are accepted, and a job that was accepted earlier stays accepted.
func TestCustomerBeyondItsWeightIsRefused(t *testing.T) {
	g := NewWithT(t)
	h, p := newCustomersHost(t)
	const before, refused, others = "5c0e7a21d94b3600", "5c0e7a21d94b3601", "5c0e7a21d94b3602"
	g.Expect(handInAs(t, h, "h", before).Code).To(Equal(http.StatusOK))
	h.limits.put(hotLimit(0, h.config.Load().Queues[0].Name), h.clk.Now())
	w := handInAs(t, h, "h", refused)
	g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(w.Header().Get("Retry-After")).To(Equal("5"))
	g.Expect(p.Store.Values("foldarch/jobs/" + refused)).To(BeEmpty())
	g.Expect(handInAs(t, h, "h", before).Code).To(Equal(http.StatusOK), "it is the same job")
	g.Expect(handInAs(t, h, "o", others).Code).To(Equal(http.StatusOK))
	g.Expect(h.figures.beyondWeight.Count()).To(BeEquivalentTo(1))
	g.Expect(h.figures.unserved.Count()).To(BeZero())
}

// While the store can't tell whether a job was accepted earlier, the job is not refused for its
// customer's share.
func TestNothingIsRefusedForItsWeightThatMayBeKept(t *testing.T) {
	g := NewWithT(t)
	h, p := newCustomersHost(t)
	p.Close()
	h.limits.put(hotLimit(0, h.config.Load().Queues[0].Name), h.clk.Now())
	for n := range 3 {
		handInAs(t, h, "h", fmt.Sprintf("5c0e7a21d94b36%02x", n))
	}
	g.Expect(h.figures.beyondWeight.Count()).To(BeZero())
}

// The decision on a job must be the same at all hosts and for each attempt, and the accepted part of many
// jobs must be the share that the owner has sent.
func TestShareIsTakenInByTheJobsID(t *testing.T) {
	g := NewWithT(t)
	const jobs, share = 4000, 0.25
	accepted := 0
	for n := range jobs {
		r := job.Record{Job: job.Job{ID: job.ID(fmt.Sprintf("%016x", n))}, Queue: queue.Queue{Name: "sheets"}, Customer: customer.Customer{Name: "hot"}}
		refused := limitOf(hotLimit(share, "sheets"), r) != nil
		if !refused {
			accepted++
			g.Expect(limitOf(hotLimit(share+0.1, "sheets"), r)).To(BeNil(), "a job stays accepted when the share grows")
		}
		g.Expect(limitOf(hotLimit(share, "ticks"), r)).To(BeNil(), "of another queue")
		r.Customer.Name = "other"
		g.Expect(limitOf(hotLimit(share, "sheets"), r)).To(BeNil())
	}
	g.Expect(float64(accepted) / jobs).To(BeNumerically("~", share, 0.03))
}

// A list from an owner that is no longer heard limits no customer.
func TestLimitsHoldAsLongAsTheOwnerIsHeard(t *testing.T) {
	g := NewWithT(t)
	var c customerLimits
	now := clock.Time(100_000)
	g.Expect(c.now(now)).To(BeEmpty())
	c.put(hotLimit(0.5, "sheets"), now)
	g.Expect(c.now(now.Add(refusalsHold))).To(HaveLen(1))
	g.Expect(c.now(now.Add(refusalsHold + time.Millisecond))).To(BeEmpty())
}
