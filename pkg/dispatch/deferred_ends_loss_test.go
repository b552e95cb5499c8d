package dispatch

import "testing"

// Histories in which the former owner was told of jobs that broke a promise; docs/incidents/random-histories.md tells how.

// playTold plays one history in which hosts take the former owner for the owner.
func playTold(t *testing.T, seed uint64, change func(*world)) {
	playSeeds(t, []uint64{seed}, told(change))
}

// Guards against adopted runs that are held for lost since their ends stand behind one of an unknown job.
func TestAdoptedRunsBehindAnUnknownEndAreNotLost(t *testing.T) {
	playTold(t, 9000119, func(*world) {})
}

// Guards against runs that the owner has started itself and holds for lost since their ends stand behind one of an unknown job.
func TestOwnRunsBehindAnUnknownEndAreNotLost(t *testing.T) {
	playTold(t, 9000007, func(*world) {})
}

// Guards against a takeover that is settled while a report has ends that are not read.
func TestTakeoverIsNotSettledWithEndsUnread(t *testing.T) {
	playTold(t, 9000376, func(*world) {})
}

// Guards against a job that is found and planned as if nothing that workers listed ran of it.
func TestJobIsFoundWithTheRunsThatWereListed(t *testing.T) {
	playTold(t, 9000022, func(*world) {})
}

// Guards against a takeover that is settled by reports from before a job was found.
func TestTakeoverIsNotSettledByReportsFromBeforeAJobWasFound(t *testing.T) {
	playTold(t, 9000163, func(*world) {})
}

// Guards against an end that is noted before the store was asked for its job.
func TestEndOfAJobThatWasNotLookedForIsNotNoted(t *testing.T) {
	playTold(t, 9000414, func(*world) {})
}

// Guards against a limit that counts from an earlier unknown run of the worker, not from the end itself.
func TestEndThatWasListedLatelyIsNotNoted(t *testing.T) {
	playTold(t, 9000051, func(*world) {})
}

// Guards against a quota that counts nothing of what runs of an unknown job.
func TestQuotaHoldsWhileAJobIsUnknown(t *testing.T) {
	playTold(t, 9000171, func(w *world) { w.quotas = newModelQuotas() })
}

// Guards against a quota that counts what runs of a found job only with the next reports.
func TestQuotaHoldsWhenAJobIsFound(t *testing.T) {
	playTold(t, 9000574, func(w *world) { w.quotas = newModelQuotas() })
}

// Guards against a quota that counts nothing of what a former owner may still start on workers that it alone reaches.
func TestQuotaHoldsWhileTheFormerOwnerStartsAJob(t *testing.T) {
	playTold(t, 9020536, func(w *world) { w.quotas, w.reborn = newModelQuotas(), true })
}
