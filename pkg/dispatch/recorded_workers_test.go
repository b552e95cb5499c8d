package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// An owner that dies before the store has a name would leave a run that a later owner does not look for.
func TestNameCountsOnlyOnceItsCommitIsDone(t *testing.T) {
	f := newFixture(t, 1, namedFromFirst)
	f.reportAll(1)
	f.add(namedJob("a"))
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.Expect(f.pool.HasUnstoredWorkers()).To(BeTrue())
	c := f.pool.PrepareCommit()
	f.Expect(c.Changes[0].Progress.Workers).To(Equal([]string{"w0"}))
	f.Expect(f.plan().Starts).To(BeEmpty(), "the write has no answer yet")
	f.pool.ApplyCommit(c)
	f.Expect(f.plan().Starts).To(HaveLen(1))
}

// While the store is slow, jobs went on to be offered workers on which they could not start.
func TestJobMakesDoWithNamedWorkersWhileTheStoreIsSlow(t *testing.T) {
	f := newFixture(t, 2, namedFromFirst)
	f.reportAll(2)
	r := namedJob("a")
	f.pool.AddJob(r, job.Progress{Workers: []string{"w1"}}, true, 0, f.now)
	f.add(namedJob("b"))
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(1))
	f.Expect(starts[0].Worker).To(Equal(workerID(1)))
	f.pool.PrepareCommit()
	f.pass(recordingTimeout + 10*time.Millisecond)
	f.Expect(f.pool.isRecordingOverdue(f.now)).To(BeTrue())
	s := f.pool.jobs["b"].occurrences[0].steps[0]
	f.Expect(f.pool.isEligible(s, f.pool.workers[workerID(0)], f.now)).To(BeFalse(), "no name of b is stored")
}

// All jobs of a former term waited for each silent worker.
func TestTakeoverFreesJobsByTheirNames(t *testing.T) {
	f := newFixture(t, 2, afterOwnerThatNames)
	f.add(namedJob("never started"))
	f.pool.AddJob(namedJob("there"), job.Progress{Workers: []string{"w1"}}, true, 0, f.now)
	f.pool.AddJob(namedJob("elsewhere"), job.Progress{Workers: []string{"w0"}}, true, 0, f.now)
	f.add(testJob("before names", testStep(1)))
	f.report(0, Report{})
	f.plan()
	held := map[job.ID]bool{}
	for id, j := range f.pool.jobs {
		held[id] = f.pool.isBlockedByTakeover(j)
	}
	f.Expect(held).To(Equal(map[job.ID]bool{"never started": false, "there": true, "elsewhere": false, "before names": true}))
}

// Members of a gang that a former owner had started wait for the others until they give up.
func TestPartialGangIsStoppedWhenItsJobBecomesFree(t *testing.T) {
	f := newFixture(t, 3, afterOwnerThatNames)
	step := testStep(2)
	step.Gang = true
	r := testJob("a", step)
	r.Term = 1
	f.pool.AddJob(r, job.Progress{Workers: []string{"w0", "w1"}}, true, 0, f.now)
	member := ActiveRun{Task: job.TaskID{StepID: job.StepID{Job: "a"}}, Run: 1}
	f.report(0, Report{Active: []ActiveRun{member}})
	f.Expect(f.plan().Stops).To(BeEmpty(), "the other may run on w1")
	f.report(1, Report{})
	f.Expect(f.plan().Stops).To(HaveLen(1), "w2, which is silent, is not named")
}
