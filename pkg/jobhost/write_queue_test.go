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
func newWaitingWrite(t *testing.T, key string, left time.Duration) (*write, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(t.Context(), left)
	t.Cleanup(cancel)
	return &write{ctx: ctx, key: key, done: make(chan writeResult, 1)}, cancel
}

func writeKeys(group []*write) []string {
	var keys []string
	for _, w := range group {
		keys = append(keys, w.key)
	}
	return keys
}

// Guards against writes that miss their callers' deadlines after an outage of the store because writes
// with more time left, or without a waiting caller, are sent first.
func TestWritesAreOrderedByDeadlineAfterAnOutage(t *testing.T) {
	g := NewWithT(t)
	q := newWriteQueue()
	var abandoned *write
	for key, left := range map[string]time.Duration{"later": 3 * time.Second, "soon": time.Second, "soonest": 500 * time.Millisecond, "abandoned": 400 * time.Millisecond} {
		w, cancel := newWaitingWrite(t, key, left)
		if key == "abandoned" {
			abandoned = w
			cancel()
		}
		g.Expect(q.add(w)).To(BeTrue())
	}
	g.Expect(writeKeys(q.take(2, true))).To(Equal([]string{"soonest", "soon"}))
	g.Expect((<-abandoned.done).err).To(MatchError(platform.ErrRefused), "it was not sent")
	g.Expect(q.notEmpty).To(Receive(), "one write is left")
	g.Expect(writeKeys(q.take(2, true))).To(Equal([]string{"later"}))
}

func TestWritesAreOrderedByArrivalOtherwise(t *testing.T) {
	g := NewWithT(t)
	q := newWriteQueue()
	first, _ := newWaitingWrite(t, "first", 3*time.Second)
	second, _ := newWaitingWrite(t, "second", time.Second)
	g.Expect(q.add(first)).To(BeTrue())
	g.Expect(q.add(second)).To(BeTrue())
	g.Expect(q.remove(first)).To(BeTrue())
	g.Expect(q.remove(first)).To(BeFalse(), "it may have been sent")
	g.Expect(q.add(first)).To(BeTrue())
	g.Expect(writeKeys(q.take(2, false))).To(Equal([]string{"second", "first"}))
	for range maxWaitingWrites {
		g.Expect(q.add(first)).To(BeTrue())
	}
	g.Expect(q.add(second)).To(BeFalse(), "the queue is bounded")
}

// Guards against hosts that still refuse jobs after the store has recovered, until a call sent during the
// outage times out.
func TestHostAcceptsJobsRightAfterAnOutage(t *testing.T) {
	g := NewWithT(t)
	p := startPlatform(t)
	h, _ := newConfiguredHost(t, p)
	h.hostCount.Store(44)
	go h.writer.run(t.Context())
	go h.watchStore(t.Context())
	p.Store.SetMode(emulator.StoreSilent)
	g.Eventually(h.storeAge, "4s", "10ms").Should(BeNumerically(">", storeAnswerMaxAge), "watches that were already running are answered")
	g.Expect(h.mode().AcceptsJobs()).To(BeFalse())
	p.Store.SetMode(emulator.StoreUp)
	began := time.Now()
	g.Eventually(func() int { return postJob(t, h, "5c0e7a21d94b36f8").Code }, "2s", "2ms").Should(Equal(200))
	g.Expect(time.Since(began)).To(BeNumerically("<", time.Second), "a caller that was refused comes back after a second at the earliest")
	g.Expect(h.writer.recoveredWithin(deadlineOrderTime)).To(BeTrue())
}

// Guards against probes of hundreds of hosts without a responsive owner that use up the store's read
// rate.
func TestProbesOfAllHostsStayWithinTheirReadShare(t *testing.T) {
	g := NewWithT(t)
	h, _ := newTestHost(t, startPlatform(t))
	for hosts, pause := range map[int64]time.Duration{3: probeInterval, 44: probeInterval, 588: 1176 * time.Millisecond} {
		h.hostCount.Store(hosts)
		g.Expect(h.nextProbeInterval()).To(Equal(pause), "%d hosts, 2,000 reads a second", hosts)
	}
}
