package dispatch

import (
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

const (
	// minDowntime is the shortest time from a worker's crash to its next start.
	minDowntime = 550 * time.Millisecond
	// minShortDowntime is that time in histories with shortDowntime.
	minShortDowntime   = 50 * time.Millisecond
	entryWriteInterval = 1500 * time.Millisecond
	// entryTimeToLive is for how long an entry stays in the store after its last write.
	entryTimeToLive = 3 * entryWriteInterval
)

// modelEntry is a worker's entry in the store.
type modelEntry struct {
	info      WorkerInfo
	removed   bool
	version   int
	writtenAt clock.Time
}

// drawDowntime draws how long a worker takes to start again.
func (w *world) drawDowntime() time.Duration {
	if w.shortDowntime {
		return w.drawDuration(minShortDowntime, minDowntime)
	}
	if w.longLeases {
		return w.drawDuration(minDowntime, leaseExtensionTimeout)
	}
	return w.drawDuration(minDowntime, 4*time.Second)
}

// startIncarnation starts the next incarnation of a worker, under the name that the worker had. It may
// crash again before it has written its entry.
func (w *world) startIncarnation(m *modelWorker) {
	m.startedAt = 1_700_000_000_000 + w.rand.Int64N(1_000_000) // by its own wall clock, which may have been stepped
	m.clockRate, m.clockOrigin = 0.98+0.02*w.rand.Float64(), float64(w.rand.IntN(500_000))
	m.token, m.leaseEnd, m.leaseExpiredAt, m.lastEndNumber, m.ended = 0, 0, 0, 0, nil
	clear(m.endedAt)
	clear(m.highestRun)
	m.capacity = cell.Resources{CPUMillis: 3000 + 1000*w.rand.Int64N(2), MemoryMB: 8000}
	m.dead, m.draining = false, false
	w.logf("%s starts incarnation %d", m.id, m.startedAt)
	if w.chance(0.15) {
		w.schedule(w.drawDuration(100*time.Millisecond, time.Second), func() {
			if !m.dead {
				w.crashWorker(m)
			}
		})
	}
	w.scheduleEntryWrites(m, w.drawDuration(0, 300*time.Millisecond))
	if w.longLeases && w.term > 0 && w.now < w.faultsUntil {
		w.cutAfterRestart(m)
	}
}

// cutAfterRestart has a worker that has just restarted become unreachable for longer than the leases of owners,
// after it may have been given tasks, and changes the owner at about that time.
func (w *world) cutAfterRestart(m *modelWorker) {
	w.schedule(w.drawDuration(500*time.Millisecond, 2*time.Second), w.changeOwner)
	w.schedule(w.drawDuration(500*time.Millisecond, 2500*time.Millisecond), func() {
		w.isolateWorkerFor(m, w.drawDuration(6*time.Second, 14*time.Second))
	})
}

// scheduleEntryWrites has an incarnation write its entry after a delay, and periodically until it ends.
// Its last write may be carried out late.
func (w *world) scheduleEntryWrites(m *modelWorker, after time.Duration) {
	startedAt := m.startedAt
	w.schedule(after, func() {
		late := m.dead && w.chance(0.1) || m.startedAt != startedAt && w.chance(0.05)
		if (m.dead || m.startedAt != startedAt) && !late {
			return
		}
		info := w.workerInfo(m)
		info.ID = incarnationID(workerNumber(m.id), startedAt)
		if m.entry.removed || m.entry.info.ID.StartedAt() != startedAt {
			m.entry.info, m.entry.removed = info, false
			m.entry.version++
			w.logf("%s: the entry of incarnation %d is written", m.id, startedAt)
		}
		m.entry.writtenAt = w.now
		if !late {
			w.scheduleEntryWrites(m, entryWriteInterval)
		}
	})
}

func (w *world) workerInfo(m *modelWorker) WorkerInfo {
	return WorkerInfo{ID: incarnationID(workerNumber(m.id), m.startedAt), Pool: "pool", Address: m.address, Capacity: m.capacity, Draining: m.draining}
}

// expireEntries removes entries that have not been written for entryTimeToLive.
func (w *world) expireEntries() {
	for _, m := range w.workers {
		if !m.entry.removed && m.entry.version > 0 && w.now.Sub(m.entry.writtenAt) > entryTimeToLive {
			m.entry.removed = true
			m.entry.version++
		}
	}
}

// readEntries has an owner read the entries that have changed, unless it does not reach the store.
func (w *world) readEntries(o *modelOwner) {
	if w.now < o.storeUnreachableUntil {
		return
	}
	if w.now < w.faultsUntil && w.chance(0.002) {
		o.storeUnreachableUntil = w.now.Add(w.drawDuration(200*time.Millisecond, 7*time.Second))
		w.logf("owner %d does not reach the store until %d", o.term, o.storeUnreachableUntil)
		return
	}
	for n, m := range w.workers {
		if o.entryVersions[n] == m.entry.version {
			continue
		}
		o.entryVersions[n] = m.entry.version
		if m.entry.removed {
			o.pool.RemoveEntryByName(string(workerID(n)), false, w.now)
		} else {
			o.pool.UpsertWorker(m.entry.info, true, w.now)
		}
	}
}

// readRoster has a new owner read which workers its predecessors used.
func (w *world) readRoster(o *modelOwner) {
	known := o.pool.Workers()
	for _, info := range w.roster {
		switch {
		case info.Crashed:
			o.pool.RecordUncountedCrash(info)
		case !slices.ContainsFunc(known, func(k WorkerInfo) bool { return k.ID == info.ID }):
			o.pool.UpsertWorker(info, false, w.now)
		}
		o.pool.LoadRetired(info)
	}
}

// writeRoster has the present owner write the roster, which it must do before it uses a worker.
func (w *world) writeRoster(o *modelOwner) {
	if o != w.presentOwner() || o.ended || w.now < o.storeUnreachableUntil {
		return
	}
	w.roster = o.pool.Roster()
	w.checkRoster(o)
	var ids []WorkerID
	for _, info := range w.roster {
		ids = append(ids, info.ID)
	}
	o.pool.MarkInRoster(ids)
}

// recordUnansweredStarts remembers the starts without an answer that a commit writes to the store.
func (w *world) recordUnansweredStarts(c JobChange) {
	rows := slices.Clone(c.Progress.Tasks)
	for _, s := range c.Segments {
		rows = append(rows, s.Segment.Tasks...)
	}
	for _, row := range rows {
		t := job.TaskID{StepID: job.StepID{Job: c.Job, Time: row.Time, Step: row.Step}, Index: row.Index}
		for _, u := range row.UnansweredStarts {
			w.unansweredStarts[runKey{t, u.Run}] = true
		}
	}
}

// isStartExpected reports whether the present owner still counts on a start on a worker, or whether the
// store has it as unanswered. That owner knows nothing of other starts of previous owners, so it cannot
// prevent that the worker's next incarnation, which has seen no token, carries them out beside or after
// what it has started itself.
func (w *world) isStartExpected(m *modelWorker, s StartOrder) bool {
	if w.unansweredStarts[runKey{s.Task, s.Run}] {
		return true
	}
	p := w.presentOwner().pool
	for _, k := range p.workers {
		if _, there := k.runs[runKey{s.Task, s.Run}]; there && workerNumber(k.info.ID) == workerNumber(m.id) {
			return true
		}
	}
	return false
}
