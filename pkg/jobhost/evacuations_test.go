package jobhost

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func (h *Host) evacuatedHalls() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.evacuated.Names()
}

func TestHostFollowsEvacuations(t *testing.T) {
	g := NewWithT(t)
	p := startPlatform(t)
	h, _ := newFollowingHost(t, p)
	p.Evacuate("hall-a")
	p.Evacuate("hall-b")
	g.Eventually(h.evacuatedHalls, "2s", "5ms").Should(Equal([]string{"hall-a", "hall-b"}))
	p.TakeBack("hall-a")
	g.Eventually(h.evacuatedHalls, "2s", "5ms").Should(Equal([]string{"hall-b"}))
}

// The watch fails because the store has compacted its history. Before the next list one evacuation is
// withdrawn and another one requested: the host must apply both.
func TestEvacuationsThatChangeWhileTheStoreForgets(t *testing.T) {
	g := NewWithT(t)
	p := startPlatform(t)
	p.Evacuate("hall-a")
	h, _ := newTestHost(t, p)
	items, at, err := h.store.List(t.Context(), "op/")
	g.Expect(err).NotTo(HaveOccurred())
	h.takeOperatorList(items, at)
	p.TakeBack("hall-a")
	p.Evacuate("hall-b")
	p.Store.Compact()
	follow(t, h.operatorKeys)
	g.Eventually(h.evacuatedHalls, "2s", "5ms").Should(Equal([]string{"hall-b"}))
	h.takeOperatorList(items, at) // an answer that was delayed
	g.Consistently(h.evacuatedHalls, 100*time.Millisecond).Should(Equal([]string{"hall-b"}))
}
