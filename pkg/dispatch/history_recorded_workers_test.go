package dispatch

import "testing"

// Owners start a job only on workers that the store has among the job's names, so that a later one frees jobs by them.

func named(w *world) {
	w.namedFrom = 1
}

// A task ran twice if a start went to a worker that the store does not name.
func TestPromisesHoldWhenOwnersNameWorkers(t *testing.T) {
	playHistories(t, named)
}

func TestPromisesHoldWhenOwnersNameWorkersBehindRelays(t *testing.T) {
	playHistories(t, func(w *world) {
		named(w)
		w.relayed = true
	})
}

// A customer had more running than its quota if a former owner could start a job that the store did not name.
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

// Owners that began to name workers in a later term must not trust that a job without names was never started.
func TestPromisesHoldWhenOwnersBeginToNameWorkers(t *testing.T) {
	playHistories(t, func(w *world) { w.namedFrom = 2 })
}

// Of owners that did not name workers, one may still give orders for jobs that are not known here when the second that does has come.
func TestQuotasHoldWhenOwnersBeginToNameWorkers(t *testing.T) {
	playQuotas(t, func(w *world) {
		w.namedFrom = 2
		w.quotas = newModelQuotas()
		w.tellsFormer = true
	})
}
