package dispatch

import "testing"

// withRecordedWorkers has owners start a job only on workers that the job's record in the store names, so
// that a later owner can unblock jobs by these records.
func withRecordedWorkers(w *world) {
	w.recordWorkersFrom = 1
}

// Guards against a task that runs twice since a start went to a worker that is not recorded in the store.
func TestInvariantsHoldWithRecordedWorkers(t *testing.T) {
	simulateHistories(t, withRecordedWorkers)
}

func TestInvariantsHoldWithRecordedWorkersBehindRelays(t *testing.T) {
	simulateHistories(t, func(w *world) {
		withRecordedWorkers(w)
		w.slowRelays = true
	})
}

// Guards against a customer that has more running than its quota since a previous owner could start a job
// for which no worker is recorded.
func TestQuotasHoldWithRecordedWorkers(t *testing.T) {
	simulateQuotas(t, func(w *world) {
		withRecordedWorkers(w)
		w.quotas = newModelQuotas()
		w.announceToPrevious = true
	})
}

func TestInvariantsHoldWithRecordedWorkersThatRestart(t *testing.T) {
	simulateRestarts(t, withRecordedWorkers)
}

func TestInvariantsHoldWithRecordedWorkersThatTasksCrash(t *testing.T) {
	simulateCrashes(t, func(w *world) {
		withCrashingTasks(w)
		withRecordedWorkers(w)
	})
}

// Guards against owners that begin to record workers in a later term and then assume that a job without
// recorded workers was never started.
func TestInvariantsHoldWhenOwnersBeginToRecordWorkers(t *testing.T) {
	simulateHistories(t, func(w *world) { w.recordWorkersFrom = 2 })
}

// Guards against owners that assume too early that all workers are recorded: when the second owner that
// records workers is elected, an owner that does not record them may still send orders for jobs that the
// new one does not know.
func TestQuotasHoldWhenOwnersBeginToRecordWorkers(t *testing.T) {
	simulateQuotas(t, func(w *world) {
		w.recordWorkersFrom = 2
		w.quotas = newModelQuotas()
		w.announceToPrevious = true
	})
}

// Guards against a task that runs twice since a later owner takes an unannounced job for one that was never
// started.
func TestInvariantsHoldWithRecordedWorkersOfUnannouncedJobs(t *testing.T) {
	simulateHistories(t, func(w *world) { w.recordUnannouncedFrom = 1 })
}

func TestInvariantsHoldWhenOwnersBeginToRecordWorkersOfUnannouncedJobs(t *testing.T) {
	simulateHistories(t, func(w *world) { w.recordUnannouncedFrom = 2 })
}
