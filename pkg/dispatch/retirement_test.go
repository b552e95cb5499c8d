package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// retiredWorker has worker w1 of two run a task of job a and drain, and returns its entry in the roster.
func retiredWorker(t *testing.T) WorkerInfo {
	f := newFixture(t, 2, nil)
	f.reportAll(2)
	f.add(testJob("a", testStep(1)))
	f.pool.workers[workerID(0)].suspendedUntil = f.now.Add(time.Hour)
	f.accept(f.plan().Starts[0])
	f.drain(1)
	f.advance(time.Second)
	f.plan()
	infos := f.pool.RosterEntries(workerID(1).Name())
	f.Expect(infos).To(HaveLen(1))
	f.Expect(infos[0].Retired).To(BeTrue())
	f.Expect(infos[0].Jobs).To(Equal([]job.ID{"a"}))
	return infos[0]
}

// Guards against a takeover that blocks all jobs until the leases of workers expire that were retired
// before their owner ended and never report again.
func TestTakeoverBlocksOnlyJobsOfARetiredWorker(t *testing.T) {
	record := retiredWorker(t)
	f := newFixture(t, 2, afterPreviousOwner)
	f.pool.LoadRetired(record)
	f.add(testJob("a", testStep(1)))
	f.add(testJob("b", testStep(1)))
	f.report(0, Report{})
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(1))
	f.Expect(starts[0].Task.Job).To(Equal(job.ID("b")))
	f.Expect(f.pool.Status(f.now).BlockedJobs).To(Equal(1))
	f.Expect(f.pool.RosterEntries(workerID(1).Name())[0].Jobs).To(Equal([]job.ID{"a"}), "the next owner has to know the jobs, too")
	f.advance(8500 * time.Millisecond)
	f.report(0, Report{})
	starts = f.plan().Starts
	f.Expect(starts).To(HaveLen(1), "all leases of the worker have expired")
	f.Expect(starts[0].Task.Job).To(Equal(job.ID("a")))
}

// The list of jobs of a retired worker is final, so the worker must not be given another job when its
// entry changes back.
func TestRetiredWorkerGetsNoStartWhenItsEntryStopsDraining(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	f.drain(0)
	f.plan()
	f.pool.UpsertWorker(WorkerInfo{ID: workerID(0), Pool: "pool", Capacity: f.pool.workers[workerID(0)].info.Capacity}, true, f.now)
	f.add(testJob("a", testStep(1)))
	f.Expect(f.plan().Starts).To(BeEmpty())
}

// A worker that reports a run of a job that is not known yet may run more than is counted.
func TestWorkerWithUnknownRunsIsNotRetired(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.report(0, Report{Active: []ActiveRun{{Task: job.TaskID{StepID: job.StepID{Job: "x"}}, Run: 1}}})
	f.drain(0)
	f.plan()
	f.Expect(f.pool.RosterEntries(workerID(0).Name())[0].Retired).To(BeFalse())
}

// A truncated report may leave out a run of a job that becomes known later; a later owner would start
// that job beside the run.
func TestWorkerIsNotRetiredByATruncatedReport(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.report(0, Report{Active: []ActiveRun{{Task: job.TaskID{StepID: job.StepID{Job: "x"}}, Run: 1}}})
	f.report(0, Report{Truncated: true})
	f.drain(0)
	f.plan()
	f.Expect(f.pool.RosterEntries(workerID(0).Name())[0].Retired).To(BeFalse())
	f.report(0, Report{})
	f.advance(time.Second)
	f.plan()
	f.Expect(f.pool.RosterEntries(workerID(0).Name())[0].Retired).To(BeTrue())
}
