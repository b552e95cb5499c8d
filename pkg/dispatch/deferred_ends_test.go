package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

// Tasks ran again after their ends as done. A planned stop had moved the pool to a new owner, which had adopted the runs, and their worker listed their
// ends; but before these it listed the end of a job that a host had accepted for the former owner after the new one had listed the jobs of the store. The
// new owner read the ends up to that one only, found the runs behind it no longer among the active ones, and after two such reports, a few ms apart, held
// them for lost. Half a second later it knew the job, read the ends, and stopped what it had started again. One of the tasks, of which both runs were on
// one worker (s):
//
//	13.295 to 14.140 run 1: done
//	14.147 to 14.719 run 2001: stopped
//
// Every end of a report is read now; those of jobs that are not known are kept until they are (unknown_jobs.go).

// stranger is a job that a host has accepted for the former owner, and that the new one has not been told of.
func stranger() job.Record {
	r := testJob("x", testStep(1))
	r.Term = 1
	return r
}

func taskOf(id job.ID, n int) job.TaskID {
	return job.TaskID{StepID: job.StepID{Job: id}, Index: n}
}

// endOf is an end as done of the first run of a task.
func endOf(number int64, id job.ID, n int) FinishedRun {
	return FinishedRun{Number: number, Task: taskOf(id, n), Run: 1, Reason: EndDone}
}

// running lists the first runs of tasks of job a.
func running(tasks ...int) []ActiveRun {
	var rows []ActiveRun
	for _, n := range tasks {
		rows = append(rows, ActiveRun{Task: taskOf("a", n), Run: 1, Percent: 50})
	}
	return rows
}

// reportsAgain has worker 0 report the same twice, and a plan follow each; nothing may start.
func (f *fixture) reportsAgain(r Report, why string) {
	for range 2 {
		f.report(0, r)
		f.Expect(f.plan().Starts).To(BeEmpty(), why)
	}
}

// commits has the store take what the pool wants written.
func (f *fixture) commits() {
	f.pool.ApplyCommit(f.pool.PrepareCommit())
}

// noted is up to which number a worker is told that its ends are noted.
func (f *fixture) noted(n int) int64 {
	f.commits()
	h, ok := f.pool.NewPoll(workerID(n), false, true, f.now)
	f.Expect(ok).To(BeTrue())
	f.pool.HandlePollFailure(workerID(n), f.now)
	return h.AckedEnd
}

// newOwnerOf returns an owner that is done with its takeover from another one: the first of its two workers runs all tasks of a job.
func newOwnerOf(t *testing.T, r job.Record, runs []ActiveRun) *fixture {
	f := newFixture(t, 2, afterFormerOwner)
	f.add(r)
	f.report(0, Report{Active: runs})
	f.report(1, Report{})
	f.Expect(f.plan().Starts).To(BeEmpty(), "all tasks run")
	f.Expect(f.pool.takeover.pending).To(BeFalse())
	return f
}

func TestEndsBehindThatOfAnUnknownJobCount(t *testing.T) {
	f := newOwnerOf(t, testJob("a", testStep(2)), running(0, 1))
	f.reportsAgain(Report{Active: running(1), Finished: []FinishedRun{endOf(1, "x", 0), endOf(2, "a", 0)}}, "a.0 is done")
	f.reportsAgain(Report{Finished: []FinishedRun{endOf(1, "x", 0), endOf(2, "a", 0), endOf(3, "a", 1)}}, "a.1 is done, too")
	state, _, _ := f.pool.JobState("a")
	f.Expect(state).To(Equal(job.Running), "its end is not committed")
	f.Expect(f.noted(0)).To(BeZero(), "the first end is of a job that may become known")
	state, _, _ = f.pool.JobState("a")
	f.Expect(state).To(Equal(job.Completed))
}

func TestFirstReportTellsNothingOfRunsWhoseEndsAreUnread(t *testing.T) {
	f := newFixture(t, 2, afterFormerOwner)
	f.add(testJob("a", testStep(2)))
	f.report(1, Report{})
	f.reportsAgain(Report{Active: running(1), Finished: []FinishedRun{endOf(1, "x", 0), endOf(2, "a", 0)}}, "a.0 is done")
}

func TestStartWhoseEndIsUnreadIsNotVoid(t *testing.T) {
	f := newFixture(t, 1, afterFormerOwner)
	f.add(testJob("a", testStep(1)))
	f.report(0, Report{})
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(1))
	s := starts[0]
	f.pool.HandleStartAnswer(s, Answer{}, errors.New("no answer"), f.now)
	h, _ := f.pool.NewPoll(s.Worker, true, true, f.now)
	f.pass(time.Millisecond)
	unread := Report{Finished: []FinishedRun{endOf(1, "x", 0), {Number: 2, Task: s.Task, Run: s.Run, Reason: EndDone}}}
	f.pool.HandlePollAnswer(h, Answer{Verdict: VerdictDone, Clock: f.workerClock}, unread, f.now)
	f.Expect(f.plan().Starts).To(BeEmpty(), "it was carried out, and its task is done")
}

