package jobhost

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/pprof"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/customer"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/jobapi"
	"foldarch.dev/foldarch/pkg/poolowner"
	"foldarch.dev/foldarch/pkg/reach"
	"github.com/rcrowley/go-metrics"
)

// hostMetrics are the counters and latency histograms of a host.
type hostMetrics struct {
	registry       metrics.Registry
	submitTime     metrics.Timer // from a request to its answer, whether accepted or not
	accepted       metrics.Counter
	refused        metrics.Counter
	outcomeUnknown metrics.Counter
	queueRefused   metrics.Counter // refused because their queue accepts no jobs
	// overShare counts the jobs refused because their customer sends more than its weight.
	overShare  metrics.Counter
	lookupTime metrics.Timer
	// lookupsAbsent counts the lookups of jobs that the store does not have, lookupsUnanswered those without a
	// definite answer.
	lookupsAbsent, lookupsUnanswered metrics.Counter
	tooLarge                         metrics.Counter // refused because the store takes no record of that size
	// checkpointsOmitted counts the reports that this host passed on without their largest checkpoints.
	checkpointsOmitted metrics.Counter
	// denials count the rejected calls by verdict.
	denials map[customer.Verdict]metrics.Counter
	// writesByMode count the requested writes of jobs and cancellations by the mode of this host (package
	// reach).
	writesByMode map[reach.Mode]metrics.Counter
}

func newHostMetrics() *hostMetrics {
	r := metrics.NewRegistry()
	writesByMode := map[reach.Mode]metrics.Counter{}
	for _, mode := range reach.Modes() {
		writesByMode[mode] = metrics.NewRegisteredCounter("intake."+string(mode), r)
	}
	return &hostMetrics{
		writesByMode:       writesByMode,
		registry:           r,
		submitTime:         metrics.NewRegisteredTimer("jobs.accept", r),
		accepted:           metrics.NewRegisteredCounter("jobs.accepted", r),
		refused:            metrics.NewRegisteredCounter("jobs.refused", r),
		queueRefused:       metrics.NewRegisteredCounter("jobs.refused_unserved", r),
		tooLarge:           metrics.NewRegisteredCounter("jobs.refused_too_large", r),
		overShare:          metrics.NewRegisteredCounter("jobs.refused_beyond_weight", r),
		outcomeUnknown:     metrics.NewRegisteredCounter("jobs.outcome_unknown", r),
		lookupTime:         metrics.NewRegisteredTimer("jobs.state", r),
		lookupsAbsent:      metrics.NewRegisteredCounter("jobs.state_absent", r),
		lookupsUnanswered:  metrics.NewRegisteredCounter("jobs.state_unanswered", r),
		checkpointsOmitted: metrics.NewRegisteredCounter("relay.checkpoints_omitted", r),
		denials: map[customer.Verdict]metrics.Counter{
			customer.UnknownQueue:    metrics.NewRegisteredCounter("calls.unknown_queue", r),
			customer.Unauthenticated: metrics.NewRegisteredCounter("calls.unauthenticated", r),
			customer.Forbidden:       metrics.NewRegisteredCounter("calls.forbidden", r),
			customer.RetryLater:      metrics.NewRegisteredCounter("calls.later", r),
		},
	}
}

// countDenial counts a rejected call.
func (m *hostMetrics) countDenial(v customer.Verdict) {
	if c, ok := m.denials[v]; ok {
		c.Inc(1)
	}
}

// serveMetrics writes all metrics as text, one a line, such as "jobs.accept.p99_ms 12.1".
func (h *Host) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writeRegistry(w, h.metrics.registry)
	writeMetric(w, "store.calls", float64(h.store.Calls()))
	writeMetric(w, "store.age_ms", float64(h.storeAge().Milliseconds()))
	if cfg := h.config.Load(); cfg != nil {
		writeMetric(w, "config.version", float64(cfg.Version))
	}
	writeMetric(w, "config.age_ms", float64(h.operatorKeys.Age().Milliseconds()))
	writeMetric(w, "owner.term", float64(h.knownTerm()))
	o := h.owner.Load()
	writeMetric(w, "owner.self", boolMetric(o != nil))
	writeMetric(w, "owner.linked", boolMetric(h.isLinked()))
	if o != nil {
		writePool(w, o)
		writeCustomers(w, o.Customers())
	}
}

