package dispatch

import "foldarch.dev/foldarch/pkg/clock"

// UpsertWorker records a worker from its entry (entryExists), or from the roster. It reports whether the
// worker is new, so that the roster has to be written before the worker is used (MarkInRoster).
func (p *Pool) UpsertWorker(info WorkerInfo, entryExists bool, now clock.Time) bool {
	history := p.historyOf(info.ID.Name())
	if entryExists {
		history.currentEntry, history.lastEntry, history.lastEntryAt = info.ID, info.ID, now
		history.removeOtherEntries(now)
	}
	if history.hasEnded(info.ID) {
		return false
	}
	w, known := p.workers[info.ID]
	if !known {
		w = p.addWorker(info, now)
	}
	w.info, w.hasEntry = info, entryExists
	w.evacuated = p.isInEvacuatedHall(w)
	if entryExists {
		w.entryRemovedAt, w.entryReplaced = 0, false
	}
	if info.Draining && w.leavesAt == 0 {
		w.leavesAt = now.Add(max(info.Remaining, p.cfg.MinDrainTime))
		p.cfg.Log(Event{Name: "worker_draining", Worker: info.ID, Detail: w.leavesAt.Sub(now).String()})
	}
	return !known
}

// MarkInRoster records that the stored roster has the given workers, so that they may be given tasks.
func (p *Pool) MarkInRoster(ids []WorkerID) {
	for _, id := range ids {
		if w, ok := p.workers[id]; ok {
			w.inRoster = true
		}
	}
}

// RemoveEntry records that a worker's entry is gone. Its runs may go on. But a worker whose leaving
// time has come is terminated if its entry was fresh, that is, written so recently that it can't have
// expired for lack of heartbeats.
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
		p.terminateWorker(w, "left as announced", now)
	}
}

// RemoveEntryByName records that the entry of a worker is gone, whichever incarnation wrote it. fresh
// has the same meaning as in RemoveEntry.
func (p *Pool) RemoveEntryByName(name string, fresh bool, now clock.Time) {
	history, ok := p.workerHistories[name]
	if !ok {
		return
	}
	id := history.currentEntry
	history.currentEntry = ""
	p.RemoveEntry(id, fresh, now)
}

// MarkEntryInvalid records that the entry of a worker no longer describes a worker, whoever wrote it.
// Its runs go on. Unlike a worker whose entry is gone, it gets no tasks even if it answers, until its
// own next heartbeat corrects the entry.
func (p *Pool) MarkEntryInvalid(name string) {
	history, ok := p.workerHistories[name]
	if !ok {
		return
	}
	history.currentEntry = ""
	for _, w := range history.incarnations {
		w.hasEntry, w.entryRemovedAt = false, 0
	}
}

// HasEntry reports whether the entry of a worker is in the store.
func (p *Pool) HasEntry(id WorkerID) bool {
	w, ok := p.workers[id]
	return ok && w.hasEntry
}

// markEntryRemoved records that the worker's entry is gone.
func (w *worker) markEntryRemoved(now clock.Time) {
	if w.hasEntry {
		w.hasEntry, w.entryRemovedAt = false, now
	}
}
