package dispatch

import (
	"fmt"
	"maps"
	"slices"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// Workers may list runs and ends of a job that this owner does not know. The record of a job is in the store before anything of it starts, so a read of
// that tells whether the job is to become known or was forgotten long ago (UnknownJobs, JobAbsent). Until then its ends are not noted, and
// its runs are not stopped. All else that a worker lists counts meanwhile: what is left out of a report would look as if it were not there.

// mostAbsent bounds the jobs that are remembered as absent from the store. One that is forgotten is read once more if it is still listed.
const mostAbsent = 1000

// mayBecomeKnown says that a job which a worker lists may be in the store.
func (p *Pool) mayBecomeKnown(id job.ID) bool {
	if p.knows(id) {
		return false
	}
	if _, absent := p.absent[id]; absent {
		return false
	}
	p.unknown[id] = struct{}{}
	return true
}

// UnknownJobs lists the jobs that workers have listed and whose records have to be read from the store, in order.
func (p *Pool) UnknownJobs() []job.ID {
	return slices.Sorted(maps.Keys(p.unknown))
}

// ListsUnknown says that there are jobs that UnknownJobs lists.
func (p *Pool) ListsUnknown() bool {
	return len(p.unknown) > 0
}

// JobAbsent takes in that the store has no record of a job that a worker has listed. What workers list of it is noted and stopped.
func (p *Pool) JobAbsent(id job.ID) {
	if _, listed := p.unknown[id]; !listed {
		return
	}
	delete(p.unknown, id)
	if len(p.absent) >= mostAbsent {
		clear(p.absent)
	}
	p.absent[id] = struct{}{}
	p.cfg.Log(Event{Name: "job_absent", Job: id})
	for _, w := range p.workers {
		w.dropUnread(id)
	}
}

// becameKnown takes in what workers have listed of a job before it was known. Their next reports may come after the next plan, which would start again
// what runs or has ended.
func (p *Pool) becameKnown(id job.ID, now clock.Time) {
	delete(p.absent, id)
	if _, listed := p.unknown[id]; !listed {
		return
	}
	delete(p.unknown, id)
	for _, w := range p.workersByID() {
		p.takeUnknownRuns(w, id, now)
		for _, f := range w.dropUnread(id) {
			p.takeEnd(w, f, now)
		}
	}
}

// takeUnknownRuns takes in the runs of a job that a worker has listed in its last report.
func (p *Pool) takeUnknownRuns(w *worker, id job.ID, now clock.Time) {
	if w.gone {
		return
	}
	rows := w.unknownRuns
	w.unknownRuns = nil
	for _, row := range rows {
		if row.Task.Job != id {
			w.unknownRuns = append(w.unknownRuns, row)
			continue
		}
		w.foreign--
		if r := p.adopt(w, row, now); r != nil {
			p.observe(r, row, now)
		}
	}
}

// dropUnread returns the ends of a job that are not taken in, and drops them.
func (w *worker) dropUnread(id job.ID) []Finished {
	var rest, dropped []Finished
	for _, f := range w.unread {
		if f.Task.Job == id {
			dropped = append(dropped, f)
		} else {
			rest = append(rest, f)
		}
	}
	w.unread = rest
	return dropped
}

// leaveUnread keeps an end of a job that may become known.
func (p *Pool) leaveUnread(w *worker, f Finished) {
	w.unread = append(w.unread, f)
	p.cfg.Log(Event{Name: "end_unread", Task: f.Task, Run: f.Run, Worker: w.info.ID, Detail: fmt.Sprintf("number=%d how=%s", f.Number, f.How)})
}

// takenUpTo is the number up to which all ends of a worker are taken in.
func (w *worker) takenUpTo() int64 {
	if len(w.unread) > 0 {
		return w.unread[0].Number - 1
	}
	return w.read
}

// keepUnknownRun keeps a row of a job that may become known. The first one is logged.
func (p *Pool) keepUnknownRun(w *worker, row Active) {
	w.unknownRuns = append(w.unknownRuns, row)
	if w.unknownLogged != row.Task.Job {
		w.unknownLogged = row.Task.Job
		p.cfg.Log(Event{Name: "run_unknown", Task: row.Task, Run: row.Run, Worker: w.info.ID})
	}
}
