package standin

import (
	"encoding/json"
	"net/http"

	"foldarch.dev/foldarch/pkg/store"
)

// WorkerFault is the body of POST /faults/worker of the admin API: it sets the state of one worker and how
// many answers to commands the worker is to lose next.
type WorkerFault struct {
	Worker      string          `json:"worker"`
	State       store.HostState `json:"state"`
	LoseAnswers int             `json:"lose_answers"`
}

// AdminHandler returns the admin API, over which tests that run the stand-ins as a separate process inject
// faults and read the run log:
//
//	POST /faults/store   StoreFaults
//	POST /faults/worker  WorkerFault
//	GET  /verdict        CheckResult
//	GET  /runs           []Run
//	GET  /counts         StoreCounts
func (e *Environment) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults/store", func(w http.ResponseWriter, r *http.Request) {
		var faults StoreFaults
		if decodeBody(w, r, &faults) {
			e.Store.SetFaults(faults)
		}
	})
	mux.HandleFunc("POST /faults/worker", func(w http.ResponseWriter, r *http.Request) {
		var fault WorkerFault
		if decodeBody(w, r, &fault) && !e.applyWorkerFault(fault) {
			http.Error(w, "no worker "+fault.Worker, http.StatusNotFound)
		}
	})
	mux.HandleFunc("GET /verdict", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.RunLog.Check()) })
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.RunLog.Runs()) })
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Store.Counts()) })
	return mux
}

// applyWorkerFault returns false if there is no such worker.
func (e *Environment) applyWorkerFault(fault WorkerFault) bool {
	w, ok := e.Workers[fault.Worker]
	if !ok {
		return false
	}
	w.LoseAnswers(fault.LoseAnswers)
	switch fault.State {
	case store.HostGone:
		e.KillWorker(fault.Worker)
	case store.HostLeaving:
		e.DrainWorker(fault.Worker)
	case store.HostLive:
		e.ReviveWorker(fault.Worker)
	}
	return true
}

// decodeBody decodes a JSON body into target. If that fails, it answers with status 400 and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(r.Body).Decode(target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
