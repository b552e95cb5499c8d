package poolowner

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/platform"
	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
)

// lateStore is a proxy of an emulated store. It leaves the first transaction without an answer and can
// execute it later.
type lateStore struct {
	*httptest.Server
	store *emulator.Store

	mu       sync.Mutex
	firstTxn []byte // body of the first transaction
}

func newLateStore(t *testing.T, s *emulator.Store) *lateStore {
	l := &lateStore{store: s}
	l.Server = httptest.NewServer(http.HandlerFunc(l.serve))
	t.Cleanup(l.Close)
	return l
}

func (l *lateStore) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/kv-txn" {
		l.store.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	l.mu.Lock()
	first := l.firstTxn == nil
	if first {
		l.firstTxn = body
	}
	l.mu.Unlock()
	if first {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	l.store.ServeHTTP(w, r)
}

// executeFirstTxn executes the first transaction now, if its conditions hold.
func (l *lateStore) executeFirstTxn() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.store.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/kv-txn", bytes.NewReader(l.firstTxn)))
}

// Guards against a late roster write that drops a worker. The first write gets no answer and is
// repeated; a later write adds a second worker, which then gets tasks. Seconds later the store executes
// the first write after all. Without a condition on the replaced record, the roster would lack the
// second worker. A new owner that finds the worker's entry gone too, as during store outages, would not
// poll it and would start its tasks again elsewhere.
func TestLateRosterWriteDoesNotRemoveAWorker(t *testing.T) {
	g := NewWithT(t)
	o, p, info := newOwnerOnEmulator(t)
	l := newLateStore(t, p.Store)
	o.deps.Store.SetAddress(netip.MustParseAddrPort(l.Listener.Addr().String()))
	o.pool.UpsertWorker(info, true, o.deps.Clock.Now())
	o.writeRoster(t.Context())
	other := info
	other.ID = "i-other"
	o.pool.UpsertWorker(other, true, o.deps.Clock.Now())
	o.writeRoster(t.Context())
	g.Expect(nextOwnerRoster(t, o)).To(ConsistOf(info.ID, other.ID))
	l.executeFirstTxn()
	g.Expect(nextOwnerRoster(t, o)).To(ConsistOf(info.ID, other.ID), "both workers may run tasks")
}

