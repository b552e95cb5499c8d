package dispatch

import "foldarch.dev/foldarch/pkg/clock"

// What the store tells of workers: their own entries, and the roster.

// PutWorker takes in a worker's entry, or that the roster names it. It says whether the worker is new, so that the
// roster has to be written before it is used (Rostered).
func (p *Pool) PutWorker(info WorkerInfo, listed bool, now clock.Time) bool {
	l := p.lineageOf(info.ID.Name())
	if listed {
		l.listed, l.lastListed, l.listedAt = info.ID, info.ID, now
		l.unlistOthers(now)
	}
	if l.hasEnded(info.ID) {
		return false
	}
	w, known := p.workers[info.ID]
	if !known {
		w = p.newWorker(info, now)
	}
	w.info, w.listed = info, listed
	w.evacuated = p.inEvacuatedHall(w)
	if listed {
		w.unlistedAt, w.entryReplaced = 0, false
	}
	if info.Draining && w.leavesAt == 0 {
		w.leavesAt = now.Add(max(info.Remaining, p.cfg.Drain))
		p.cfg.Log(Event{Name: "worker_draining", Worker: info.ID, Detail: w.leavesAt.Sub(now).String()})
	}
	return !known
}

// Rostered takes in that the roster of the store names workers, so that they may be given tasks.
func (p *Pool) Rostered(ids []WorkerID) {
	for _, id := range ids {
		if w, ok := p.workers[id]; ok {
			w.rostered = true
		}
	}
}

// UnlistWorker takes in that a worker's entry is gone. What runs there may go on, unless the
// entry was fresh, that is, written too lately to have gone for want of heartbeats, and the
// worker was to leave by now.
func (p *Pool) UnlistWorker(id WorkerID, fresh bool, now clock.Time) {
	w, ok := p.workers[id]
	if !ok {
		return
	}
	w.unlist(now)
	if w.line.listed == id {
		w.line.listed = ""
	}
	if fresh && w.leavesAt != 0 && now >= w.leavesAt.Add(-leaveSlack) {
		p.workerGone(w, "left as it said", now)
	}
}

// EntryGone takes in that the entry of a worker is gone, whichever life had written it; fresh is as in UnlistWorker.
func (p *Pool) EntryGone(name string, fresh bool, now clock.Time) {
	l, ok := p.lineages[name]
	if !ok {
		return
	}
	id := l.listed
	l.listed = ""
	p.UnlistWorker(id, fresh, now)
}

// EntryUnusable takes in that the entry of a worker does not name one any more, whoever wrote it. What runs there goes on.
// Unlike one whose entry has gone, it gets no task even if it answers: its own next heartbeat makes the entry good again.
func (p *Pool) EntryUnusable(name string) {
	l, ok := p.lineages[name]
	if !ok {
		return
	}
	l.listed = ""
	for _, w := range l.lives {
		w.listed, w.unlistedAt = false, 0
	}
}

// Listed says that the entry of a worker stands in the store.
func (p *Pool) Listed(id WorkerID) bool {
	w, ok := p.workers[id]
	return ok && w.listed
}

func (w *worker) unlist(now clock.Time) {
	if w.listed {
		w.listed, w.unlistedAt = false, now
	}
}
