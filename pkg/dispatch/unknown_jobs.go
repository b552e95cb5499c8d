package dispatch

import (
	"fmt"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// Workers may list runs and ends of a job that this owner does not know: a host has accepted it for the former owner after this one had listed the
// jobs of the store. They are kept until it becomes known; the ends are not noted, and the runs not stopped.

// becameKnown takes in what workers have listed of a job before it was known. Their next reports may come after the next plan, which would start again
// what runs.
func (p *Pool) becameKnown(id job.ID, now clock.Time) {
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
