package dispatch

import (
	"testing"
	"time"
)

const (
	// leaveChance is the probability that a worker begins to drain at a tick: about once in a history for
	// each worker.
	leaveChance = 0.001
	// maxLeaveTime is how long a draining worker stays at most.
	leaveTakes = 10 * time.Second
)

// startRandomLeaves has random workers begin to leave.
func (w *world) mayLeave() {
	for _, m := range w.worker {
		if w.leaves && !m.dead && !m.draining && w.chance(leaveChance) {
			w.leave(m)
		}
	}
}

// leaveWorker has a worker drain, stop answering and end. Its entry may say in between that it does not
// drain any more; often the owner changes.
func (w *world) leave(m *modelWorker) {
	startedAt := m.born
	scheduleIfAlive := func(least, most time.Duration, f func()) {
		w.later(w.between(least, most), func() {
			if !m.dead && m.born == startedAt {
				f()
			}
		})
	}
	w.drains(m, true)
	if w.chance(0.2) {
		scheduleIfAlive(time.Second, 3*time.Second, func() { w.drains(m, false) })
	}
	scheduleIfAlive(100*time.Millisecond, 4*time.Second, func() {
		m.cut = true
		w.note("%s stops answering", m.id)
		w.later(leaveTakes, func() { m.cut = false })
		if w.chance(0.7) && w.now < w.troubleUntil {
			w.later(w.between(historyTick, time.Second), w.change)
		}
	})
	scheduleIfAlive(4*time.Second, leaveTakes, func() { w.crash(m) })
}

// setDraining sets whether the entry of a worker says that it drains.
func (w *world) drains(m *modelWorker, draining bool) {
	m.draining = draining
	w.note("%s drains: %t", m.id, draining)
	if w.reborn {
		m.entry.info.Draining = draining
		m.entry.version++
		return
	}
	for _, o := range w.owners {
		w.later(w.between(historyTick, 500*time.Millisecond), func() {
			if !m.dead {
				w.meet(o, m)
			}
		})
	}
}

// updateRoster has the present owner write the roster, in histories without restarts.
func (w *world) keepRoster(o *modelOwner) {
	if (w.crashing || w.leaves) && o == w.present() && !o.ended {
		w.roster = o.pool.Roster()
		w.checkRoster(o)
	}
}

// withLeavingWorkers has workers leave beside what else a kind of history has: their entries say that
// they drain, they stop answering, go on for a while with what they run, and end without a report. Owners
// retire them, and later owners read that in the roster.
func leaving(changes ...func(*world)) func(*world) {
	return func(w *world) {
		w.leaves = true
		for _, change := range changes {
			change(w)
		}
	}
}

func relayed(w *world) { w.relayed = true }

func toldOfJobs(w *world) { w.tellsFormer = true }

// Guards against a task that runs twice since a later owner unblocked its job although a leaving worker
// may still run it.
func TestPromisesHoldWhenWorkersLeave(t *testing.T) {
	t.Run("on their own", func(t *testing.T) { playHistories(t, leaving()) })
	t.Run("behind relays", func(t *testing.T) { playHistories(t, leaving(relayed)) })
	t.Run("with recorded workers", func(t *testing.T) { playHistories(t, leaving(named)) })
	t.Run("with recorded workers and restarts", func(t *testing.T) { playLives(t, leaving(named)) })
	t.Run("with restarts", func(t *testing.T) { playLives(t, leaving()) })
	t.Run("under tasks that crash them", func(t *testing.T) { playCrashes(t, leaving(crashingWorld, named)) })
}

// Guards against a customer that has more running than its quota since a blocked job is not counted.
func TestQuotasHoldWhenWorkersLeave(t *testing.T) {
	t.Run("on their own", func(t *testing.T) { playQuotas(t, leaving(withQuotas, toldOfJobs)) })
	t.Run("with recorded workers", func(t *testing.T) { playQuotas(t, leaving(withQuotas, toldOfJobs, named)) })
}
