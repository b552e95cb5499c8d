package dispatch

import (
	"testing"
	"time"
)

// Workers of the random histories that are told to leave: their entries say that they drain, they fall silent, go on for a while with what
// they run, and end without a report. Owners retire them, and later ones read that in the roster.

const (
	// leaveChance is the probability that a worker begins to drain at a tick: about one a history and worker.
	leaveChance = 0.001
	// leaveTakes is how long a worker that drains stays at most.
	leaveTakes = 10 * time.Second
)

// mayLeave has workers begin to drain now and then.
func (w *world) mayLeave() {
	for _, m := range w.worker {
		if w.leaves && !m.dead && !m.draining && w.chance(leaveChance) {
			w.leave(m)
		}
	}
}

// leave has a worker drain, fall silent and end. Its entry may say in between that it does not drain any more; often the owner changes.
func (w *world) leave(m *modelWorker) {
	born := m.born
	do := func(least, most time.Duration, f func()) {
		w.later(w.between(least, most), func() {
			if !m.dead && m.born == born {
				f()
			}
		})
	}
	w.drains(m, true)
	if w.chance(0.2) {
		do(time.Second, 3*time.Second, func() { w.drains(m, false) })
	}
	do(100*time.Millisecond, 4*time.Second, func() {
		m.cut = true
		w.note("%s is silent", m.id)
		w.later(leaveTakes, func() { m.cut = false })
		if w.chance(0.7) && w.now < w.troubleUntil {
			w.later(w.between(historyTick, time.Second), w.change)
		}
	})
	do(4*time.Second, leaveTakes, func() { w.crash(m) })
}

// drains has the entry of a worker say whether it drains.
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

// keepRoster has the present owner write the roster, in histories without lives.
func (w *world) keepRoster(o *modelOwner) {
	if (w.crashing || w.leaves) && o == w.present() && !o.ended {
		w.roster = o.pool.Roster()
		w.checkRoster(o)
	}
}

// leaving has workers leave beside what else a kind of history is about.
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

// A task ran twice if a later owner freed its job though a worker that leaves may run it.
func TestPromisesHoldWhenWorkersLeave(t *testing.T) {
	t.Run("on their own", func(t *testing.T) { playHistories(t, leaving()) })
	t.Run("behind relays", func(t *testing.T) { playHistories(t, leaving(relayed)) })
	t.Run("named", func(t *testing.T) { playHistories(t, leaving(named)) })
	t.Run("named, with lives", func(t *testing.T) { playLives(t, leaving(named)) })
	t.Run("with lives", func(t *testing.T) { playLives(t, leaving()) })
	t.Run("under tasks that crash them", func(t *testing.T) { playCrashes(t, leaving(crashingWorld, named)) })
}

// A customer had more running than its quota if a job that is held back did not count.
func TestQuotasHoldWhenWorkersLeave(t *testing.T) {
	t.Run("on their own", func(t *testing.T) { playQuotas(t, leaving(withQuotas, toldOfJobs)) })
	t.Run("named", func(t *testing.T) { playQuotas(t, leaving(withQuotas, toldOfJobs, named)) })
}