// A job becomes known half a second after a worker has listed a run of it. A plan that comes between that and the next report would start it again.
func TestJobThatBecomesKnownHasTheRunsThatWorkersListed(t *testing.T) {
	f := newOwnerOf(t, testJob("a", testStep(1)), running(0))
	f.report(0, Report{Active: append(running(0), ActiveRun{Task: taskOf("x", 0), Run: 1})})
	f.add(stranger())
	f.Expect(f.plan().Starts).To(BeEmpty(), "x.0 runs on w0")
}

// The same of a run that has ended by then.
func TestJobThatBecomesKnownHasTheEndsThatWorkersListed(t *testing.T) {
	f := newOwnerOf(t, testJob("a", testStep(1)), running(0))
	f.report(0, Report{Active: running(0), Finished: []FinishedRun{endOf(1, "x", 0)}})
	f.add(stranger())
	f.Expect(f.plan().Starts).To(BeEmpty(), "x.0 is done")
	f.commits()
	state, _, _ := f.pool.JobState("x")
	f.Expect(state).To(Equal(job.Completed))
}

// The store is away for longer than it usually takes to be told of a job. Its end must not be noted before the jobs were looked through once more, and
// what runs of it must not be stopped.
func TestEndOfAnUnknownJobWaitsUntilTheJobsWereLookedThrough(t *testing.T) {
	f := newOwnerOf(t, testJob("a", testStep(1)), running(0))
	r := Report{Active: append(running(0), ActiveRun{Task: taskOf("y", 0), Run: 1}), Finished: []FinishedRun{endOf(1, "x", 0)}}
	f.report(0, r)
	f.pass(5 * time.Second)
	f.report(0, r)
	f.Expect(f.plan().Stops).To(BeEmpty(), "job y may become known")
	f.Expect(f.noted(0)).To(BeZero(), "job x may become known")
	f.add(stranger())
	f.Expect(f.plan().Starts).To(BeEmpty(), "x.0 is done")
}

// An end of a job of which the store has no record is noted, and what runs of one is stopped: its outcome was dropped long ago.
func TestWhatIsListedOfAForgottenJobIsNotedAndStopped(t *testing.T) {
	f := newOwnerOf(t, testJob("a", testStep(1)), running(0))
	r := Report{Active: append(running(0), ActiveRun{Task: taskOf("y", 0), Run: 1}), Finished: []FinishedRun{endOf(1, "x", 0)}}
	f.report(0, r)
	f.Expect(f.pool.UnknownJobs()).To(Equal([]job.ID{"x", "y"}))
	f.pool.MarkJobAbsent("x")
	f.pool.MarkJobAbsent("y")
	f.Expect(f.pool.UnknownJobs()).To(BeEmpty())
	f.report(0, r)
	f.Expect(f.plan().Stops).To(HaveLen(1), "nobody knows job y")
	f.Expect(f.noted(0)).To(Equal(int64(1)), "nobody knows job x")
}

// A worker lists 500 ends at once; what stands behind them is listed when these are noted.
func TestRunWhoseEndIsNotListedYetIsNotLost(t *testing.T) {
	f := newOwnerOf(t, testJob("a", testStep(2)), running(0, 1))
	more := Report{Finished: []FinishedRun{endOf(1, "a", 0)}, Truncated: true}
	f.reportsAgain(more, "the end of a.1 may be among those that are to come")
}

// A takeover does not settle on it, either.
func TestFirstReportWithoutAllEndsTellsNothing(t *testing.T) {
	f := newFixture(t, 2, afterFormerOwner)
	f.add(testJob("a", testStep(2)))
	f.report(1, Report{})
	f.reportsAgain(Report{Active: running(1), Finished: []FinishedRun{endOf(1, "b", 0)}, Truncated: true}, "the end of a.0 may be among those that are to come")
	f.report(0, Report{Active: running(1), Finished: []FinishedRun{endOf(501, "a", 0)}})
	f.Expect(f.plan().Starts).To(BeEmpty(), "a.0 is done")
}

// A start of this owner was answered after the worker's lists were made, and that answer came first. The lists are old, but the first ones all the same.
func TestFirstReportThatWasOvertakenTellsNothing(t *testing.T) {
	f := newFixture(t, 2, afterFormerOwner)
	f.add(testJob("a", testStep(1)))
	f.report(1, Report{})
	h, _ := f.pool.NewPoll("w0", false, true, f.now)
	f.pool.HandleStopAnswer(StopOrder{Worker: "w0"}, Answer{Verdict: VerdictDone, Clock: f.workerClock + 10}, f.now)
	f.pool.HandlePollAnswer(h, Answer{Verdict: VerdictDone, Clock: f.workerClock}, Report{Active: running(0)}, f.now)
	f.Expect(f.plan().Starts).To(BeEmpty(), "a.0 runs on w0")
}
