package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// resize has a worker say that it holds another amount of processors now.
func (f *fixture) resize(n int, cpu int64) {
	info := f.pool.workers[workerID(n)].info
	info.Capacity = cell.Resources{CPUMillis: cpu, MemoryMB: 8000}
	f.pool.UpsertWorker(info, true, f.now)
}

func TestWorkerThatShrinksGetsNothingUntilItHasRoomAgain(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	f.add(testJob("a", testStep(6)))
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(4))
	for _, s := range starts {
		f.accept(s)
	}
	f.resize(0, 2000)
	f.report(0, f.endFirst(starts, 1))
	f.Expect(f.plan().Starts).To(BeEmpty(), "three run where two have room")
	f.report(0, f.endFirst(starts, 2))
	f.Expect(f.plan().Starts).To(BeEmpty(), "two run where two have room")
	f.report(0, f.endFirst(starts, 3))
	f.Expect(f.plan().Starts).To(HaveLen(1))
	f.resize(0, 4000)
	f.Expect(f.plan().Starts).To(HaveLen(1), "the last one")
}

// endFirst is a report by which the first n of the starts have ended and the others run.
func (f *fixture) endFirst(starts []StartOrder, n int) Report {
	r := f.end(starts[n-1], int64(n), EndDone)
	for _, s := range starts[n:] {
		r.Active = append(r.Active, ActiveRun{Task: s.Task, Run: s.Run, Percent: 50})
	}
	return r
}

func TestGangDoesNotCountRoomThatIsGone(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.reportAll(2)
	f.resize(0, 1000)
	gang := testStep(8)
	gang.Gang = true
	f.add(testJob("a", gang))
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.resize(0, 4000)
	f.Expect(f.plan().Starts).To(HaveLen(8))
}

// A start that has to be stored waits for the store. The worker may shrink meanwhile, crash, drain or lose its ticket, and the job may be cancelled.
func TestStoredStartIsNotOrderedWhereItNoLongerFits(t *testing.T) {
	for name, change := range map[string]func(*fixture){
		"shrunk":   func(f *fixture) { f.resize(0, 500) },
		"draining": func(f *fixture) { f.drain(0) },
		"cancelled": func(f *fixture) {
			f.pool.Cancel("a")
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1, nil)
			f.reportAll(1)
			f.pool.AddJob(testJob("a", testStep(1)), crashedOnce(), true, 0, f.now)
			f.Expect(f.plan().Starts).To(BeEmpty(), "the start is not in the store")
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

// The order of a stored start is the same as that of any other, once the store has it.
func TestStoredStartIsOrderedWhenTheStoreHasIt(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	f.pool.AddJob(testJob("a", testStep(1)), crashedOnce(), true, 0, f.now)
	f.plan()
	f.pool.ApplyCommit(f.pool.PrepareCommit())
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(1))
	f.Expect(starts[0].Run).To(Equal(2))
	f.accept(starts[0])
	f.pass(time.Second)
	f.report(0, Report{Active: []ActiveRun{{Task: starts[0].Task, Run: 2, Percent: 40}}})
	c := f.pool.PrepareCommit()
	f.Expect(c.Changes).To(HaveLen(1))
	f.Expect(c.Changes[0].Progress.Tasks).To(BeEmpty(), "the worker has survived the start")
}

// crashedOnce is the progress of a task under which a worker has crashed.
func crashedOnce() job.Progress {
	return job.Progress{Tasks: []job.TaskProgress{{Crashes: []job.Crash{{Run: 1, Worker: "gone"}}}}}
}

func (f *fixture) drain(n int) {
	info := f.pool.workers[workerID(n)].info
	info.Draining = true
	f.pool.UpsertWorker(info, true, f.now)
}

// A worker is lost while the store takes a start on it. The start was never ordered, so a later owner must not find it.
func TestStoredStartOnAWorkerThatIsLostLeavesNothingOpen(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	f.pool.AddJob(testJob("a", testStep(1)), crashedOnce(), true, 0, f.now)
	f.plan()
	c := f.pool.PrepareCommit()
	f.Expect(c.Changes[0].Progress.Tasks[0].Attempts).To(HaveLen(1))
	h, _ := f.pool.NewPoll("w0", false, true, f.now)
	f.pool.HandlePollAnswer(h, Answer{Verdict: VerdictWrongWorker}, Report{}, f.now)
	f.pool.ApplyCommit(c)
	f.Expect(f.plan().Starts).To(BeEmpty())
	after := f.pool.PrepareCommit()
	f.Expect(after.Changes).To(HaveLen(1))
	f.Expect(after.Changes[0].Progress.Tasks[0].Attempts).To(BeEmpty())
	f.Expect(after.Changes[0].Progress.Tasks[0].Crashes).To(HaveLen(1), "the one before")
}

// Two answers of a worker overtake each other. The older one tells that the worker lives, but not what it runs now.
func TestOvertakenAnswerDoesNotSettleWhatBeganOnAWorker(t *testing.T) {
	f := newFixture(t, 1, afterFormerOwner)
	progress := job.Progress{Tasks: []job.TaskProgress{{Attempts: []job.Attempt{{Run: 1, Worker: "w0"}}}}}
	f.pool.AddJob(testJob("a", testStep(1)), progress, true, 0, f.now)
	f.pool.workers["w0"].clock = f.workerClock + 10_000
	f.report(0, Report{})
	f.Expect(f.pool.jobs["a"].occurrences[0].steps[0].tasks[0].crash.Attempts()).To(HaveLen(1))
	f.workerClock += 20_000
	f.report(0, Report{})
	f.Expect(f.pool.jobs["a"].occurrences[0].steps[0].tasks[0].crash.Attempts()).To(BeEmpty())
}
