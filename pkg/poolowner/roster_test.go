package poolowner

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
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
)

// lateStore is a store in front of an emulated one that leaves the first transaction without an answer and can carry it out later.
type lateStore struct {
	*httptest.Server
	store *emulator.Store

	mu   sync.Mutex
	late []byte // the body of the first transaction
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
	first := l.late == nil
	if first {
		l.late = body
	}
	l.mu.Unlock()
	if first {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	l.store.ServeHTTP(w, r)
}

// carryOut carries out the first transaction now, if its conditions hold.
func (l *lateStore) carryOut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.store.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/kv-txn", bytes.NewReader(l.late)))
}

// A write of the roster got no answer and was tried again; a later one named one more worker, which got tasks from then on. Seconds later the store
// carried out the first write, since the owner was still the same, and the roster named the new worker no more. A new owner that finds its entry gone,
// as entries are while the store is away, does not ask that worker and starts again what it runs. Found by a review, without a play of it.
func TestLateWriteOfTheRosterDoesNotTakeAWorkerOffIt(t *testing.T) {
	g := NewWithT(t)
	o, p, info := ownerOfEmulated(t)
	l := newLateStore(t, p.Store)
	o.deps.Store.SetAddress(netip.MustParseAddrPort(l.Listener.Addr().String()))
	o.pool.UpsertWorker(info, true, o.deps.Clock.Now())
	o.writeRoster(t.Context())
	other := info
	other.ID = "i-other"
	o.pool.UpsertWorker(other, true, o.deps.Clock.Now())
	o.writeRoster(t.Context())
	g.Expect(rosterOf(t, o)).To(ConsistOf(info.ID, other.ID))
	l.carryOut()
	g.Expect(rosterOf(t, o)).To(ConsistOf(info.ID, other.ID), "both may run tasks")
}

// rosterOf lists the workers of which a new owner would learn from the roster.
func rosterOf(t *testing.T, o *Owner) []dispatch.WorkerID {
	g := NewWithT(t)
	next := New(Deps{
		Name: "next", Clock: clock.System(), Store: o.deps.Store, Workers: platform.NewWorkers(0, nil), Bounds: o.deps.Bounds, Log: o.deps.Log, Figures: o.deps.Figures,
	}, Claim{Term: 2, Revision: o.claim.Revision})
	items, err := next.listRoster(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(items).NotTo(BeEmpty())
	next.takeRoster(items)
	var ids []dispatch.WorkerID
	for _, w := range next.pool.Workers() {
		ids = append(ids, w.ID)
	}
	return ids
}

// A new owner of 6,000 workers would write for seconds before it could use any.
func TestNewOwnerWritesNothingForWorkersThatAreOnTheRoster(t *testing.T) {
	g := NewWithT(t)
	o, _, info := ownerOfEmulated(t)
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

// A worker that has left is taken off, so that no later owner waits for it.
func TestWorkerThatIsGoneIsTakenOffTheRoster(t *testing.T) {
	g := NewWithT(t)
	o, p, info := ownerOfEmulated(t)
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

// What such a worker runs can't be asked, so it has to lapse before jobs of the former owner start again.
func TestRecordOfTheRosterThatCannotBeRead(t *testing.T) {
	g := NewWithT(t)
	o, p, _ := ownerOfEmulated(t)
	p.Store.Put(jobstore.RosterKey("i-unreadable"), []byte("?"))
	next := New(o.deps, Claim{Term: 2, Revision: o.claim.Revision})
	g.Expect(next.loadWorkers(t.Context())).To(Succeed())
	next.pool.MarkJobsLoaded()
	now := o.deps.Clock.Now()
	next.pool.Plan(now, true)
	g.Expect(next.pool.Status(now).TakeoverPending).To(BeTrue())
	g.Expect(next.roster).To(HaveKey("i-unreadable"))
}

// A later owner that forgets which jobs may run on a silent worker frees them for the one after it.
func TestRetiredWorkerOfAFormerOwnerStaysSoOnTheRoster(t *testing.T) {
	g := NewWithT(t)
	o, p, info := ownerOfEmulated(t)
	info.Retired, info.Jobs = true, []job.ID{"a"}
	text, err := json.Marshal([]dispatch.WorkerInfo{info})
	g.Expect(err).NotTo(HaveOccurred())
	p.Store.Put(jobstore.RosterKey(info.ID.Name()), text)
	for term := int64(2); term <= 3; term++ {
		next := New(o.deps, Claim{Term: term, Revision: o.claim.Revision})
		g.Expect(next.loadWorkers(t.Context())).To(Succeed())
		g.Expect(next.rosterChanges()).To(BeEmpty(), "the record is as it should be")
		g.Expect(next.pool.RosterEntries(info.ID.Name())).To(ConsistOf(And(HaveField("Retired", true), HaveField("Jobs", []job.ID{"a"}))))
	}
}
