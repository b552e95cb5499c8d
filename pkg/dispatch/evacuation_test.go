package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// assignHalls assigns the workers to the halls in turn.
func (f *fixture) assignHalls(halls ...string) {
	for n, w := range f.pool.Workers() {
		w.Zone = halls[n%len(halls)]
		f.pool.UpsertWorker(w, true, f.now)
	}
}

func TestEvacuatedHallGetsNoTasksUntilTheEvacuationEnds(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.assignHalls("a", "b")
	f.reportAll(2)
	f.pool.SetEvacuatedHalls([]string{"a", "no such hall"})
	f.add(testJob("j", testStep(8))) // needs both workers
	starts := f.plan().Starts
	f.Expect(starts).NotTo(BeEmpty())
	for _, s := range starts {
		f.Expect(workerNumber(s.Worker)).To(Equal(1))
		f.accept(s)
	}
	f.pool.SetEvacuatedHalls([]string{"b"})
	for _, s := range f.plan().Starts {
		f.Expect(workerNumber(s.Worker)).To(Equal(0))
	}
}

func TestAllHallsEvacuated(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.assignHalls("a", "b")
	f.reportAll(2)
	f.pool.SetEvacuatedHalls([]string{"a", "b"})
	f.add(testJob("j", testStep(1)))
	f.Expect(f.plan().Starts).To(BeEmpty())
	e, _ := f.pool.Explain("j", f.now)
	f.Expect(e.Steps[0].WaitReason).To(ContainSubstring("2 workers get nothing while halls are evacuated: a, b"))
	f.pool.SetEvacuatedHalls(nil)
	f.Expect(f.plan().Starts).To(HaveLen(1))
}

func TestRunsInAnEvacuatedHallContinue(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.assignHalls("a")
	f.reportAll(1)
	f.add(testJob("j", testStep(1)))
	s := f.plan().Starts[0]
	f.accept(s)
	f.pool.SetEvacuatedHalls([]string{"a"})
	f.advance(time.Second)
	f.report(0, Report{Active: []ActiveRun{{Task: s.Task, Run: s.Run, Percent: 50}}})
	f.pool.InspectRuns(f.now)
	f.Expect(f.plan().Stops).To(BeEmpty())
	f.report(0, f.endReport(s, 1, EndDone))
	state, _, _ := f.pool.JobState("j")
	f.Expect(f.pool.jobs["j"].outcome).To(Equal(job.Completed), "%s", state)
}

func TestNewWorkerInAnEvacuatedHallGetsNoTasks(t *testing.T) {
	f := newFixture(t, 0, nil)
	f.pool.SetEvacuatedHalls([]string{"a"})
	w := firstIncarnation(0)
	info := w.info()
	info.Zone = "a"
	f.pool.UpsertWorker(info, true, f.now)
	f.pool.MarkInRoster([]WorkerID{w.id})
	f.pollAndReport(w, Report{})
	f.add(testJob("j", testStep(1)))
	f.Expect(f.plan().Starts).To(BeEmpty())
}

// The start was decided before the evacuation and has not been sent yet.
func TestUnsentStartLeavesAnEvacuatedHall(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.assignHalls("a", "b")
	f.reportAll(2)
	f.add(testJob("j", testStep(1)))
	s := f.plan().Starts[0]
	f.Expect(f.pool.IsStartObsolete(s)).To(BeFalse())
	hall := []string{"a", "b"}[workerNumber(s.Worker)]
	f.pool.SetEvacuatedHalls([]string{hall})
	f.Expect(f.pool.IsStartObsolete(s)).To(BeTrue())
	f.pool.CancelUnsentStart(s, f.now)
	again := f.plan().Starts
	f.Expect(again).To(HaveLen(1))
	f.Expect(again[0].Worker).NotTo(Equal(s.Worker))
	f.Expect(again[0].Run).To(BeNumerically(">", s.Run))
}

// A gang whose members were placed in two halls, one of which is evacuated, is completed in the other or not
// at all.
func TestGangIsNotCompletedInAnEvacuatedHall(t *testing.T) {
	f := newFixture(t, 3, nil)
	f.assignHalls("a", "b", "b")
	f.reportAll(3)
	gang := testStep(2)
	gang.Gang = true
	gang.Resources.CPUMillis = 4000
	f.add(testJob("j", gang))
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(2))
	f.pool.SetEvacuatedHalls([]string{"a"})
	for _, s := range starts {
		if f.pool.IsStartObsolete(s) {
			f.pool.CancelUnsentStart(s, f.now)
		} else {
			f.accept(s)
		}
	}
	for _, s := range f.plan().Starts {
		f.Expect(workerNumber(s.Worker)).NotTo(Equal(0))
	}
}

// The evacuation begins while a start is being stored, before it is ordered.
func TestStoredStartIsNotOrderedInAnEvacuatedHall(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.assignHalls("a")
	f.reportAll(1)
	f.add(testJob("j", testStep(1)))
	task := f.pool.task(job.TaskID{StepID: job.StepID{Job: "j"}})
	task.crash.MarkUnresolved()
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.pool.SetEvacuatedHalls([]string{"a"})
	f.pool.ApplyCommit(f.pool.PrepareCommit())
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.pool.SetEvacuatedHalls(nil)
	f.advance(rejectedStartBackoff + time.Millisecond)
	f.report(0, Report{})
	f.plan()
	f.pool.ApplyCommit(f.pool.PrepareCommit())
	f.Expect(f.plan().Starts).To(HaveLen(1))
}
