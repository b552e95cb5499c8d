package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

// unknownJob returns a job that a host has accepted for the previous owner and of which the new one does not
// know.
func unknownJob() job.Record {
	r := testJob("x", testStep(1))
	r.Term = 1
	return r
}

func taskOf(id job.ID, n int) job.TaskID {
	return job.TaskID{StepID: job.StepID{Job: id}, Index: n}
}

// firstRunDone returns the end as done of the first run of a task.
func firstRunDone(number int64, id job.ID, n int) FinishedRun {
	return FinishedRun{Number: number, Task: taskOf(id, n), Run: 1, Reason: EndDone}
}

// activeFirstRuns lists the first runs of tasks of job a as active.
func activeFirstRuns(tasks ...int) []ActiveRun {
	var rows []ActiveRun
	for _, n := range tasks {
		rows = append(rows, ActiveRun{Task: taskOf("a", n), Run: 1, Percent: 50})
	}
	return rows
}

// expectNoStartsAfterReports has worker 0 report the same twice, and plans after each report; nothing may
// start.
func (f *fixture) expectNoStartsAfterReports(r Report, reason string) {
	for range 2 {
		f.report(0, r)
		f.Expect(f.plan().Starts).To(BeEmpty(), reason)
	}
}

// commit writes to the store what the pool has to write.
func (f *fixture) commit() {
	f.pool.ApplyCommit(f.pool.PrepareCommit())
}

// ackedEnd commits, and returns the number up to which the next poll of a worker acknowledges its ends.
func (f *fixture) ackedEnd(n int) int64 {
	f.commit()
	poll, ok := f.pool.NewPoll(workerID(n), false, true, f.now)
	f.Expect(ok).To(BeTrue())
	f.pool.HandlePollFailure(workerID(n), f.now)
	return poll.AckedEnd
}

// newOwnerAfterTakeover returns an owner that has completed its takeover from another one. The first of its
// two workers runs all tasks of a job.
func newOwnerAfterTakeover(t *testing.T, r job.Record, runs []ActiveRun) *fixture {
	f := newFixture(t, 2, afterPreviousOwner)
	f.add(r)
	f.report(0, Report{Active: runs})
	f.report(1, Report{})
	f.Expect(f.plan().Starts).To(BeEmpty(), "all tasks run")
	f.Expect(f.pool.takeover.pending).To(BeFalse())
	return f
}

// Guards against tasks that run again after their ends as done. A worker listed ends of runs that a new owner
// had adopted, but before them the end of a job that a host had accepted for the previous owner after the new
// one had listed the jobs in the store. The new owner applied no end from that one on, found the runs no
// longer active, and took them for lost after two such reports, a few ms apart. It learned of the job half a
// second later.
func TestEndsAfterADeferredEndAreApplied(t *testing.T) {
	f := newOwnerAfterTakeover(t, testJob("a", testStep(2)), activeFirstRuns(0, 1))
	f.expectNoStartsAfterReports(Report{Active: activeFirstRuns(1), Finished: []FinishedRun{firstRunDone(1, "x", 0), firstRunDone(2, "a", 0)}}, "a.0 is done")
	f.expectNoStartsAfterReports(Report{Finished: []FinishedRun{firstRunDone(1, "x", 0), firstRunDone(2, "a", 0), firstRunDone(3, "a", 1)}}, "a.1 is done, too")
	state, _, _ := f.pool.JobState("a")
	f.Expect(state).To(Equal(job.Running), "the end of the job is not committed")
	f.Expect(f.ackedEnd(0)).To(BeZero(), "the first end is of a job that may become known")
	state, _, _ = f.pool.JobState("a")
	f.Expect(state).To(Equal(job.Completed))
}

func TestFirstReportWithADeferredEndAppliesLaterEnds(t *testing.T) {
	f := newFixture(t, 2, afterPreviousOwner)
	f.add(testJob("a", testStep(2)))
	f.report(1, Report{})
	f.expectNoStartsAfterReports(Report{Active: activeFirstRuns(1), Finished: []FinishedRun{firstRunDone(1, "x", 0), firstRunDone(2, "a", 0)}}, "a.0 is done")
}

func TestStartWithAnEndAfterADeferredEndIsNotInvalidated(t *testing.T) {
	f := newFixture(t, 1, afterPreviousOwner)
	f.add(testJob("a", testStep(1)))
	f.report(0, Report{})
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(1))
	s := starts[0]
	f.pool.HandleStartAnswer(s, Answer{}, errors.New("no answer"), f.now)
	poll, _ := f.pool.NewPoll(s.Worker, true, true, f.now)
	f.advance(time.Millisecond)
	deferred := Report{Finished: []FinishedRun{firstRunDone(1, "x", 0), {Number: 2, Task: s.Task, Run: s.Run, Reason: EndDone}}}
	f.pool.HandlePollAnswer(poll, Answer{Verdict: VerdictDone, Clock: f.workerClock}, deferred, f.now)
	f.Expect(f.plan().Starts).To(BeEmpty(), "the start was carried out, and its task is done")
}

