package poolowner

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/platform"
	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// newOwnerOnEmulator returns an owner that is recorded in the store of an emulated platform, and the
// only worker of its pool.
func newOwnerOnEmulator(t *testing.T) (*Owner, *emulator.Platform, dispatch.WorkerInfo) {
	g := NewWithT(t)
	p, err := emulator.Start(emulator.Options{Workers: 1})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(p.Close)
	clk := clock.System()
	store := platform.NewStore(platform.StoreSettings{Address: netip.MustParseAddrPort(p.StoreAddress())},
		platform.StoreOptions{CallTimeout: time.Second, WritesPerSecond: 1000, ReadsPerSecond: 1000}, clk)
	revision, _, err := store.Commit(t.Context(), platform.Txn{Put: []platform.Put{{Key: jobstore.OwnerRecordKey, Value: []byte("{}")}}})
	g.Expect(err).NotTo(HaveOccurred())
	items, _, err := store.List(t.Context(), platform.WorkersPrefix)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(items).To(HaveLen(1))
	info, err := platform.ParseWorker(items[0])
	g.Expect(err).NotTo(HaveOccurred())
	o := New(Deps{
		Name: "host", Clock: clk, Store: store, Workers: platform.NewWorkerClient(time.Second, 0, nil), HeartbeatInterval: time.Second,
		Bounds:   platform.Bounds{MaxHold: 6 * time.Second, Drain: 2 * time.Second},
		HasLease: func(clock.Time) bool { return true }, Log: logrus.NewEntry(logrus.New()), Metrics: metrics.NewRegistry(),
	}, Claim{Term: 1, Revision: revision, First: true})
	o.deps.Log.Logger.SetLevel(logrus.ErrorLevel)
	return o, p, info
}

// Guards against a pause after each answer of the watch, also after full ones. With 3,000 workers, which
// write 2,000 times a second, and 500 changes in an answer, the owner saw 5 s late that workers were
// leaving.
func TestOwnerSeesALeavingWorkerBehindThousandsOfHeartbeats(t *testing.T) {
	g := NewWithT(t)
	o, p, info := newOwnerOnEmulator(t)
	key := platform.WorkersPrefix + string(info.ID)
	entry := p.Store.Value(key)
	for range 8000 {
		p.Store.Put(key, entry)
	}
	p.Workers[0].Drain(time.Minute)
	readTime := timeToRead(t, o)
	ctx, cancel := context.WithCancel(t.Context())
	o.background.Go(func() { o.watchWorkers(ctx) })
	defer o.background.Wait()
	defer cancel()
	draining := func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		workers := o.pool.Workers()
		return len(workers) == 1 && workers[0].Draining
	}
	// The platform's limit plus the time that reading takes on this machine. Pauses after each answer
	// would add 5 s.
	limit := o.deps.Bounds.Drain + readTime
	g.Eventually(draining, limit, 10*time.Millisecond).Should(BeTrue(), "the platform allows %s, reading takes %s", o.deps.Bounds.Drain, readTime)
}

// timeToRead returns how long this machine takes to read all changes of the workers' entries, one answer
// after the other.
func timeToRead(t *testing.T, o *Owner) time.Duration {
	t.Helper()
	startedAt := time.Now()
	for after := int64(0); ; {
		items, at, err := o.deps.Store.Watch(t.Context(), platform.WorkersPrefix, after, 0)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		if len(items) == 0 {
			return time.Since(startedAt)
		}
		after = at
	}
}
