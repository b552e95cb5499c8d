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

// figures are the counters and latency histograms of a host.
type figures struct {
	registry metrics.Registry
	accept   metrics.Timer // from a request to its answer, accepted or not
	accepted metrics.Counter
	refused  metrics.Counter
	unknown  metrics.Counter
	unserved metrics.Counter // refused since their queue takes in no jobs
	// beyondWeight counts the jobs refused since their customer sends more than its weight.
	beyondWeight metrics.Counter
	state        metrics.Timer
	// denials count the calls that were turned away before anything was done, by verdict.
	denials map[customer.Verdict]metrics.Counter
	// rows count the writes of jobs and of cancellations that callers asked for, by the row of the table (package reach).
	rows map[reach.Row]metrics.Counter
}

func newFigures() *figures {
	r := metrics.NewRegistry()
	rows := map[reach.Row]metrics.Counter{}
	for _, row := range reach.Rows() {
		rows[row] = metrics.NewRegisteredCounter("intake."+string(row), r)
	}
	return &figures{
		rows:         rows,
		registry:     r,
		accept:       metrics.NewRegisteredTimer("jobs.accept", r),
		accepted:     metrics.NewRegisteredCounter("jobs.accepted", r),
		refused:      metrics.NewRegisteredCounter("jobs.refused", r),
		unserved:     metrics.NewRegisteredCounter("jobs.refused_unserved", r),
		beyondWeight: metrics.NewRegisteredCounter("jobs.refused_beyond_weight", r),
		unknown:      metrics.NewRegisteredCounter("jobs.outcome_unknown", r),
		state:        metrics.NewRegisteredTimer("jobs.state", r),
		denials: map[customer.Verdict]metrics.Counter{
			customer.UnknownQueue:    metrics.NewRegisteredCounter("calls.unknown_queue", r),
			customer.Unauthenticated: metrics.NewRegisteredCounter("calls.unauthenticated", r),
			customer.Forbidden:       metrics.NewRegisteredCounter("calls.forbidden", r),
			customer.Later:           metrics.NewRegisteredCounter("calls.later", r),
		},
	}
}

// denied counts a call that was turned away.
func (f *figures) denied(v customer.Verdict) {
	if c, ok := f.denials[v]; ok {
		c.Inc(1)
	}
}

// serveFigures writes all figures as text, a line each, such as "jobs.accept.p99_ms 12.1".
func (h *Host) serveFigures(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writeRegistry(w, h.figures.registry)
	writeFigure(w, "store.calls", float64(h.store.Calls()))
	writeFigure(w, "store.age_ms", float64(h.storeAge().Milliseconds()))
	if cfg := h.config.Load(); cfg != nil {
		writeFigure(w, "config.version", float64(cfg.Version))
	}
	writeFigure(w, "config.age_ms", float64(h.operatorKeys.Age().Milliseconds()))
	writeFigure(w, "owner.term", float64(h.knownTerm()))
	o := h.owner.Load()
	writeFigure(w, "owner.self", boolFigure(o != nil))
	writeFigure(w, "owner.linked", boolFigure(h.linked()))
	if o != nil {
		writePool(w, o)
		writeCustomers(w, o.Customers())
	}
}

// operatorDoor answers operators: figures, who owns the pool, what the owner knows of a job, profiles of
// the process under /debug/pprof/, and foldarch's own API of jobs under /v1/.
func (h *Host) operatorDoor() (http.Handler, error) {
	jobs, err := jobapi.New(h.jobs())
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", jobs)
	mux.HandleFunc("GET /metrics", h.serveFigures)
	mux.HandleFunc("GET /owner", func(w http.ResponseWriter, _ *http.Request) {
		h.election.mu.Lock()
		defer h.election.mu.Unlock()
		writeAnswer(w, h.election.holder)
	})
	mux.HandleFunc("GET /jobs/{id}", h.serveExplanation)
	mux.HandleFunc("GET /customers", h.serveCustomers)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux, nil
}

// serveExplanation tells what the owner knows of a job. A host that is not the owner answers
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

func boolFigure(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func writePool(w io.Writer, o *poolowner.Owner) {
	s := o.Status()
	values := map[string]int64{
		"pool.workers": int64(s.Workers), "pool.workers_silent": int64(s.UnresponsiveWorkers), "pool.workers_evacuated": int64(s.EvacuatedWorkers), "pool.jobs": int64(s.Jobs),
		"pool.steps_waiting": int64(s.Steps), "pool.tasks_waiting": int64(s.Waiting), "pool.runs": int64(s.Runs),
		"pool.jobs_held": int64(s.BlockedJobs), "pool.workers_retired_silent": int64(s.SilentRetiredWorkers), "pool.calls_waiting": int64(o.CallsWaiting()), "pool.workers_relayed": int64(o.Relayed()), "pool.advice_calls": int64(s.AdviceCalls), "pool.advisers_free": int64(s.FreeAdvisers),
		"pool.used_cpu_millis": s.Used.CPUMillis, "pool.capacity_cpu_millis": s.Capacity.CPUMillis,
		"pool.used_memory_mb": s.Used.MemoryMB, "pool.capacity_memory_mb": s.Capacity.MemoryMB,
	}
	for name, n := range s.Advice {
		values["pool."+name] = n
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		writeFigure(w, name, float64(values[name]))
	}
}

func writeRegistry(w io.Writer, r metrics.Registry) {
	found := map[string]any{}
	r.Each(func(name string, m any) { found[name] = m })
	for _, name := range slices.Sorted(maps.Keys(found)) {
		switch m := found[name].(type) {
		case metrics.Counter:
			writeFigure(w, name, float64(m.Count()))
		case metrics.Timer:
			s := m.Snapshot()
			writeFigure(w, name+".count", float64(s.Count()))
			for _, p := range []float64{0.5, 0.9, 0.99} {
				writeFigure(w, fmt.Sprintf("%s.p%g_ms", name, p*100), s.Percentile(p)/float64(time.Millisecond))
			}
		}
	}
}

func writeFigure(w io.Writer, name string, value float64) {
	_, _ = fmt.Fprintf(w, "%s %g\n", name, value)
}
