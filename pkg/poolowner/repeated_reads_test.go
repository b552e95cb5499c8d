package poolowner

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/platform"
	"foldarch.dev/foldarch/platform/emulator"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
)

// pageCounter is a proxy of an emulated store. It counts the first and the later pages of lists by prefix.
type pageCounter struct {
	store *emulator.Store

	mu          sync.Mutex
	first       map[string]int
	later       map[string]int
	failedLater map[string]int // how many later pages to answer with 503
}

// newOwnerWithPageCounter returns an owner of an emulated platform that calls the store through the proxy.
func newOwnerWithPageCounter(t *testing.T) (*Owner, *emulator.Platform, *pageCounter) {
	previous, p, _ := newOwnerOnEmulator(t)
	c := &pageCounter{store: p.Store, first: map[string]int{}, later: map[string]int{}, failedLater: map[string]int{}}
	server := httptest.NewServer(c)
	t.Cleanup(server.Close)
	deps := previous.deps
	deps.Metrics, deps.Bounds.OutcomeRetention = metrics.NewRegistry(), time.Minute
	deps.Store = platform.NewStore(platform.StoreSettings{Address: netip.MustParseAddrPort(server.Listener.Addr().String())},
		platform.StoreOptions{CallTimeout: time.Second, Stall: time.Second, WritesPerSecond: 1000, ReadsPerSecond: 1000}, clock.System())
	return New(deps, Claim{Term: 2, Revision: previous.claim.Revision}), p, c
}

// ServeHTTP passes a request on, or fails it.
func (c *pageCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/kv-range" && c.countPage(r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after") == "") {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	c.store.ServeHTTP(w, r)
}

// countPage counts a page and reports whether it is to fail.
func (c *pageCounter) countPage(prefix string, first bool) (fails bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if first {
		c.first[prefix]++
		return false
	}
	c.later[prefix]++
	c.failedLater[prefix]--
	return c.failedLater[prefix] >= 0
}

// putPagesOfJobs writes keys of jobs that need more than one page.
func putPagesOfJobs(s *emulator.Store) {
	for n := range 600 {
		s.Put(jobstore.CancelKey(job.ID(fmt.Sprintf("%016x", n))), []byte("{}"))
	}
}

// Guards against a new owner on a slow link that lists everything again because one of its reads failed.
func TestFailedReadOfANewOwnerIsRepeatedAlone(t *testing.T) {
	g := NewWithT(t)
	o, _, c := newOwnerWithPageCounter(t)
	attempts := 0
	o.deps.ReadOperatorKeys = func(context.Context) error {
		if attempts++; attempts <= 2 {
			return errors.New("no answer")
		}
		return nil
	}
	ctx, cancel := context.WithCancel(t.Context())
	g.Expect(o.load(ctx)).To(Succeed())
	cancel()
	o.background.Wait()
	g.Expect(attempts).To(Equal(3))
	g.Expect(c.first).To(And(HaveKeyWithValue(jobstore.JobsPrefix, 1), HaveKeyWithValue(jobstore.ProgressPrefix, 1),
		HaveKeyWithValue(jobstore.RosterPrefix, 1), HaveKeyWithValue(platform.WorkersPrefix, 1)))
}

// Guards against a new owner that lists the jobs from the first page again when a later page fails.
func TestNewOwnerGoesOnWithThePageThatFailed(t *testing.T) {
	g := NewWithT(t)
	o, p, c := newOwnerWithPageCounter(t)
	putPagesOfJobs(p.Store)
	c.failedLater[jobstore.JobsPrefix] = 2
	o.deps.ReadOperatorKeys = func(context.Context) error { return nil }
	ctx, cancel := context.WithCancel(t.Context())
	g.Expect(o.load(ctx)).To(Succeed())
	cancel()
	o.background.Wait()
	g.Expect(c.first).To(HaveKeyWithValue(jobstore.JobsPrefix, 1))
	g.Expect(c.later).To(HaveKeyWithValue(jobstore.JobsPrefix, 3))
	g.Expect(o.earlyCancellations).To(HaveLen(600))
}

// Guards against the same after a watch that the store could not continue.
func TestListAfterACompactionGoesOnWithThePageThatFailed(t *testing.T) {
	g := NewWithT(t)
	o, p, c := newOwnerWithPageCounter(t)
	o.loaded.Store(true)
	putPagesOfJobs(p.Store)
	p.Store.Compact()
	c.failedLater[jobstore.JobsPrefix] = 1
	g.Expect(o.watchJobsOnce(t.Context())).NotTo(Succeed())
	g.Expect(o.watchJobsOnce(t.Context())).To(Succeed())
	g.Expect(c.first).To(HaveKeyWithValue(jobstore.JobsPrefix, 1))
	g.Expect(o.earlyCancellations).To(HaveLen(600))
	g.Expect(o.watchJobsOnce(t.Context())).To(Succeed())
	g.Expect(c.first).To(HaveKeyWithValue(jobstore.JobsPrefix, 1), "the watch goes on")
}

// Guards against jobs that run again: of a list that took longer than outcomes are kept, nobody knows any more which
// jobs have ended meanwhile.
func TestListOfJobsThatTookTooLongIsNotApplied(t *testing.T) {
	g := NewWithT(t)
	o, p, _ := newOwnerWithPageCounter(t)
	o.loaded.Store(true)
	putPagesOfJobs(p.Store)
	o.deps.Bounds.OutcomeRetention = time.Nanosecond
	g.Expect(o.listJobs(t.Context())).NotTo(Succeed())
	g.Expect(o.earlyCancellations).To(BeEmpty())
	o.deps.Bounds.OutcomeRetention = time.Minute
	g.Expect(o.listJobs(t.Context())).To(Succeed())
	g.Expect(o.earlyCancellations).To(HaveLen(600))
}
