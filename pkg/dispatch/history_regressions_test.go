package dispatch

import "testing"

// Guards against an unreachable next incarnation that carries out a late start after the lease of its
// worker was presumed to have expired.
func TestUnreachableNextIncarnationMayCarryOutALateStart(t *testing.T) {
	simulateSeeds(t, []uint64{20280}, func(w *world) {
		w.workersRestart = true
		withCrashingTasks(w)
	})
}

// Guards against a start for a worker that was not polled for a while and has restarted with less
// capacity.
func TestSmallerNextIncarnationIsNotOverloaded(t *testing.T) {
	simulateSeeds(t, []uint64{22163}, func(w *world) { w.workersRestart = true })
}

// Guards against a crash that is taken for a planned leave after the entry of an earlier incarnation was
// read.
func TestCrashAfterAnOutdatedEntryIsCounted(t *testing.T) {
	simulateSeeds(t, []uint64{44135}, func(w *world) {
		w.workersRestart = true
		withCrashingTasks(w)
	})
}

// Guards against a new owner that does not count what still runs of a job that was just cancelled.
func TestQuotaCountsRunsOfACancelledJob(t *testing.T) {
	simulateSeeds(t, []uint64{7000270}, func(w *world) { w.quotas, w.slowRelays = newModelQuotas(), true })
}

// Guards against a start that was invalidated on one incarnation of a worker and is carried out by the
// next. This fault is known and open.
func TestNextIncarnationDoesNotCarryOutAnInvalidatedStart(t *testing.T) {
	simulateSeeds(t, []uint64{7001926}, func(w *world) { w.workersRestart = true })
}

// Guards against a late poll for the previous incarnation that makes the next one forget ends which no
// owner has read.
func TestLatePollDoesNotAcknowledgeEndsOfTheNextIncarnation(t *testing.T) {
	for _, seed := range []uint64{10298, 20477} {
		simulateSeeds(t, []uint64{seed}, func(w *world) { w.workersRestart, w.shortDowntime = true, true })
	}
}

// Guards against starts that reach the next incarnation of a worker, which has less capacity.
func TestQuicklyRestartedWorkerIsNotOverloaded(t *testing.T) {
	simulateSeeds(t, []uint64{813}, func(w *world) { w.workersRestart, w.shortDowntime = true, true })
}

// Guards against crashes of one worker that have causes of their own and count as crashes of three
// workers under one task.
func TestRestartsOfOneWorkerGiveNoJobUp(t *testing.T) {
	simulateSeeds(t, []uint64{30002900, 40009208, 40009572, 50000087, 50000386}, func(w *world) { w.workersRestart, w.shortDowntime = true, true })
}
