package dispatch

import (
	"fmt"
	"maps"
	"slices"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// Workers may list runs and ends of a job that this owner does not know. The record of a job is in the store before anything of it starts, so a read of
// that tells whether the job is to become known or was forgotten long ago (UnknownJobs, MarkJobAbsent). Until then its ends are not noted, and
// its runs are not stopped. All else that a worker lists counts meanwhile: what is left out of a report would look as if it were not there.

// maxAbsentJobs bounds the jobs that are remembered as absent from the store. One that is forgotten is read once more if it is still listed.
const maxAbsentJobs = 1000

// isJobUnresolved says that a job which a worker lists may be in the store.
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

// UnknownJobs lists the jobs that workers have listed and whose records have to be read from the store, in order.
func (p *Pool) UnknownJobs() []job.ID {
	return slices.Sorted(maps.Keys(p.unknownJobs))
}

// HasUnknownJobs says that there are jobs that UnknownJobs lists.
func (p *Pool) HasUnknownJobs() bool {
	return len(p.unknownJobs) > 0
}

// MarkJobAbsent takes in that the store has no record of a job that a worker has listed. What workers list of it is noted and stopped.
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

// resolveUnknownJob takes in what workers have listed of a job before it was known. Their next reports may come after the next plan, which would start again
// what runs or has ended.
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

// adoptUnknownJobRuns takes in the runs of a job that a worker has listed in its last report.
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

// removeDeferredEnds returns the ends of a job that are not taken in, and drops them.
func (w *worker) removeDeferredEnds(id job.ID) []FinishedRun {
	var rest, dropped []FinishedRun
	for _, f := range w.deferredEnds {
		if f.Task.Job == id {
			dropped = append(dropped, f)
		} else {
			rest = append(rest, f)
		}
	}
	w.deferredEnds = rest
	return dropped
}

// deferEnd keeps an end of a job that may become known.
func (p *Pool) deferEnd(w *worker, f FinishedRun) {
	w.deferredEnds = append(w.deferredEnds, f)
	p.cfg.Log(Event{Name: "end_unread", Task: f.Task, Run: f.Run, Worker: w.info.ID, Detail: fmt.Sprintf("number=%d how=%s", f.Number, f.Reason)})
}

// lastAppliedEnd is the number up to which all ends of a worker are taken in.
func (w *worker) lastAppliedEnd() int64 {
	if len(w.deferredEnds) > 0 {
		return w.deferredEnds[0].Number - 1
	}
	return w.lastReadEnd
}

// keepUnknownJobRun keeps a row of a job that may become known. The first one is logged.
func (p *Pool) keepUnknownJobRun(w *worker, row ActiveRun) {
	w.unknownJobRuns = append(w.unknownJobRuns, row)
	if w.lastLoggedUnknownJob != row.Task.Job {
		w.lastLoggedUnknownJob = row.Task.Job
		p.cfg.Log(Event{Name: "run_unknown", Task: row.Task, Run: row.Run, Worker: w.info.ID})
	}
}
