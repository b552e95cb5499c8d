package dispatch

import (
	"testing"
	"time"
)

const (
	// earlyTakeoverChance is the probability that the owner changes soon after an event that a later
	// owner has to learn of (earlyTakeover).
	soonChance = 0.1
	// earlyTakeoverIsolationChance is the probability that a worker becomes unreachable then, so that the
	// next owner does not learn what runs there.
	soonCut = 0.5
	// earlyTakeoverCancelChance is the probability of a cancellation at a tick.
	soonCancels = 0.005
	// jobsAfterEarlyTakeover is how many jobs are submitted soon after the owner has changed: only these
	// may start at once. The others, a third of all jobs, are submitted at any time.
	soonJobs   = 2
	soonOthers = historyJobs / 3
	// maxEarlyTakeoverDelay is how long after the event the owner changes at most: a little more than a
	// lease.
	soonMost = 7 * time.Second
)

// maybeScheduleTakeover draws whether the owner changes soon after an event, in histories with
// earlyTakeover.
func (w *world) ownerMayChange() {
	if !w.soon || w.changing || w.now >= w.troubleUntil || !w.chance(soonChance) {
		return
	}
	w.changing = true
	for _, m := range w.worker {
		if !m.dead && w.chance(soonCut) {
			w.cutOff(m)
		}
	}
	after := w.between(0, soonMost)
	if w.chance(0.5) {
		after = w.between(0, 200*time.Millisecond)
	}
	w.later(after, func() {
		w.changing = false
		w.elect()
		for range soonJobs {
			w.later(w.between(0, 2*time.Second), func() {
				if w.handed < historyJobs {
					w.handIn()
				}
			})
		}
	})
}

// jobsAtRandomTimes is how many jobs are submitted at random times, independent of other events.
func (w *world) jobsAtAnyTime() int {
	if w.soon || w.told {
		return soonOthers
	}
	return historyJobs
}

// earlyTakeover adds changes of the owner soon after an event that a later owner has to learn of: a
// cancellation, the end of a task, a crash or a lowered quota. Some workers become unreachable at that
// moment, so that they cannot report, and jobs are submitted that may start at once. Most violations
// occurred within the first lease after such an event. If runs of an ended job are left out of the quota
// count, seed 138 with quotas fails.
func soon(change func(*world)) func(*world) {
	return func(w *world) {
		w.soon = true
		change(w)
	}
}

func TestPromisesHoldWhenTheOwnerChangesSoonAfterAnEnd(t *testing.T) {
	t.Run("on their own", func(t *testing.T) { playDrawn(t, fifth, soon(func(*world) {})) })
	t.Run("behind relays", func(t *testing.T) { playDrawn(t, fifth, soon(func(w *world) { w.relayed = true })) })
	t.Run("with workers that restart", func(t *testing.T) { playDrawn(t, fifth, soon(func(w *world) { w.reborn = true })) })
	t.Run("with quotas", func(t *testing.T) { playDrawn(t, fifth, soon(func(w *world) { w.quotas = newModelQuotas() })) })
	t.Run("with quotas behind relays", func(t *testing.T) {
		playDrawn(t, fifth, soon(func(w *world) { w.quotas, w.relayed = newModelQuotas(), true }))
	})
	t.Run("with quotas and workers that restart", func(t *testing.T) {
		playDrawn(t, fifth, soon(func(w *world) { w.quotas, w.reborn = newModelQuotas(), true }))
	})
	t.Run("with tasks that crash workers", func(t *testing.T) { playDrawn(t, fifth, soon(crashingWorld)) })
}

// withCrashingTasks has tasks crash their workers, and doubles the number of workers.
func crashingWorld(w *world) {
	w.crashing = true
	for range historyWorkers {
		w.addWorker()
	}
}
