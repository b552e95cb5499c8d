package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// setCPU changes the processor capacity in a worker's entry, in thousandths of a core.
func (f *fixture) setCPU(n int, cpu int64) {
	info := f.pool.workers[workerID(n)].info
	info.Capacity = cell.Resources{CPUMillis: cpu, MemoryMB: 8000}
	f.pool.UpsertWorker(info, true, f.now)
}

func TestShrunkWorkerGetsNoTasksUntilItHasRoom(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	f.add(testJob("a", testStep(6)))
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(4))
	for _, s := range starts {
		f.accept(s)
	}
	f.setCPU(0, 2000)
	f.report(0, f.reportFirstDone(starts, 1))
	f.Expect(f.plan().Starts).To(BeEmpty(), "three run where two fit")
	f.report(0, f.reportFirstDone(starts, 2))
	f.Expect(f.plan().Starts).To(BeEmpty(), "two run where two fit")
	f.report(0, f.reportFirstDone(starts, 3))
	f.Expect(f.plan().Starts).To(HaveLen(1))
	f.setCPU(0, 4000)
	f.Expect(f.plan().Starts).To(HaveLen(1), "the last one")
}

// reportFirstDone returns a report in which run n of the starts has ended as done and those after it are
// active.
func (f *fixture) reportFirstDone(starts []StartOrder, n int) Report {
	r := f.endReport(starts[n-1], int64(n), EndDone)
	for _, s := range starts[n:] {
		r.Active = append(r.Active, ActiveRun{Task: s.Task, Run: s.Run, Percent: 50})
	}
	return r
}

func TestGangDoesNotCountLostRoomOfAShrunkWorker(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.reportAll(2)
	f.setCPU(0, 1000)
	gang := testStep(8)
	gang.Gang = true
	f.add(testJob("a", gang))
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.setCPU(0, 4000)
	f.Expect(f.plan().Starts).To(HaveLen(8))
}

// A start that has to be stored first is ordered after its commit. Meanwhile the worker may shrink, crash,
// drain or lose its ticket, and the job may be cancelled.
func TestStoredStartIsNotOrderedWhenNoLongerAllowed(t *testing.T) {
	for name, change := range map[string]func(*fixture){
		"shrunk":   func(f *fixture) { f.setCPU(0, 500) },
		"draining": func(f *fixture) { f.drain(0) },
		"cancelled": func(f *fixture) {
			f.pool.Cancel("a")
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1, nil)
			f.reportAll(1)
			f.pool.AddJob(testJob("a", testStep(1)), progressWithOneCrash(), true, 0, f.now)
			f.Expect(f.plan().Starts).To(BeEmpty(), "the start is not committed")
			c := f.pool.PrepareCommit()
			f.Expect(c.HasStarts()).To(BeTrue())
			f.Expect(c.Changes[0].Progress.Tasks[0].Attempts).To(HaveLen(1))
			change(f)
			f.pool.ApplyCommit(c)
			f.Expect(f.plan().Starts).To(BeEmpty())
			f.Expect(f.pool.workers["w0"].runs).To(BeEmpty())
		})
	}
}

// After its commit, a stored start is ordered like any other.
func TestStoredStartIsOrderedAfterItsCommit(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	f.pool.AddJob(testJob("a", testStep(1)), progressWithOneCrash(), true, 0, f.now)
	f.plan()
	f.pool.ApplyCommit(f.pool.PrepareCommit())
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(1))
	f.Expect(starts[0].Run).To(Equal(2))
	f.accept(starts[0])
	f.advance(time.Second)
	f.report(0, Report{Active: []ActiveRun{{Task: starts[0].Task, Run: 2, Percent: 40}}})
	c := f.pool.PrepareCommit()
	f.Expect(c.Changes).To(HaveLen(1))
	f.Expect(c.Changes[0].Progress.Tasks).To(BeEmpty(), "the worker has survived the start")
}

// progressWithOneCrash returns the progress of a job whose task has crashed a worker.
func progressWithOneCrash() job.Progress {
	return job.Progress{Tasks: []job.TaskProgress{{Crashes: []job.Crash{{Run: 1, Worker: "gone"}}}}}
}

func (f *fixture) drain(n int) {
	info := f.pool.workers[workerID(n)].info
	info.Draining = true
	f.pool.UpsertWorker(info, true, f.now)
}

// Guards against an attempt that stays in the store although its start was never ordered: the worker was lost
// during the commit. A later owner must not find the attempt.
func TestStoredStartOnALostWorkerLeavesNoAttempt(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	f.pool.AddJob(testJob("a", testStep(1)), progressWithOneCrash(), true, 0, f.now)
	f.plan()
	c := f.pool.PrepareCommit()
	f.Expect(c.Changes[0].Progress.Tasks[0].Attempts).To(HaveLen(1))
	poll, _ := f.pool.NewPoll("w0", false, true, f.now)
	f.pool.HandlePollAnswer(poll, Answer{Verdict: VerdictWrongWorker}, Report{}, f.now)
	f.pool.ApplyCommit(c)
	f.Expect(f.plan().Starts).To(BeEmpty())
	next := f.pool.PrepareCommit()
	f.Expect(next.Changes).To(HaveLen(1))
	f.Expect(next.Changes[0].Progress.Tasks[0].Attempts).To(BeEmpty())
	f.Expect(next.Changes[0].Progress.Tasks[0].Crashes).To(HaveLen(1), "the earlier crash")
}

// An answer of a worker is overtaken by a newer one. It shows that the worker is responsive, but not what it
// runs now.
func TestOvertakenReportDoesNotResolveAttempts(t *testing.T) {
	f := newFixture(t, 1, afterPreviousOwner)
	progress := job.Progress{Tasks: []job.TaskProgress{{Attempts: []job.Attempt{{Run: 1, Worker: "w0"}}}}}
	f.pool.AddJob(testJob("a", testStep(1)), progress, true, 0, f.now)
	f.pool.workers["w0"].clock = f.workerClock + 10_000
	f.report(0, Report{})
	f.Expect(f.pool.jobs["a"].occurrences[0].steps[0].tasks[0].crash.Attempts()).To(HaveLen(1))
	f.workerClock += 20_000
	f.report(0, Report{})
	f.Expect(f.pool.jobs["a"].occurrences[0].steps[0].tasks[0].crash.Attempts()).To(BeEmpty())
}
