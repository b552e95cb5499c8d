package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A takeover that takes long ends by time: what former owners have started must have lapsed by then. But the new owner extends the leases of all workers
// that answer it, also while it reads the jobs and takes in nothing of what they list, and while their lists are not whole. What runs there has not lapsed,
// and what ended there may have ended as done; still its tasks are started again if the store's confirmation comes before the worker's next lists. Found by
// a review of the takeover's end, without a play of it.

// holdsOn has the fixture's workers answer for so long that everything of former owners would have lapsed without the holds.
func (f *fixture) holdsOn(reports ...Report) {
	for elapsed := time.Duration(0); elapsed < 10*time.Second; elapsed += 500 * time.Millisecond {
		f.pass(500 * time.Millisecond)
		for n, r := range reports {
			f.report(n, r)
		}
	}
}

// The store is slow, and the list of jobs takes 10 s. The first lists after it come from one worker before the other.
func TestTakeoverIsNotOverByTimeWhileAWorkerIsHeldOn(t *testing.T) {
	f := newFixture(t, 2, afterFormerOwner)
	f.pool.jobsLoaded = false
	f.holdsOn(Report{Active: running(0)}, Report{})
	f.add(testJob("a", testStep(1)))
	f.pool.MarkJobsLoaded()
	f.report(1, Report{})
	f.Expect(f.plan().Starts).To(BeEmpty(), "w0 runs a.0 and answered half a second ago")
}

// The store can't be written to for 10 s, and a worker has as many ends as it lists at once.
func TestTakeoverIsNotOverByTimeWhileAWorkerHasMoreEnds(t *testing.T) {
	f := newFixture(t, 2, afterFormerOwner)
	f.add(testJob("a", testStep(1)))
	f.storeAway = true
	f.holdsOn(Report{Finished: []FinishedRun{endOf(1, "b", 0)}, Truncated: true}, Report{})
	f.storeAway = false
	f.Expect(f.plan().Starts).To(BeEmpty(), "the end of a.0 may be among those that w0 has not listed")
}

// A worker's first lists are not whole; what runs there is adopted from them. Then it is cut off, while its entry stands. Nothing of it is ever held
// for lost, since that is left to workers whose whole lists were seen.
func TestRunsOfAWorkerWhoseFirstListsWereNotWholeLapse(t *testing.T) {
	f := newFixture(t, 2, afterFormerOwner)
	f.add(testJob("a", testStep(1)))
	f.report(0, Report{Active: running(0), Finished: []FinishedRun{endOf(1, "b", 0)}, Truncated: true})
	f.Expect(f.startedAgain(1).Task).To(Equal(taskOf("a", 0)), "every lease on w0 has lapsed")
}
