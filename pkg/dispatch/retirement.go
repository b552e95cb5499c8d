package dispatch

import (
	"maps"
	"slices"

	"foldarch.dev/foldarch/pkg/job"
)

// retireIfDraining retires a draining worker: it gets no more starts, even if its entry later no longer
// marks it as draining. The roster then tells later owners which jobs may have a run there, so that a
// retired worker that ends without a report blocks only these jobs (package takeover). This list of jobs is
// final, so the last report must have been complete and must have listed no runs of unknown jobs.
func (p *Pool) retireIfDraining(w *worker) {
	if w.retired || w.terminated || !w.info.Draining || !w.reported || w.reportIncomplete || w.orphanRuns > 0 || len(w.unknownJobRuns) > 0 {
		return
	}
	jobs := map[job.ID]bool{}
	for key := range w.runs {
		jobs[key.task.Job] = true
	}
	p.retire(w, slices.Sorted(maps.Keys(jobs)))
}

// retire marks a worker as retired with the jobs that may have runs there.
func (p *Pool) retire(w *worker, jobs []job.ID) {
	w.retired, w.retiredJobs = true, jobs
	p.markRosterChanged(w.info.ID)
}

// LoadRetired applies a roster entry, which may say that the worker is retired.
func (p *Pool) LoadRetired(info WorkerInfo) {
	if w, ok := p.workers[info.ID]; ok && info.Retired {
		p.retire(w, info.Jobs)
	}
}

// rosterEntry returns a worker's entry in the roster.
func (w *worker) rosterEntry() WorkerInfo {
	info := w.info
	info.Retired, info.Jobs = w.retired, w.retiredJobs
	return info
}
