package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// Guards against a run that a later owner does not look for, as its owner ends before the worker is
// recorded in the store.
func TestWorkerCountsAsRecordedOnlyOnceCommitted(t *testing.T) {
	f := newFixture(t, 1, recordingFromFirstTerm)
	f.reportAll(1)
	f.add(jobWithRecordedWorkers("a"))
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.Expect(f.pool.HasUnstoredWorkers()).To(BeTrue())
	c := f.pool.PrepareCommit()
	f.Expect(c.Changes[0].Progress.Workers).To(Equal([]string{"w0"}))
	f.Expect(f.plan().Starts).To(BeEmpty(), "the write has no answer yet")
	f.pool.ApplyCommit(c)
	f.Expect(f.plan().Starts).To(HaveLen(1))
}

// Guards against a job that is offered workers on which it may not start, as they are not recorded while
// the store is slow.
func TestJobUsesOnlyRecordedWorkersWhileTheStoreIsSlow(t *testing.T) {
	f := newFixture(t, 2, recordingFromFirstTerm)
	f.reportAll(2)
	r := jobWithRecordedWorkers("a")
	f.pool.AddJob(r, job.Progress{Workers: []string{"w1"}}, true, 0, f.now)
	f.add(jobWithRecordedWorkers("b"))
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(1))
	f.Expect(starts[0].Worker).To(Equal(workerID(1)))
	f.pool.PrepareCommit()
	f.advance(recordingTimeout + 10*time.Millisecond)
	f.Expect(f.pool.isRecordingOverdue(f.now)).To(BeTrue())
	s := f.pool.jobs["b"].occurrences[0].steps[0]
	f.Expect(f.pool.isEligible(s, f.pool.workers[workerID(0)], f.now)).To(BeFalse(), "no worker of b is recorded")
}

// Guards against a takeover in which all jobs of previous terms wait for each silent worker.
func TestTakeoverUnblocksJobsByTheirRecordedWorkers(t *testing.T) {
	f := newFixture(t, 2, afterRecordingOwner)
	f.add(jobWithRecordedWorkers("never started"))
	f.pool.AddJob(jobWithRecordedWorkers("there"), job.Progress{Workers: []string{"w1"}}, true, 0, f.now)
	f.pool.AddJob(jobWithRecordedWorkers("elsewhere"), job.Progress{Workers: []string{"w0"}}, true, 0, f.now)
	f.add(testJob("before recording", testStep(1)))
	f.report(0, Report{})
	f.plan()
	blocked := map[job.ID]bool{}
	for id, j := range f.pool.jobs {
		blocked[id] = f.pool.isBlockedByTakeover(j)
	}
	f.Expect(blocked).To(Equal(map[job.ID]bool{"never started": false, "there": true, "elsewhere": false, "before recording": true}))
}

// Guards against gang members that a previous owner started and that wait for the others until they give
// up.
func TestPartialGangIsStoppedWhenItsJobIsUnblocked(t *testing.T) {
	f := newFixture(t, 3, afterRecordingOwner)
	step := testStep(2)
	step.Gang = true
	r := testJob("a", step)
	r.Term = 1
	f.pool.AddJob(r, job.Progress{Workers: []string{"w0", "w1"}}, true, 0, f.now)
	member := ActiveRun{Task: job.TaskID{StepID: job.StepID{Job: "a"}}, Run: 1}
	f.report(0, Report{Active: []ActiveRun{member}})
	f.Expect(f.plan().Stops).To(BeEmpty(), "the other member may run on w1")
	f.report(1, Report{})
	f.Expect(f.plan().Stops).To(HaveLen(1), "w2, which is silent, is not recorded")
}
