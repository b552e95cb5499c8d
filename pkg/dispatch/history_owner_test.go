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
		if o.until == 0 {
			o.until = w.now.Add(w.between(0, ownerTerm))
		}
	}
	term := w.term
	o := &modelOwner{term: term, holding: map[WorkerID]clock.Time{}, entries: map[int]int{}, doneAt: map[job.TaskID]modelLife{}}
	o.pool = New(Config{
		LeaseDuration: 5700 * time.Millisecond, MaxLeaseDuration: 5700 * time.Millisecond, WorkerMaxLease: platformHold, MinDrainTime: time.Second, StopGrace: 400 * time.Millisecond,
		Token: w.term << 20, Term: w.term, RunNumberBase: int(w.term) * 1000, HasPreviousOwner: w.term > 1, AuthorityTerm: ownerTerm + 200*time.Millisecond,
		WallClock: func() time.Time { return w.wall }, Disabled: w.without, RecordWorkersFromTerm: w.namedFrom,
		Log: func(e Event) {
			w.note("owner %d %s %s run %d %s %s", term, e.Name, e.Task, e.Run, e.Worker, e.Detail)
			if m := w.worker[numberOf(e.Worker)]; e.Name == "crash_counted" && (m.dead || m.born != e.Worker.StartedAt()) {
				w.lost[e.Task]++
			}
		},
	}, w.now)
	o.pool.SetConfig(w.quotas.config())
	w.owners = append(w.owners, o)
	w.listWorkers(o)
	if w.slow && w.term > 1 {
		w.loadLate(o)
	} else {
		o.load(w, w.stored())
	}
	w.note("owner %d elected", w.term)
	w.elected(o)
}

// loadWorkers has a new owner read the entries and the roster.
func (w *world) listWorkers(o *modelOwner) {
	if w.reborn {
		w.readEntries(o)
		w.readRoster(o)
		return
	}
	for _, m := range w.worker {
		if !m.dead {
			w.meet(o, m)
		}
	}
	for _, info := range w.roster {
		switch {
		case info.Crashed:
			o.pool.RecordUncountedCrash(info)
		case w.worker[numberOf(info.ID)].dead:
			o.pool.UpsertWorker(info, false, w.now)
		}
		o.pool.LoadRetired(info)
	}
}

// addEntry has an owner read a worker's entry. Only the present owner can put a worker into the roster,
// since that write is conditional on the owner's record.
func (w *world) meet(o *modelOwner, m *modelWorker) {
	o.pool.UpsertWorker(WorkerInfo{ID: m.id, Pool: "pool", Address: m.address, Capacity: m.capacity, Draining: m.draining}, true, w.now)
	if o == w.present() {
		o.pool.MarkInRoster([]WorkerID{m.id})
	}
}

// polledWorkers returns the workers that an owner polls.
func (w *world) sessions(o *modelOwner) []WorkerID {
	var out []WorkerID
	if w.reborn {
		for _, info := range o.pool.Workers() {
			out = append(out, info.ID)
		}
		return out
	}
	for _, m := range w.worker {
		out = append(out, m.id)
	}
	return out
}

// copyProgress returns progress as an owner reads it from the store: a copy that no other owner changes.
func copied(p job.Progress) job.Progress {
	out := job.Progress{Tasks: slices.Clone(p.Tasks), Unended: p.Unended, Workers: slices.Clone(p.Workers)}
	for i := range out.Tasks {
		row := &out.Tasks[i]
		row.Failures, row.Attempts, row.Crashes = slices.Clone(row.Failures), slices.Clone(row.Attempts), slices.Clone(row.Crashes)
		row.Unanswered = slices.Clone(row.Unanswered)
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

func (w *world) present() *modelOwner {
	return w.owners[len(w.owners)-1]
}

// advanceOwner has an owner plan, commit and call workers.
func (w *world) act(o *modelOwner) {
	if o.ended || o.pool.IsFenced() || o.until != 0 && w.now >= o.until {
		o.ended = true
		return
	}
	if w.reborn {
		w.readEntries(o)
	}
	w.readUnknownJobs(o)
	if o.loading {
		w.holdAll(o)
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
		w.sendHold(o, id, true)
	}
	w.holdAll(o)
	if actions.ConfirmOwnership {
		w.confirm(o)
	}
	o.pool.InspectRuns(w.now)
	w.commit(o)
	if w.reborn {
		w.writeRoster(o)
	} else {
		w.keepRoster(o)
	}
}

// pollDueWorkers has an owner poll the workers whose next poll is due.
func (w *world) holdAll(o *modelOwner) {
	for _, id := range w.sessions(o) {
		if w.now >= o.holding[id] {
			w.sendHold(o, id, false)
		}
	}
}

// confirmOwnership has an owner ask the store, which may be unreachable, who the owner is.
func (w *world) confirm(o *modelOwner) {
	sentAt := w.now
	if o.confirming || w.chance(0.1) || w.now < o.storeAwayUntil {
		return
	}
	o.confirming = true
	w.later(w.between(time.Millisecond, 30*time.Millisecond), func() {
		isOwner := o == w.present()
		w.later(w.between(time.Millisecond, 30*time.Millisecond), func() {
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
	if w.now < o.storeAwayUntil {
		return
	}
	c := o.pool.PrepareCommit()
	if c.IsEmpty() {
		return
	}
	if o != w.present() {
		o.ended = true
		return
	}
	for _, change := range c.Changes {
		w.checkOutcome(change)
		s := w.store[change.Job]
		s.outcome, s.progress, s.unended, s.lateStart, s.stored = change.Outcome, change.Progress, change.RemainingUse, change.LastLateStart, true
		w.keepUnanswered(change)
		if s.outcome == job.Completed {
			s.shownAt = w.now
		}
	}
	o.pool.ApplyCommit(c)
}
