package dispatch

import "foldarch.dev/foldarch/pkg/clock"

// What the store tells of workers: their own entries, and the roster.

// UpsertWorker takes in a worker's entry, or that the roster names it. It says whether the worker is new, so that the
// roster has to be written before it is used (Rostered).
func (p *Pool) UpsertWorker(info WorkerInfo, listed bool, now clock.Time) bool {
	l := p.historyOf(info.ID.Name())
	if listed {
		l.currentEntry, l.lastEntry, l.lastEntryAt = info.ID, info.ID, now
		l.removeOtherEntries(now)
	}
	if l.hasEnded(info.ID) {
		return false
	}
	w, known := p.workers[info.ID]
	if !known {
		w = p.addWorker(info, now)
	}
	w.info, w.hasEntry = info, listed
	w.evacuated = p.isInEvacuatedHall(w)
	if listed {
		w.entryRemovedAt, w.entryReplaced = 0, false
	}
	if info.Draining && w.leavesAt == 0 {
		w.leavesAt = now.Add(max(info.Remaining, p.cfg.MinDrainTime))
		p.cfg.Log(Event{Name: "worker_draining", Worker: info.ID, Detail: w.leavesAt.Sub(now).String()})
	}
	return !known
}

// MarkInRoster takes in that the roster of the store names workers, so that they may be given tasks.
func (p *Pool) MarkInRoster(ids []WorkerID) {
	for _, id := range ids {
		if w, ok := p.workers[id]; ok {
			w.inRoster = true
		}
	}
}

// RemoveEntry takes in that a worker's entry is gone. What runs there may go on, unless the
// entry was fresh, that is, written too lately to have gone for want of heartbeats, and the
// worker was to leave by now.
func (p *Pool) RemoveEntry(id WorkerID, fresh bool, now clock.Time) {
	w, ok := p.workers[id]
	if !ok {
		return
	}
	w.markEntryRemoved(now)
	if w.history.currentEntry == id {
		w.history.currentEntry = ""
	}
	if fresh && w.leavesAt != 0 && now >= w.leavesAt.Add(-leaveSlack) {
		p.terminateWorker(w, "left as it said", now)
	}
}

// RemoveEntryByName takes in that the entry of a worker is gone, whichever life had written it; fresh is as in RemoveEntry.
func (p *Pool) RemoveEntryByName(name string, fresh bool, now clock.Time) {
	l, ok := p.workerHistories[name]
	if !ok {
		return
	}
	id := l.currentEntry
	l.currentEntry = ""
	p.RemoveEntry(id, fresh, now)
}

// MarkEntryInvalid takes in that the entry of a worker does not name one any more, whoever wrote it. What runs there goes on.
// Unlike one whose entry has gone, it gets no task even if it answers: its own next heartbeat makes the entry good again.
func (p *Pool) MarkEntryInvalid(name string) {
	l, ok := p.workerHistories[name]
	if !ok {
		return
	}
	l.currentEntry = ""
	for _, w := range l.incarnations {
		w.hasEntry, w.entryRemovedAt = false, 0
	}
}

// HasEntry says that the entry of a worker stands in the store.
func (p *Pool) HasEntry(id WorkerID) bool {
	w, ok := p.workers[id]
	return ok && w.hasEntry
}

func (w *worker) markEntryRemoved(now clock.Time) {
	if w.hasEntry {
		w.hasEntry, w.entryRemovedAt = false, now
	}
}
