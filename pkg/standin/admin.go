package standin

import (
	"encoding/json"
	"net/http"

	"foldarch.dev/foldarch/pkg/store"
)

// WorkerFault is a command to one worker over the admin API.
type WorkerFault struct {
	Worker      string          `json:"worker"`
	State       store.HostState `json:"state"`
	LoseAnswers int             `json:"lose_answers"`
}

// AdminHandler lets tests that run the stand-ins as a process of their own switch faults
// and read the ledger:
//
//	POST /faults/store   StoreFaults
//	POST /faults/worker  WorkerFault
//	GET  /verdict        Verdict
//	GET  /runs           []Run
//	GET  /counts         StoreCounts
func (f *Farm) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults/store", func(w http.ResponseWriter, r *http.Request) {
		var faults StoreFaults
		if decode(w, r, &faults) {
			f.Store.SetFaults(faults)
		}
	})
	mux.HandleFunc("POST /faults/worker", func(w http.ResponseWriter, r *http.Request) {
		var fault WorkerFault
		if decode(w, r, &fault) && !f.applyWorkerFault(fault) {
			http.Error(w, "no worker "+fault.Worker, http.StatusNotFound)
		}
	})
	mux.HandleFunc("GET /verdict", func(w http.ResponseWriter, _ *http.Request) { answer(w, f.Ledger.Judge()) })
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { answer(w, f.Ledger.Runs()) })
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { answer(w, f.Store.Counts()) })
	return mux
}

func (f *Farm) applyWorkerFault(fault WorkerFault) bool {
	w, ok := f.Workers[fault.Worker]
	if !ok {
		return false
	}
	w.LoseAnswers(fault.LoseAnswers)
	switch fault.State {
	case store.HostGone:
		f.KillWorker(fault.Worker)
	case store.HostLeaving:
		f.DrainWorker(fault.Worker)
	case store.HostLive:
		f.ReviveWorker(fault.Worker)
	}
	return true
}

func decode(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(r.Body).Decode(target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
