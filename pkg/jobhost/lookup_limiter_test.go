package jobhost

import (
	"testing"

	"foldarch.dev/foldarch/pkg/customer"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/pkg/poolowner"
	"foldarch.dev/foldarch/platform"
	"foldarch.dev/foldarch/platform/emulator"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

// Guards against callers that poll their jobs while there is no owner: their reads left none of the
// store's rate to the next owner.
func TestCallersLeaveStoreReadsToTheOwner(t *testing.T) {
	t.Parallel()
	p := startPlatform(t)
	h, _ := newTestHost(t, p)
	expectLimitedLookups(t, h, p)
}

// expectLimitedLookups checks that of many lookups of a stored job some are answered from the store, and that they
// leave the rest of its reads to others.
func expectLimitedLookups(t *testing.T, h *Host, p *emulator.Platform) {
	t.Helper()
	g := NewWithT(t)
	text, err := job.Record{Job: job.Job{ID: "a", Spec: "spec", Steps: []job.Step{{Count: 1}}}}.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	p.Store.Put(jobstore.JobKey("a"), text)
	anyone := customer.NewCaller(nil, customer.Call{QueueKnown: true, Key: customer.KeyNotNeeded}, true)
	before := p.Store.Calls()
	answered := 0
	for range 400 {
		state, err := h.jobState(t.Context(), anyone, "a")
		if err == nil {
			g.Expect(state).To(Equal(job.Queued))
			answered++
			continue
		}
		g.Expect(errors.Is(err, platform.ErrOutcomeUnknown)).To(BeTrue(), "%v", err)
	}
	g.Expect(answered).To(BeNumerically(">=", lookupBurst), "some lookups are answered from the store")
	g.Expect(p.Store.Calls() - before).To(BeNumerically("<", 3*2*lookupBurst))
}

// All hosts together leave half of the store's read rate unused, however many there are.
func TestLookupRateIsSharedAmongHosts(t *testing.T) {
	g := NewWithT(t)
	const readsPerSecond = 6000
	s := newLookupLimiter(readsPerSecond)
	for _, hosts := range []int{1, 9, 40, 600} {
		s.setHosts(hosts)
		g.Expect(float64(s.limiter.Limit()) * readsPerLookup * float64(hosts)).To(BeNumerically("~", readsPerSecond/2, 1))
	}
	s.setHosts(0)
	g.Expect(float64(s.limiter.Limit())*readsPerLookup*600).To(BeNumerically("~", readsPerSecond/2, 1), "an unknown number changes nothing")
}

// Guards against requests for a job's state that end without an answer and leave no trace.
func TestLookupsWithoutAnAnswerAreLoggedAndCounted(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := startPlatform(t)
	h, hook := newTestHost(t, p)
	anyone := customer.NewCaller(nil, customer.Call{QueueKnown: true, Key: customer.KeyNotNeeded}, true)
	_, err := h.jobState(t.Context(), anyone, "a")
	g.Expect(errors.Is(err, platform.ErrNoJob)).To(BeTrue(), "%v", err)
	g.Expect(h.metrics.lookupsAbsent.Count()).To(BeEquivalentTo(1))
	g.Expect(hook.AllEntries()).To(BeEmpty())
	p.Store.SetMode(emulator.StoreBusy)
	const lookups = 2 * lookupLogsPerSecond
	for range lookups {
		_, err := h.jobState(t.Context(), anyone, "a")
		g.Expect(errors.Is(err, platform.ErrOutcomeUnknown)).To(BeTrue(), "%v", err)
	}
	g.Expect(h.metrics.lookupsUnanswered.Count()).To(BeEquivalentTo(lookups))
	logged := 0
	for _, e := range hook.AllEntries() {
		if e.Message == "job_state_unknown" {
			logged++
		}
	}
	g.Expect(logged).To(And(BeNumerically(">=", lookupLogsPerSecond), BeNumerically("<", lookups)))
}

// Guards against callers that poll their jobs while an owner loads them: it answers that it does not know the jobs,
// and the reads of all callers left none of the store's rate to its lists.
func TestCallersLeaveStoreReadsToAnOwnerThatLoadsTheJobs(t *testing.T) {
	t.Parallel()
	p := startPlatform(t)
	h, _ := newTestHost(t, p)
	h.owner.Store(poolowner.New(poolowner.Deps{
		Name: "host-1", Clock: h.clk, Store: h.store, Workers: h.workers, Log: h.log, Metrics: h.metrics.registry, StoreAge: h.storeAge,
	}, poolowner.Claim{Term: 1}))
	expectLimitedLookups(t, h, p)
}
