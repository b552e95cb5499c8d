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
	maxLeaveTime = 10 * time.Second
)

// startRandomLeaves has random workers begin to leave.
func (w *world) startRandomLeaves() {
	for _, m := range w.workers {
		if w.workersLeave && !m.dead && !m.draining && w.chance(leaveChance) {
			w.leaveWorker(m)
		}
	}
}

// leaveWorker has a worker drain, stop answering and end. Its entry may say in between that it does not
// drain any more; often the owner changes.
func (w *world) leaveWorker(m *modelWorker) {
	startedAt := m.startedAt
	scheduleIfAlive := func(least, most time.Duration, f func()) {
		w.schedule(w.drawDuration(least, most), func() {
			if !m.dead && m.startedAt == startedAt {
				f()
			}
		})
	}
	w.setDraining(m, true)
	if w.chance(0.2) {
		scheduleIfAlive(time.Second, 3*time.Second, func() { w.setDraining(m, false) })
	}
	scheduleIfAlive(100*time.Millisecond, 4*time.Second, func() {
		m.unreachable = true
		w.logf("%s stops answering", m.id)
		w.schedule(maxLeaveTime, func() { m.unreachable = false })
		if w.chance(0.7) && w.now < w.faultsUntil {
			w.schedule(w.drawDuration(historyTick, time.Second), w.changeOwner)
		}
	})
	scheduleIfAlive(4*time.Second, maxLeaveTime, func() { w.crashWorker(m) })
}

// setDraining sets whether the entry of a worker says that it drains.
func (w *world) setDraining(m *modelWorker, draining bool) {
	m.draining = draining
	w.logf("%s drains: %t", m.id, draining)
	if w.workersRestart {
		m.entry.info.Draining = draining
		m.entry.version++
		return
	}
	for _, o := range w.owners {
		w.schedule(w.drawDuration(historyTick, 500*time.Millisecond), func() {
			if !m.dead {
				w.addEntry(o, m)
			}
		})
	}
}

// updateRoster has the present owner write the roster, in histories without restarts.
func (w *world) updateRoster(o *modelOwner) {
	if (w.tasksCrash || w.workersLeave) && o == w.presentOwner() && !o.ended {
		w.roster = o.pool.Roster()
		w.checkRoster(o)
	}
}

// withLeavingWorkers has workers leave beside what else a kind of history has: their entries say that
// they drain, they stop answering, go on for a while with what they run, and end without a report. Owners
// retire them, and later owners read that in the roster.
func withLeavingWorkers(changes ...func(*world)) func(*world) {
	return func(w *world) {
		w.workersLeave = true
		for _, change := range changes {
			change(w)
		}
	}
}

func slowRelays(w *world) { w.slowRelays = true }

func withJobsAnnouncedToPrevious(w *world) { w.announceToPrevious = true }

// Guards against a task that runs twice since a later owner unblocked its job although a leaving worker
// may still run it.
func TestInvariantsHoldWhenWorkersLeave(t *testing.T) {
	t.Run("on their own", func(t *testing.T) { simulateHistories(t, withLeavingWorkers()) })
	t.Run("behind relays", func(t *testing.T) { simulateHistories(t, withLeavingWorkers(slowRelays)) })
	t.Run("with recorded workers", func(t *testing.T) { simulateHistories(t, withLeavingWorkers(withRecordedWorkers)) })
	t.Run("with recorded workers and restarts", func(t *testing.T) { simulateRestarts(t, withLeavingWorkers(withRecordedWorkers)) })
	t.Run("with restarts", func(t *testing.T) { simulateRestarts(t, withLeavingWorkers()) })
	t.Run("under tasks that crash them", func(t *testing.T) { simulateCrashes(t, withLeavingWorkers(withCrashingTasks, withRecordedWorkers)) })
}

// Guards against a customer that has more running than its quota since a blocked job is not counted.
func TestQuotasHoldWhenWorkersLeave(t *testing.T) {
	t.Run("on their own", func(t *testing.T) { simulateQuotas(t, withLeavingWorkers(withQuotas, withJobsAnnouncedToPrevious)) })
	t.Run("with recorded workers", func(t *testing.T) {
		simulateQuotas(t, withLeavingWorkers(withQuotas, withJobsAnnouncedToPrevious, withRecordedWorkers))
	})
}
