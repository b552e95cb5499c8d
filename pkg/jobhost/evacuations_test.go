package jobhost

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func (h *Host) evacuatedHallNames() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.evacuated.Names()
}

func TestHostAppliesEvacuations(t *testing.T) {
	g := NewWithT(t)
	p := startPlatform(t)
	h, _ := newConfiguredHost(t, p)
	p.Evacuate("hall-a")
	p.Evacuate("hall-b")
	g.Eventually(h.evacuatedHallNames, "2s", "5ms").Should(Equal([]string{"hall-a", "hall-b"}))
	p.WithdrawEvacuation("hall-a")
	g.Eventually(h.evacuatedHallNames, "2s", "5ms").Should(Equal([]string{"hall-b"}))
}

// The watch fails because the store has compacted its history. Before the next list one evacuation is
// withdrawn and another one requested: the host must apply both.
func TestEvacuationsChangeBetweenWatchAndList(t *testing.T) {
	g := NewWithT(t)
	p := startPlatform(t)
	p.Evacuate("hall-a")
	h, _ := newTestHost(t, p)
	items, at, err := h.store.List(t.Context(), "op/")
	g.Expect(err).NotTo(HaveOccurred())
	h.applyOperatorList(items, at)
	p.WithdrawEvacuation("hall-a")
	p.Evacuate("hall-b")
	p.Store.Compact()
	runWatcher(t, h.operatorKeys)
	g.Eventually(h.evacuatedHallNames, "2s", "5ms").Should(Equal([]string{"hall-b"}))
	h.applyOperatorList(items, at) // an answer that was delayed
	g.Consistently(h.evacuatedHallNames, 100*time.Millisecond).Should(Equal([]string{"hall-b"}))
}
