package dispatch

import (
	"maps"
	"slices"

	"foldarch.dev/foldarch/pkg/job"
)

// A worker that drains gets no start any more. The roster then tells later owners which jobs may have a run there, so that
// one that ends without a report holds back only these (package takeover).

// retireIfDraining decides that a worker gets no start any more, whatever its entry says later. The last report must have told all that runs
// there, and nothing of it may be unknown, since the list of jobs stays as it is.
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

func (p *Pool) retire(w *worker, jobs []job.ID) {
	w.retired, w.retiredJobs = true, jobs
	p.markRosterChanged(w.info.ID)
}

// LoadRetired takes in that the roster has a worker as retired.
func (p *Pool) LoadRetired(info WorkerInfo) {
	if w, ok := p.workers[info.ID]; ok && info.Retired {
		p.retire(w, info.Jobs)
	}
}

// rosterEntry is what the roster tells of a worker.
func (w *worker) rosterEntry() WorkerInfo {
	info := w.info
	info.Retired, info.Jobs = w.retired, w.retiredJobs
	return info
}
