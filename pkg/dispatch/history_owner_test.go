package dispatch

import (
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// elect elects a new owner; the previous one goes on for up to ownerTerm.
func (w *world) elect() {
	w.term++
	for _, o := range w.owners {
		if o.authorityEnd == 0 {
			o.authorityEnd = w.now.Add(w.drawDuration(0, ownerTerm))
		}
	}
	term := w.term
	o := &modelOwner{term: term, nextPollAt: map[WorkerID]clock.Time{}, entryVersions: map[int]int{}, reportedDone: map[job.TaskID]modelIncarnation{}}
	o.pool = New(Config{
		LeaseDuration: 5700 * time.Millisecond, MaxLeaseDuration: 5700 * time.Millisecond, WorkerMaxLease: w.maxLease, MinDrainTime: time.Second, StopGrace: 400 * time.Millisecond,
		Token: w.term << 20, Term: w.term, RunNumberBase: int(w.term) * 1000, HasPreviousOwner: w.term > 1, AuthorityTerm: ownerTerm + 200*time.Millisecond,
		MaxValueBytes: historyValueBytes,
		WallClock:     func() time.Time { return w.wallTime }, Disabled: w.disabled, RecordWorkersFromTerm: w.recordWorkersFrom, RecordUnannouncedFromTerm: w.recordUnannouncedFrom,
		Log: func(e Event) {
			w.logf("owner %d %s %s run %d %s %s", term, e.Name, e.Task, e.Run, e.Worker, e.Detail)
			if m := w.workers[workerNumber(e.Worker)]; e.Name == "crash_counted" && (m.dead || m.startedAt != e.Worker.StartedAt()) {
				w.countedCrashes[e.Task]++
			}
		},
	}, w.now)
	o.pool.SetConfig(w.quotas.config(w.queue()))
	if w.largeJobs {
		o.pool.SetSegmentSupport(w.drawSegmentSupport())
	}
	w.owners = append(w.owners, o)
	w.loadWorkers(o)
	if w.slowLoading && w.term > 1 {
		w.scheduleJobLoad(o)
	} else {
		o.loadJobs(w, w.snapshotJobs())
	}
	w.logf("owner %d elected", w.term)
	w.afterElection(o)
}

// loadWorkers has a new owner read the entries and the roster.
func (w *world) loadWorkers(o *modelOwner) {
	if w.workersRestart {
		w.readEntries(o)
		w.readRoster(o)
		return
	}
	for _, m := range w.workers {
		if !m.dead {
			w.addEntry(o, m)
		}
	}
	for _, info := range w.roster {
		switch {
		case info.Crashed:
			o.pool.RecordUncountedCrash(info)
		case w.workers[workerNumber(info.ID)].dead:
			o.pool.UpsertWorker(info, false, w.now)
		}
		o.pool.LoadRetired(info)
	}
}

// addEntry has an owner read a worker's entry. Only the present owner can put a worker into the roster,
// since that write is conditional on the owner's record.
func (w *world) addEntry(o *modelOwner, m *modelWorker) {
	o.pool.UpsertWorker(WorkerInfo{ID: m.id, Pool: "pool", Address: m.address, Capacity: m.capacity, Draining: m.draining}, true, w.now)
	if o == w.presentOwner() {
		o.pool.MarkInRoster([]WorkerID{m.id})
	}
}

// polledWorkers returns the workers that an owner polls.
func (w *world) polledWorkers(o *modelOwner) []WorkerID {
	var out []WorkerID
	if w.workersRestart {
		for _, info := range o.pool.Workers() {
			out = append(out, info.ID)
		}
		return out
	}
	for _, m := range w.workers {
		out = append(out, m.id)
	}
	return out
}

// copyProgress returns progress as an owner reads it from the store: a copy that no other owner changes.
func copyProgress(p job.Progress) job.Progress {
	return job.Progress{Tasks: copyRows(p.Tasks), Index: p.Index, RemainingUse: p.RemainingUse, Workers: slices.Clone(p.Workers)}
}

func copyRows(rows []job.TaskProgress) []job.TaskProgress {
	out := slices.Clone(rows)
	for i := range out {
		row := &out[i]
		row.Failures, row.Attempts, row.Crashes = slices.Clone(row.Failures), slices.Clone(row.Attempts), slices.Clone(row.Crashes)
		row.UnansweredStarts = slices.Clone(row.UnansweredStarts)
	}
	return out
}

// jobs returns the IDs of the jobs in the store, sorted.
func (w *world) jobs() []job.ID {
	var ids []job.ID
	for id := range w.store {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (w *world) presentOwner() *modelOwner {
	return w.owners[len(w.owners)-1]
}

// advanceOwner has an owner plan, commit and call workers.
func (w *world) advanceOwner(o *modelOwner) {
	if o.ended || o.pool.IsFenced() || o.authorityEnd != 0 && w.now >= o.authorityEnd {
		o.ended = true
		return
	}
	if w.workersRestart {
		w.readEntries(o)
	}
	w.readUnknownJobs(o)
	if o.loading {
		w.pollDueWorkers(o)
		return
	}
	actions := o.pool.Plan(w.now, true)
	for _, s := range actions.Starts {
		w.sendStart(o, s)
	}
	for _, s := range actions.Stops {
		w.sendStop(o, s)
	}
	for _, id := range actions.FenceWorkers {
		w.sendPoll(o, id, true)
	}
	w.pollDueWorkers(o)
	if actions.ConfirmOwnership {
		w.confirmOwnership(o)
	}
	o.pool.InspectRuns(w.now)
	w.commit(o)
	if w.workersRestart {
		w.writeRoster(o)
	} else {
		w.updateRoster(o)
	}
}

// pollDueWorkers has an owner poll the workers whose next poll is due.
func (w *world) pollDueWorkers(o *modelOwner) {
	for _, id := range w.polledWorkers(o) {
		if w.now >= o.nextPollAt[id] {
			w.sendPoll(o, id, false)
		}
	}
}

// confirmOwnership has an owner ask the store, which may be unreachable, who the owner is.
func (w *world) confirmOwnership(o *modelOwner) {
	sentAt := w.now
	if o.confirming || w.chance(0.1) || w.now < o.storeUnreachableUntil {
		return
	}
	o.confirming = true
	w.schedule(w.drawDuration(time.Millisecond, 30*time.Millisecond), func() {
		isOwner := o == w.presentOwner()
		w.schedule(w.drawDuration(time.Millisecond, 30*time.Millisecond), func() {
			o.confirming = false
			if !isOwner {
				o.ended = true
				return
			}
			o.pool.RecordOwnershipConfirmed(sentAt)
		})
	})
}

// commit writes what an owner has decided; the commit of a previous owner fails and ends it.
func (w *world) commit(o *modelOwner) {
	if w.now < o.storeUnreachableUntil {
		return
	}
	c := o.pool.PrepareCommit()
	if c.IsEmpty() {
		return
	}
	if o != w.presentOwner() {
		o.ended = true
		return
	}
	if w.cutCommit(o, c) {
		return
	}
	for _, change := range c.Changes {
		w.checkOutcome(change)
		w.checkCompletion(change)
		w.checkChangeSizes(change)
		s := w.store[change.Job]
		s.outcome, s.progress, s.remainingUse, s.lastLateStart, s.hasProgress = change.Outcome, change.Progress, change.RemainingUse, change.LastLateStart, true
		s.storeSegments(change)
		w.recordUnansweredStarts(change)
		if s.outcome == job.Completed {
			s.shownCompletedAt = w.now
		}
	}
	o.pool.ApplyCommit(c)
}
