package dispatch

import (
	"testing"
	"time"
)

const (
	// earlyTakeoverChance is the probability that the owner changes soon after an event that a later
	// owner has to learn of (earlyTakeover).
	earlyTakeoverChance = 0.1
	// earlyTakeoverIsolationChance is the probability that a worker becomes unreachable then, so that the
	// next owner does not learn what runs there.
	earlyTakeoverIsolationChance = 0.5
	// earlyTakeoverCancelChance is the probability of a cancellation at a tick.
	earlyTakeoverCancelChance = 0.005
	// jobsAfterEarlyTakeover is how many jobs are submitted soon after the owner has changed: only these
	// may start at once. The others, a third of all jobs, are submitted at any time.
	jobsAfterEarlyTakeover = 2
	jobsAtOtherTimes       = historyJobCount / 3
	// maxEarlyTakeoverDelay is how long after the event the owner changes at most: a little more than a
	// lease.
	maxEarlyTakeoverDelay = 7 * time.Second
)

// maybeScheduleTakeover draws whether the owner changes soon after an event, in histories with
// earlyTakeover.
func (w *world) maybeScheduleTakeover() {
	if !w.earlyTakeover || w.takeoverScheduled || w.now >= w.faultsUntil || !w.chance(earlyTakeoverChance) {
		return
	}
	w.takeoverScheduled = true
	for _, m := range w.workers {
		if !m.dead && w.chance(earlyTakeoverIsolationChance) {
			w.isolateWorker(m)
		}
	}
	after := w.drawDuration(0, maxEarlyTakeoverDelay)
	if w.chance(0.5) {
		after = w.drawDuration(0, 200*time.Millisecond)
	}
	w.schedule(after, func() {
		w.takeoverScheduled = false
		w.elect()
		for range jobsAfterEarlyTakeover {
			w.schedule(w.drawDuration(0, 2*time.Second), func() {
				if w.submittedJobs < historyJobCount {
					w.submitJob()
				}
			})
		}
	})
}

// jobsAtRandomTimes is how many jobs are submitted at random times, independent of other events.
func (w *world) jobsAtRandomTimes() int {
	if w.earlyTakeover || w.informedOwner {
		return jobsAtOtherTimes
	}
	return historyJobCount
}

// earlyTakeover adds changes of the owner soon after an event that a later owner has to learn of: a
// cancellation, the end of a task, a crash or a lowered quota. Some workers become unreachable at that
// moment, so that they cannot report, and jobs are submitted that may start at once. Most violations
// occurred within the first lease after such an event. If runs of an ended job are left out of the quota
// count, seed 138 with quotas fails.
func earlyTakeover(change func(*world)) func(*world) {
	return func(w *world) {
		w.earlyTakeover = true
		change(w)
	}
}

func TestInvariantsHoldAfterEarlyTakeovers(t *testing.T) {
	t.Run("on their own", func(t *testing.T) { simulateShare(t, fifthOfSeeds, earlyTakeover(func(*world) {})) })
	t.Run("behind relays", func(t *testing.T) {
		simulateShare(t, fifthOfSeeds, earlyTakeover(func(w *world) { w.slowRelays = true }))
	})
	t.Run("with workers that restart", func(t *testing.T) {
		simulateShare(t, fifthOfSeeds, earlyTakeover(func(w *world) { w.workersRestart = true }))
	})
	t.Run("with quotas", func(t *testing.T) {
		simulateShare(t, fifthOfSeeds, earlyTakeover(func(w *world) { w.quotas = newModelQuotas() }))
	})
	t.Run("with quotas behind relays", func(t *testing.T) {
		simulateShare(t, fifthOfSeeds, earlyTakeover(func(w *world) { w.quotas, w.slowRelays = newModelQuotas(), true }))
	})
	t.Run("with quotas and workers that restart", func(t *testing.T) {
		simulateShare(t, fifthOfSeeds, earlyTakeover(func(w *world) { w.quotas, w.workersRestart = newModelQuotas(), true }))
	})
	t.Run("with tasks that crash workers", func(t *testing.T) { simulateShare(t, fifthOfSeeds, earlyTakeover(withCrashingTasks)) })
}

// withCrashingTasks has tasks crash their workers, and doubles the number of workers.
func withCrashingTasks(w *world) {
	w.tasksCrash = true
	for range historyWorkerCount {
		w.addWorker()
	}
}