// nextOwnerRoster returns the workers that a new owner loads from the roster.
func nextOwnerRoster(t *testing.T, o *Owner) []dispatch.WorkerID {
	g := NewWithT(t)
	next := New(Deps{
		Name: "next", Clock: clock.System(), Store: o.deps.Store, Workers: platform.NewWorkerClient(0, 0, nil), Bounds: o.deps.Bounds, Log: o.deps.Log, Metrics: o.deps.Metrics,
	}, Claim{Term: 2, Revision: o.claim.Revision})
	items, err := next.readRoster(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(items).NotTo(BeEmpty())
	next.loadRoster(items)
	var workers []dispatch.WorkerID
	for _, w := range next.pool.Workers() {
		workers = append(workers, w.ID)
	}
	return workers
}

// Guards against rewriting the whole roster at a takeover: a new owner of 6,000 workers would write for
// seconds before it could use any.
func TestNewOwnerDoesNotRewriteUnchangedRosterRecords(t *testing.T) {
	g := NewWithT(t)
	o, _, info := newOwnerOnEmulator(t)
	o.pool.UpsertWorker(info, true, o.deps.Clock.Now())
	o.writeRoster(t.Context())
	next := New(o.deps, Claim{Term: 2, Revision: o.claim.Revision})
	g.Expect(next.loadWorkers(t.Context())).To(Succeed())
	g.Expect(next.rosterChanges()).To(BeEmpty())
	other := info
	other.ID = "i-other"
	next.pool.UpsertWorker(other, true, o.deps.Clock.Now())
	g.Expect(next.rosterChanges()).To(ConsistOf(rosterChange{"i-other", []dispatch.WorkerInfo{other}}))
}

// A terminated worker is removed, so that no later owner waits for it.
func TestTerminatedWorkerIsRemovedFromTheRoster(t *testing.T) {
	g := NewWithT(t)
	o, p, info := newOwnerOnEmulator(t)
	o.pool.UpsertWorker(info, true, o.deps.Clock.Now())
	o.writeRoster(t.Context())
	g.Expect(p.Store.Values(jobstore.RosterPrefix)).To(HaveLen(1))
	leaving := info
	leaving.Draining = true
	o.pool.UpsertWorker(leaving, true, o.deps.Clock.Now())
	now := o.deps.Clock.Now().Add(time.Hour)
	o.pool.RemoveEntry(info.ID, true, now)
	o.pool.Plan(now, true)
	o.pool.ApplyCommit(o.pool.PrepareCommit())
	o.writeRoster(t.Context())
	g.Expect(p.Store.Values(jobstore.RosterPrefix)).To(BeEmpty())
}

// The worker of an unreadable record can't be polled, so its leases must expire before jobs of the
// previous owner start again.
func TestUnreadableRosterRecordKeepsTakeoverPending(t *testing.T) {
	g := NewWithT(t)
	o, p, _ := newOwnerOnEmulator(t)
	p.Store.Put(jobstore.RosterKey("i-unreadable"), []byte("?"))
	next := New(o.deps, Claim{Term: 2, Revision: o.claim.Revision})
	g.Expect(next.loadWorkers(t.Context())).To(Succeed())
	next.pool.MarkJobsLoaded()
	now := o.deps.Clock.Now()
	next.pool.Plan(now, true)
	g.Expect(next.pool.Status(now).TakeoverPending).To(BeTrue())
	g.Expect(next.roster).To(HaveKey("i-unreadable"))
}

// Guards against a later owner that loses which jobs may run on a silent worker: the owner after it
// would unblock them.
func TestWorkerRetiredByAPreviousOwnerStaysRetiredInTheRoster(t *testing.T) {
	g := NewWithT(t)
	o, p, info := newOwnerOnEmulator(t)
	info.Retired, info.Jobs = true, []job.ID{"a"}
	data, err := json.Marshal([]dispatch.WorkerInfo{info})
	g.Expect(err).NotTo(HaveOccurred())
	p.Store.Put(jobstore.RosterKey(info.ID.Name()), data)
	for term := int64(2); term <= 3; term++ {
		next := New(o.deps, Claim{Term: term, Revision: o.claim.Revision})
		g.Expect(next.loadWorkers(t.Context())).To(Succeed())
		g.Expect(next.rosterChanges()).To(BeEmpty(), "the record is up to date")
		g.Expect(next.pool.RosterEntries(info.ID.Name())).To(ConsistOf(And(HaveField("Retired", true), HaveField("Jobs", []job.ID{"a"}))))
	}
}

// Guards against a record that the store never takes and that is repeated for ever, so that no other worker
// gets into the roster, and so gets no tasks.
func TestRefusedRosterRecordHoldsUpOnlyItsWorker(t *testing.T) {
	g := NewWithT(t)
	o, p, info := newOwnerOnEmulator(t)
	knowValueBytes(o, p)
	for n := range 9 {
		w := info
		w.ID = workerName(n)
		if n == 4 {
			w.Labels = []string{strings.Repeat("<", emulatedValueBytes/2)} // six bytes each in the record
		}
		o.pool.UpsertWorker(w, true, o.deps.Clock.Now())
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	o.writeRoster(ctx)
	g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the write ends")
	g.Expect(nextOwnerRoster(t, o)).To(ConsistOf(workerName(0), workerName(1), workerName(2), workerName(3), workerName(5), workerName(6), workerName(7), workerName(8)))
	g.Expect(o.rosterChanges()).To(BeEmpty(), "it is not tried again before it changes")
	g.Expect(metrics.GetOrRegisterCounter("pool.value_refused", o.deps.Metrics).Count()).To(BeEquivalentTo(1))
}
