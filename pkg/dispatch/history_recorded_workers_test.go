package dispatch

import "testing"

// withRecordedWorkers has owners start a job only on workers that the job's record in the store names, so
// that a later owner can unblock jobs by these records.
func named(w *world) {
	w.namedFrom = 1
}

// Guards against a task that runs twice since a start went to a worker that is not recorded in the store.
func TestPromisesHoldWhenOwnersNameWorkers(t *testing.T) {
	playHistories(t, named)
}

func TestPromisesHoldWhenOwnersNameWorkersBehindRelays(t *testing.T) {
	playHistories(t, func(w *world) {
		named(w)
		w.relayed = true
	})
}

// Guards against a customer that has more running than its quota since a previous owner could start a job
// for which no worker is recorded.
func TestQuotasHoldWhenOwnersNameWorkers(t *testing.T) {
	playQuotas(t, func(w *world) {
		named(w)
		w.quotas = newModelQuotas()
		w.tellsFormer = true
	})
}

func TestPromisesHoldWhenOwnersNameWorkersThatStartAgain(t *testing.T) {
	playLives(t, named)
}

func TestPromisesHoldWhenOwnersNameWorkersAndTasksCrashThem(t *testing.T) {
	playCrashes(t, func(w *world) {
		crashingWorld(w)
		named(w)
	})
}

// Guards against owners that begin to record workers in a later term and then assume that a job without
// recorded workers was never started.
func TestPromisesHoldWhenOwnersBeginToNameWorkers(t *testing.T) {
	playHistories(t, func(w *world) { w.namedFrom = 2 })
}

// Guards against owners that assume too early that all workers are recorded: when the second owner that
// records workers is elected, an owner that does not record them may still send orders for jobs that the
// new one does not know.
func TestQuotasHoldWhenOwnersBeginToNameWorkers(t *testing.T) {
	playQuotas(t, func(w *world) {
		w.namedFrom = 2
		w.quotas = newModelQuotas()
		w.tellsFormer = true
	})
}
