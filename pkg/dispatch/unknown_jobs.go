package dispatch

import (
	"fmt"
	"maps"
	"slices"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// maxAbsentJobs limits how many jobs are remembered as absent from the store. One that is dropped is
// looked up again if a worker still lists it.
const maxAbsentJobs = 1000

// isJobUnresolved reports whether a job that a worker lists is not known but may be in the store. It
// then requests a look-up of the job's record.
//
// The record of a job is written to the store before anything of the job starts. So reading it shows
// whether the job will become known to this owner or was forgotten long ago (UnknownJobs,
// MarkJobAbsent). Until then the ends of the job are not acknowledged and its runs are not stopped.
// Everything else in the worker's report is applied meanwhile, since runs that are left out would look
// as if the worker did not have them.
func (p *Pool) isJobUnresolved(id job.ID) bool {
	if p.isJobKnown(id) {
		return false
	}
	if _, absent := p.absentJobs[id]; absent {
		return false
	}
	p.unknownJobs[id] = struct{}{}
	return true
}

// UnknownJobs lists the jobs that workers have listed and whose records have to be read from the store,
// sorted by ID.
func (p *Pool) UnknownJobs() []job.ID {
	return slices.Sorted(maps.Keys(p.unknownJobs))
}

// HasUnknownJobs reports whether UnknownJobs would list any job.
func (p *Pool) HasUnknownJobs() bool {
	return len(p.unknownJobs) > 0
}

// MarkJobAbsent records that the store has no record of a job that a worker has listed. Its ends are
// then acknowledged, and its runs stopped.
func (p *Pool) MarkJobAbsent(id job.ID) {
	if _, listed := p.unknownJobs[id]; !listed {
		return
	}
	delete(p.unknownJobs, id)
	if len(p.absentJobs) >= maxAbsentJobs {
		clear(p.absentJobs)
	}
	p.absentJobs[id] = struct{}{}
	p.cfg.Log(Event{Name: "job_absent", Job: id})
	for _, w := range p.workers {
		w.removeDeferredEnds(id)
	}
}

// resolveUnknownJob applies what workers have listed of a job that has just become known. The next plan
// may come before their next reports, and would otherwise restart tasks that run or have ended.
func (p *Pool) resolveUnknownJob(id job.ID, now clock.Time) {
	delete(p.absentJobs, id)
	if _, listed := p.unknownJobs[id]; !listed {
		return
	}
	delete(p.unknownJobs, id)
	for _, w := range p.workersByID() {
		p.adoptUnknownJobRuns(w, id, now)
		for _, f := range w.removeDeferredEnds(id) {
			p.applyFinishedRun(w, f, now)
		}
	}
}

// adoptUnknownJobRuns adopts the runs of a job from a worker's last report.
func (p *Pool) adoptUnknownJobRuns(w *worker, id job.ID, now clock.Time) {
	if w.terminated {
		return
	}
	rows := w.unknownJobRuns
	w.unknownJobRuns = nil
	for _, row := range rows {
		if row.Task.Job != id {
			w.unknownJobRuns = append(w.unknownJobRuns, row)
			continue
		}
		w.orphanRuns--
		if r := p.adoptRun(w, row, now); r != nil {
			p.updateRun(r, row, now)
		}
	}
}

// removeDeferredEnds removes the deferred ends of a job and returns them.
func (w *worker) removeDeferredEnds(id job.ID) []FinishedRun {
	var rest, removed []FinishedRun
	for _, f := range w.deferredEnds {
		if f.Task.Job == id {
			removed = append(removed, f)
		} else {
			rest = append(rest, f)
		}
	}
	w.deferredEnds = rest
	return removed
}

// deferEnd keeps an end of a job that may become known.
func (p *Pool) deferEnd(w *worker, f FinishedRun) {
	w.deferredEnds = append(w.deferredEnds, f)
	p.cfg.Log(Event{Name: "end_unread", Task: f.Task, Run: f.Run, Worker: w.info.ID, Detail: fmt.Sprintf("number=%d how=%s", f.Number, f.Reason)})
}

// lastAppliedEnd returns the number up to which all ends of a worker have been applied.
func (w *worker) lastAppliedEnd() int64 {
	if len(w.deferredEnds) > 0 {
		return w.deferredEnds[0].Number - 1
	}
	return w.lastReadEnd
}

// keepUnknownJobRun keeps a listed run of a job that may become known. It logs the job when it differs
// from the last one that was logged for the worker.
func (p *Pool) keepUnknownJobRun(w *worker, row ActiveRun) {
	w.unknownJobRuns = append(w.unknownJobRuns, row)
	if w.lastLoggedUnknownJob != row.Task.Job {
		w.lastLoggedUnknownJob = row.Task.Job
		p.cfg.Log(Event{Name: "run_unknown", Task: row.Task, Run: row.Run, Worker: w.info.ID})
	}
}
