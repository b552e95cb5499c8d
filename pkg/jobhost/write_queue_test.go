package jobhost

import (
	"context"
	"testing"
	"time"

	"foldarch.dev/foldarch/platform"
	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

// newWaitingWrite returns a write whose caller waits for the given time.
func waiting(t *testing.T, key string, left time.Duration) (*write, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(t.Context(), left)
	t.Cleanup(cancel)
	return &write{ctx: ctx, key: key, done: make(chan putResult, 1)}, cancel
}

func keysOf(group []*write) []string {
	var keys []string
	for _, w := range group {
		keys = append(keys, w.key)
	}
	return keys
}

// Guards against writes that miss their callers' deadlines after an outage of the store because writes
// with more time left, or without a waiting caller, are sent first.
func TestWritesGoInOrderOfTheirDeadlinesAfterTheStoresReturn(t *testing.T) {
	g := NewWithT(t)
	q := newWriteQueue()
	var abandoned *write
	for key, left := range map[string]time.Duration{"later": 3 * time.Second, "soon": time.Second, "soonest": 500 * time.Millisecond, "abandoned": 400 * time.Millisecond} {
		w, cancel := waiting(t, key, left)
		if key == "abandoned" {
			abandoned = w
			cancel()
		}
		g.Expect(q.put(w)).To(BeTrue())
	}
	g.Expect(keysOf(q.take(2, true))).To(Equal([]string{"soonest", "soon"}))
	g.Expect((<-abandoned.done).err).To(MatchError(platform.ErrRefused), "it was not sent")
	g.Expect(q.more).To(Receive(), "one write is left")
	g.Expect(keysOf(q.take(2, true))).To(Equal([]string{"later"}))
}

func TestWritesGoInOrderOfArrivalOtherwise(t *testing.T) {
	g := NewWithT(t)
	q := newWriteQueue()
	first, _ := waiting(t, "first", 3*time.Second)
	second, _ := waiting(t, "second", time.Second)
	g.Expect(q.put(first)).To(BeTrue())
	g.Expect(q.put(second)).To(BeTrue())
	g.Expect(q.remove(first)).To(BeTrue())
	g.Expect(q.remove(first)).To(BeFalse(), "it may have been sent")
	g.Expect(q.put(first)).To(BeTrue())
	g.Expect(keysOf(q.take(2, false))).To(Equal([]string{"second", "first"}))
	for range mostWaiting {
		g.Expect(q.put(first)).To(BeTrue())
	}
	g.Expect(q.put(second)).To(BeFalse(), "the queue is bounded")
}

// Guards against hosts that still refuse jobs after the store has recovered, until a call sent during the
// outage times out.
func TestHostTakesInAgainRightAfterTheStoresReturn(t *testing.T) {
	g := NewWithT(t)
	p := startPlatform(t)
	h, _ := newFollowingHost(t, p)
	h.hosts.Store(44)
	go h.intake.run(t.Context())
	go h.watchReach(t.Context())
	p.Store.SetMode(emulator.StoreSilent)
	g.Eventually(h.storeAge, "4s", "10ms").Should(BeNumerically(">", storeFresh), "watches that were already running are answered")
	g.Expect(h.row().Open()).To(BeFalse())
	p.Store.SetMode(emulator.StoreUp)
	began := time.Now()
	g.Eventually(func() int { return handIn(t, h, "5c0e7a21d94b36f8").Code }, "2s", "2ms").Should(Equal(200))
	g.Expect(time.Since(began)).To(BeNumerically("<", time.Second), "a caller that was refused comes back after a second at the earliest")
	g.Expect(h.intake.backSince(orderedFor)).To(BeTrue())
}

// Guards against probes of hundreds of hosts without a responsive owner that use up the store's read
// rate.
func TestProbesOfAllHostsTakeAShareOfTheStoresRate(t *testing.T) {
	g := NewWithT(t)
	h, _ := newTestHost(t, startPlatform(t))
	for hosts, pause := range map[int64]time.Duration{3: probeEvery, 44: probeEvery, 588: 1176 * time.Millisecond} {
		h.hosts.Store(hosts)
		g.Expect(h.probePause()).To(Equal(pause), "%d hosts, 2,000 reads a second", hosts)
	}
}