// maxOperatorBodyBytes is the size of the bodies that foldarch's own API takes. Its field names are longer than those
// of the platform's requests.
const maxOperatorBodyBytes = 512 << 10

// operatorHandler returns the handler of operators' requests: metrics, who owns the pool, what the owner
// knows about a job, profiles of the process under /debug/pprof/, and foldarch's own jobs API under /v1/.
func (h *Host) operatorHandler() (http.Handler, error) {
	jobs, err := jobapi.New(h.jobService())
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", http.MaxBytesHandler(jobs, maxOperatorBodyBytes))
	mux.HandleFunc("GET /metrics", h.serveMetrics)
	mux.HandleFunc("GET /owner", func(w http.ResponseWriter, _ *http.Request) {
		h.election.mu.Lock()
		defer h.election.mu.Unlock()
		writeAnswer(w, h.election.ownerRecord)
	})
	mux.HandleFunc("GET /jobs/{id}", h.serveExplanation)
	mux.HandleFunc("GET /customers", h.serveCustomers)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux, nil
}

// serveExplanation answers with what the owner knows about a job. A host that is not the owner answers
// 421 with the owner's record.
func (h *Host) serveExplanation(w http.ResponseWriter, r *http.Request) {
	id, err := job.ParseID(r.PathValue("id"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o := h.owner.Load()
	if o == nil {
		h.redirectToOwner(w)
		return
	}
	e, ok := o.Explain(id)
	if !ok {
		http.Error(w, "the owner knows of no job "+string(id), http.StatusNotFound)
		return
	}
	writeAnswer(w, e)
}

func writeAnswer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func boolMetric(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func writePool(w io.Writer, o *poolowner.Owner) {
	s := o.Status()
	values := map[string]int64{
		"pool.workers": int64(s.Workers), "pool.workers_silent": int64(s.UnresponsiveWorkers), "pool.workers_evacuated": int64(s.EvacuatedWorkers), "pool.jobs": int64(s.Jobs),
		"pool.steps_waiting": int64(s.WaitingSteps), "pool.tasks_waiting": int64(s.WaitingTasks), "pool.runs": int64(s.Runs),
		"pool.jobs_held": int64(s.BlockedJobs), "pool.workers_retired_silent": int64(s.SilentRetiredWorkers), "pool.calls_waiting": int64(o.WaitingCalls()), "pool.workers_relayed": int64(o.RelayedWorkers()), "pool.advice_calls": int64(s.AdviceCalls), "pool.advisers_free": int64(s.FreeAdvisers),
		"pool.used_cpu_millis": s.Used.CPUMillis, "pool.capacity_cpu_millis": s.Capacity.CPUMillis,
		"pool.used_memory_mb": s.Used.MemoryMB, "pool.capacity_memory_mb": s.Capacity.MemoryMB,
	}
	for name, n := range s.Advice {
		values["pool."+name] = n
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		writeMetric(w, name, float64(values[name]))
	}
}

func writeRegistry(w io.Writer, r metrics.Registry) {
	found := map[string]any{}
	r.Each(func(name string, m any) { found[name] = m })
	for _, name := range slices.Sorted(maps.Keys(found)) {
		switch m := found[name].(type) {
		case metrics.Counter:
			writeMetric(w, name, float64(m.Count()))
		case metrics.Timer:
			s := m.Snapshot()
			writeMetric(w, name+".count", float64(s.Count()))
			for _, p := range []float64{0.5, 0.9, 0.99} {
				writeMetric(w, fmt.Sprintf("%s.p%g_ms", name, p*100), s.Percentile(p)/float64(time.Millisecond))
			}
		}
	}
}

func writeMetric(w io.Writer, name string, value float64) {
	_, _ = fmt.Fprintf(w, "%s %g\n", name, value)
}
