package dispatch

import "testing"

// Histories that once broke a promise; docs/incidents/random-histories.md tells how.

// Guards against a life behind a cut that takes a late start after its worker was presumed to have lapsed.
func TestNextLifeBehindACutThatTakesALateStart(t *testing.T) {
	playSeeds(t, []uint64{20280}, func(w *world) {
		w.reborn = true
		crashingWorld(w)
	})
}

// Guards against a start for a worker that was not asked for a while and is back holding less.
func TestNextLifeThatHoldsLessUnderABusyOwner(t *testing.T) {
	playSeeds(t, []uint64{22163}, func(w *world) { w.reborn = true })
}

// Guards against a crash that is taken for a planned leave after an entry of an older life.
func TestCrashAfterAnOldEntryIsCounted(t *testing.T) {
	playSeeds(t, []uint64{44135}, func(w *world) {
		w.reborn = true
		crashingWorld(w)
	})
}

// Guards against a new owner that does not count what still runs of a job that was just cancelled.
func TestQuotaHoldsWhileACancelledJobStops(t *testing.T) {
	playSeeds(t, []uint64{7000270}, func(w *world) { w.quotas, w.relayed = newModelQuotas(), true })
}

// Guards against a start that was fenced off on one life of a worker and is carried out by the next; known and open.
func TestNextLifeDoesNotTakeAVoidedStart(t *testing.T) {
	playSeeds(t, []uint64{7001926}, func(w *world) { w.reborn = true })
}

// Guards against a late hold for a former life that has the next one forget ends which nobody has read.
func TestNextLifeDoesNotForgetAnEndByALateHold(t *testing.T) {
	for _, seed := range []uint64{10298, 20477} {
		playSeeds(t, []uint64{seed}, func(w *world) { w.reborn, w.brief = true, true })
	}
}

// Guards against starts that reach the next life of a worker, which holds less.
func TestWorkerThatIsBackAtOnceIsGivenNoMoreThanItHolds(t *testing.T) {
	playSeeds(t, []uint64{813}, func(w *world) { w.reborn, w.brief = true, true })
}

// Guards against crashes of one worker by itself that count as crashes of three workers under one task.
func TestLivesOfOneWorkerGiveNoJobUp(t *testing.T) {
	playSeeds(t, []uint64{30002900, 40009208, 40009572, 50000087, 50000386}, func(w *world) { w.reborn, w.brief = true, true })
}