// Guards against a plan that starts a task again between the moment when its job becomes known, half a second
// after a worker reported a run of it, and the worker's next report.
func TestJobThatBecomesKnownHasItsReportedRuns(t *testing.T) {
	f := newOwnerAfterTakeover(t, testJob("a", testStep(1)), activeFirstRuns(0))
	f.report(0, Report{Active: append(activeFirstRuns(0), ActiveRun{Task: taskOf("x", 0), Run: 1})})
	f.add(unknownJob())
	f.Expect(f.plan().Starts).To(BeEmpty(), "x.0 runs on w0")
}

// The same as the test above, with a run that has ended by then.
func TestJobThatBecomesKnownHasItsReportedEnds(t *testing.T) {
	f := newOwnerAfterTakeover(t, testJob("a", testStep(1)), activeFirstRuns(0))
	f.report(0, Report{Active: activeFirstRuns(0), Finished: []FinishedRun{firstRunDone(1, "x", 0)}})
	f.add(unknownJob())
	f.Expect(f.plan().Starts).To(BeEmpty(), "x.0 is done")
	f.commit()
	state, _, _ := f.pool.JobState("x")
	f.Expect(state).To(Equal(job.Completed))
}

// The store is unreachable for longer than it usually takes until the owner knows a job. Until the owner has
// looked the job up, it must not acknowledge ends of the job and must not stop its runs.
func TestEndOfAnUnknownJobIsNotAcknowledgedBeforeTheLookup(t *testing.T) {
	f := newOwnerAfterTakeover(t, testJob("a", testStep(1)), activeFirstRuns(0))
	r := Report{Active: append(activeFirstRuns(0), ActiveRun{Task: taskOf("y", 0), Run: 1}), Finished: []FinishedRun{firstRunDone(1, "x", 0)}}
	f.report(0, r)
	f.advance(5 * time.Second)
	f.report(0, r)
	f.Expect(f.plan().Stops).To(BeEmpty(), "job y may become known")
	f.Expect(f.ackedEnd(0)).To(BeZero(), "job x may become known")
	f.add(unknownJob())
	f.Expect(f.plan().Starts).To(BeEmpty(), "x.0 is done")
}

// Of a job without a record in the store, ends are acknowledged and runs stopped: its outcome was dropped
// long ago.
func TestEndsOfAnAbsentJobAreAcknowledgedAndItsRunsStopped(t *testing.T) {
	f := newOwnerAfterTakeover(t, testJob("a", testStep(1)), activeFirstRuns(0))
	r := Report{Active: append(activeFirstRuns(0), ActiveRun{Task: taskOf("y", 0), Run: 1}), Finished: []FinishedRun{firstRunDone(1, "x", 0)}}
	f.report(0, r)
	f.Expect(f.pool.UnknownJobs()).To(Equal([]job.ID{"x", "y"}))
	f.pool.MarkJobAbsent("x")
	f.pool.MarkJobAbsent("y")
	f.Expect(f.pool.UnknownJobs()).To(BeEmpty())
	f.report(0, r)
	f.Expect(f.plan().Stops).To(HaveLen(1), "the store has no record of job y")
	f.Expect(f.ackedEnd(0)).To(Equal(int64(1)), "the store has no record of job x")
}

// A worker lists at most 500 ends in a report, and later ones only after these are acknowledged.
func TestRunMissingFromATruncatedReportIsNotLost(t *testing.T) {
	f := newOwnerAfterTakeover(t, testJob("a", testStep(2)), activeFirstRuns(0, 1))
	more := Report{Finished: []FinishedRun{firstRunDone(1, "a", 0)}, Truncated: true}
	f.expectNoStartsAfterReports(more, "the end of a.1 may be among those that are to come")
}

// Guards against a takeover that ends by a truncated report: the ends that it leaves out would not be
// applied.
func TestTakeoverDoesNotEndByATruncatedFirstReport(t *testing.T) {
	f := newFixture(t, 2, afterPreviousOwner)
	f.add(testJob("a", testStep(2)))
	f.report(1, Report{})
	f.expectNoStartsAfterReports(Report{Active: activeFirstRuns(1), Finished: []FinishedRun{firstRunDone(1, "b", 0)}, Truncated: true}, "the end of a.0 may be among those that are to come")
	f.report(0, Report{Active: activeFirstRuns(1), Finished: []FinishedRun{firstRunDone(501, "a", 0)}})
	f.Expect(f.plan().Starts).To(BeEmpty(), "a.0 is done")
}

// A stop by this owner was answered after the worker had made its first report, and the answer arrived before
// the report. Although the report is outdated, its runs must count in the takeover.
func TestTakeoverCountsRunsOfAnOvertakenFirstReport(t *testing.T) {
	f := newFixture(t, 2, afterPreviousOwner)
	f.add(testJob("a", testStep(1)))
	f.report(1, Report{})
	poll, _ := f.pool.NewPoll("w0", false, true, f.now)
	f.pool.HandleStopAnswer(StopOrder{Worker: "w0"}, Answer{Verdict: VerdictDone, Clock: f.workerClock + 10}, f.now)
	f.pool.HandlePollAnswer(poll, Answer{Verdict: VerdictDone, Clock: f.workerClock}, Report{Active: activeFirstRuns(0)}, f.now)
	f.Expect(f.plan().Starts).To(BeEmpty(), "a.0 runs on w0")
}
