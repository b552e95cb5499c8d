package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// reportFor10s has the workers answer polls for so long that all leases of previous owners would have expired
// without these polls.
func (f *fixture) reportFor10s(reports ...Report) {
	for elapsed := time.Duration(0); elapsed < 10*time.Second; elapsed += 500 * time.Millisecond {
		f.advance(500 * time.Millisecond)
		for n, r := range reports {
			f.report(n, r)
		}
	}
}

// Guards against a takeover that times out, and restarts tasks, while their runs go on. The time-out counts
// on the expiry of the leases of previous owners, but the new owner extends the leases of all workers that
// answer its polls, also while it loads the jobs and applies no reports. Here the store takes 10 s to list
// the jobs, and one worker reports after that before the other.
func TestTakeoverDoesNotTimeOutWhileLeasesAreExtended(t *testing.T) {
	f := newFixture(t, 2, afterPreviousOwner)
	f.pool.jobsLoaded = false
	f.reportFor10s(Report{Active: activeFirstRuns(0)}, Report{})
	f.add(testJob("a", testStep(1)))
	f.pool.MarkJobsLoaded()
	f.report(1, Report{})
	f.Expect(f.plan().Starts).To(BeEmpty(), "w0 runs a.0 and answered half a second ago")
}

// The takeover must not time out while a worker's reports are truncated either: the run may have ended as
// done. Here the store can't be written to for 10 s, and a worker has more ends than one report holds.
func TestTakeoverDoesNotTimeOutWhileAReportIsTruncated(t *testing.T) {
	f := newFixture(t, 2, afterPreviousOwner)
	f.add(testJob("a", testStep(1)))
	f.storeUnreachable = true
	f.reportFor10s(Report{Finished: []FinishedRun{firstRunDone(1, "b", 0)}, Truncated: true}, Report{})
	f.storeUnreachable = false
	f.Expect(f.plan().Starts).To(BeEmpty(), "the end of a.0 may be among those that w0 has not reported")
}

// Guards against runs that never expire. The first report of a worker is truncated, and its runs are adopted
// from it. Then the worker becomes unreachable, while its entry stays. Missing runs are taken for lost only
// on workers of which a whole report was received, so these runs have to end with their leases.
func TestRunsOfAWorkerWithATruncatedFirstReportExpire(t *testing.T) {
	f := newFixture(t, 2, afterPreviousOwner)
	f.add(testJob("a", testStep(1)))
	f.report(0, Report{Active: activeFirstRuns(0), Finished: []FinishedRun{firstRunDone(1, "b", 0)}, Truncated: true})
	f.Expect(f.waitForRestart(1).Task).To(Equal(taskOf("a", 0)), "every lease on w0 has expired")
}
