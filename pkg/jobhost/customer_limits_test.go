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
func newLimit(share float64, queueName string) []*poolpb.Limit {
	return []*poolpb.Limit{{Customer: "hot", Queues: []*poolpb.Refusal{{Queue: queueName, WaitMs: 13_200, RetryAfterMs: 4200, Share: share}}}}
}

// postJobWithKey submits a job with a customer's key and returns the answer.
func postJobWithKey(t *testing.T, h *Host, key, id string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+emulator.QueueHost+emulator.PathPrefix+id, strings.NewReader(`{"spec":"x","steps":[{"count":1}]}`))
	r.Host = emulator.QueueHost
	r.Header.Set("X-Api-Key", key)
	w := httptest.NewRecorder()
	h.jobHandler().ServeHTTP(w, r)
	return w
}

// newCustomersHost returns a host whose configuration has two customers: "hot" with the key "h", and
// "other" with the key "o".
func newCustomersHost(t *testing.T) (*Host, *emulator.Platform) {
	t.Helper()
	p, err := emulator.Start(emulator.Options{Customers: []emulator.Customer{{Name: "hot", Keys: []string{"h"}}, {Name: "other", Keys: []string{"o"}}}})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(p.Close)
	p.PutConfig(1)
	h, _ := newTestHost(t, p)
	h.applyOperatorItems(listKeys(t, h, "op/"))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go h.writer.run(ctx)
	return h, p
}

// A job outside the accepted share of its customer's jobs is refused with a time to retry, and not
// stored. Jobs of other customers are accepted, and a job that was accepted earlier stays accepted.
func TestCustomerOverItsShareIsRefused(t *testing.T) {
	g := NewWithT(t)
	h, p := newCustomersHost(t)
	const before, refused, others = "5c0e7a21d94b3600", "5c0e7a21d94b3601", "5c0e7a21d94b3602"
	g.Expect(postJobWithKey(t, h, "h", before).Code).To(Equal(http.StatusOK))
	h.limits.set(newLimit(0, h.config.Load().Queues[0].Name), h.clk.Now())
	w := postJobWithKey(t, h, "h", refused)
	g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(w.Header().Get("Retry-After")).To(Equal("5"))
	g.Expect(p.Store.Values("foldarch/jobs/" + refused)).To(BeEmpty())
	g.Expect(postJobWithKey(t, h, "h", before).Code).To(Equal(http.StatusOK), "it is the same job")
	g.Expect(postJobWithKey(t, h, "o", others).Code).To(Equal(http.StatusOK))
	g.Expect(h.metrics.overShare.Count()).To(BeEquivalentTo(1))
	g.Expect(h.metrics.queueRefused.Count()).To(BeZero())
}

// While the store can't tell whether a job was accepted earlier, the job is not refused for its
// customer's share.
func TestJobThatMayBeStoredIsNotRefusedForItsShare(t *testing.T) {
	g := NewWithT(t)
	h, p := newCustomersHost(t)
	p.Close()
	h.limits.set(newLimit(0, h.config.Load().Queues[0].Name), h.clk.Now())
	for n := range 3 {
		postJobWithKey(t, h, "h", fmt.Sprintf("5c0e7a21d94b36%02x", n))
	}
	g.Expect(h.metrics.overShare.Count()).To(BeZero())
}

// The decision on a job must be the same at all hosts and for each attempt, and the accepted part of many
// jobs must be the share that the owner has sent.
func TestAcceptanceDependsOnTheJobID(t *testing.T) {
	g := NewWithT(t)
	const jobs, share = 4000, 0.25
	accepted := 0
	for n := range jobs {
		r := job.Record{Job: job.Job{ID: job.ID(fmt.Sprintf("%016x", n))}, Queue: queue.Queue{Name: "sheets"}, Customer: customer.Customer{Name: "hot"}}
		refused := findLimit(newLimit(share, "sheets"), r) != nil
		if !refused {
			accepted++
			g.Expect(findLimit(newLimit(share+0.1, "sheets"), r)).To(BeNil(), "a job stays accepted when the share grows")
		}
		g.Expect(findLimit(newLimit(share, "ticks"), r)).To(BeNil(), "of another queue")
		r.Customer.Name = "other"
		g.Expect(findLimit(newLimit(share, "sheets"), r)).To(BeNil())
	}
	g.Expect(float64(accepted) / jobs).To(BeNumerically("~", share, 0.03))
}

// A list from an owner that no longer sends heartbeats limits no customer.
func TestLimitsExpireWithoutTheOwner(t *testing.T) {
	g := NewWithT(t)
	var c customerLimits
	now := clock.Time(100_000)
	g.Expect(c.current(now)).To(BeEmpty())
	c.set(newLimit(0.5, "sheets"), now)
	g.Expect(c.current(now.Add(ownerListValidity))).To(HaveLen(1))
	g.Expect(c.current(now.Add(ownerListValidity + time.Millisecond))).To(BeEmpty())
}
