package dispatch

import "testing"

// playWithInformedOwner plays one random history in which hosts take the previous owner for the owner, so
// that it is informed of jobs. Each of the seeds below once violated a check;
// docs/incidents/random-histories.md describes how.
func playWithInformedOwner(t *testing.T, seed uint64, change func(*world)) {
	simulateSeeds(t, []uint64{seed}, informedOwner(change))
}

// Guards against adopted runs that are taken for lost because a worker lists their ends after that of an
// unknown job.
func TestAdoptedRunsAfterADeferredEndAreNotLost(t *testing.T) {
	playWithInformedOwner(t, 9000119, func(*world) {})
}

// Guards against runs that the owner has started itself and takes for lost because a worker lists their ends
// after that of an unknown job.
func TestOwnRunsAfterADeferredEndAreNotLost(t *testing.T) {
	playWithInformedOwner(t, 9000007, func(*world) {})
}

// Guards against a takeover that ends while a report has ends that have not been applied.
func TestTakeoverDoesNotEndWithDeferredEnds(t *testing.T) {
	playWithInformedOwner(t, 9000376, func(*world) {})
}

// Guards against a job that is found and then planned as if none of the runs existed that workers had
// reported of it.
func TestRunsReportedBeforeTheirJobIsFoundAreKept(t *testing.T) {
	playWithInformedOwner(t, 9000022, func(*world) {})
}

// Guards against a takeover that ends by reports from before a job was found.
func TestTakeoverDoesNotEndByReportsFromBeforeAJobWasFound(t *testing.T) {
	playWithInformedOwner(t, 9000163, func(*world) {})
}

// Guards against an end that is acknowledged before its job was looked up in the store.
func TestEndIsNotAcknowledgedBeforeItsJobWasLookedUp(t *testing.T) {
	playWithInformedOwner(t, 9000414, func(*world) {})
}

// Guards against a time limit that counts from an earlier unknown run of the worker instead of from the end
// itself.
func TestTimeLimitOfAnUnknownJobCountsFromItsOwnEnd(t *testing.T) {
	playWithInformedOwner(t, 9000051, func(*world) {})
}

// Guards against a quota that does not count the runs of an unknown job.
func TestQuotaCountsRunsOfAnUnknownJob(t *testing.T) {
	playWithInformedOwner(t, 9000171, func(w *world) { w.quotas = newModelQuotas() })
}

// Guards against a quota that counts the runs of a job that was found only after the next reports.
func TestQuotaCountsRunsOfAJobAsSoonAsItIsFound(t *testing.T) {
	playWithInformedOwner(t, 9000574, func(w *world) { w.quotas = newModelQuotas() })
}

// Guards against a quota that does not count what a previous owner may still start on workers that only it
// can reach.
func TestQuotaCountsStartsOfAPreviousOwnerOnUnreportedWorkers(t *testing.T) {
	playWithInformedOwner(t, 9020536, func(w *world) { w.quotas, w.workersRestart = newModelQuotas(), true })
}
