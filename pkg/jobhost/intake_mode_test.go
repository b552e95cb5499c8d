package jobhost

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/poolrpc"
	"foldarch.dev/foldarch/pkg/reach"
	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

// isCutOff returns a function that reports whether a host is in the mode of hosts that reach neither the
// store nor the owner.
func isCutOff(h *Host) func() bool {
	return func() bool { return h.mode() == reach.HostCutOff }
}

// Guards against a host that reports ready and holds calls after its hall was cut off. In a pool of 588
// hosts with a heartbeat a second, each host of the hall still relied on its link to the owner for 3.2 s.
// Calls got 504 or passed their deadline (44 and 15 of them), although hosts of other halls could have
// accepted them.
func TestCutOffHostRefusesAtOnce(t *testing.T) {
	g := NewWithT(t)
	p := startPlatform(t)
	h, _ := newConfiguredHost(t, p)
	g.Expect(h.store.Reachable(t.Context(), "foldarch/owner/holder")).To(BeTrue(), "an absent key is an answer")
	go h.writer.run(t.Context())
	go h.watchStore(t.Context())
	g.Expect(postJob(t, h, "5c0e7a21d94b36f8").Code).To(Equal(http.StatusOK))
	p.Store.SetMode(emulator.StoreSilent)
	g.Eventually(isCutOff(h), reach.SilenceTimeout(poolrpc.SlowHeartbeatInterval)+2*storeTimeout, "10ms").Should(BeTrue())
	began := time.Now()
	w := postJob(t, h, "5c0e7a21d94b36f9")
	g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(w.Header().Get("Retry-After")).To(Equal(fmt.Sprint(reach.RetryAfter("5c0e7a21d94b36f9", 4900*time.Millisecond).Seconds())), "of the 5 s for a call without a deadline")
	g.Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
	p.Store.SetMode(emulator.StoreUp)
	g.Eventually(isCutOff(h), "3s", "10ms").Should(BeFalse())
	g.Expect(p.Store.Values("foldarch/jobs/5c0e7a21d94b36f9")).To(BeEmpty(), "it was refused, so it never runs")
}

// The owner is responsive, so it may reach the store.
func TestHostWithResponsiveOwnerIsNotCutOff(t *testing.T) {
	g := NewWithT(t)
	p := startPlatform(t)
	h, _ := newConfiguredHost(t, p)
	go h.watchStore(t.Context())
	h.member.Store(poolrpc.NewMember(poolrpc.MemberHandlers{}, h.clk))
	p.Store.SetMode(emulator.StoreSilent)
	g.Consistently(isCutOff(h), "700ms", "20ms").Should(BeFalse())
	g.Eventually(isCutOff(h), "2s", "20ms").Should(BeTrue(), "its link is silent, too")
}
