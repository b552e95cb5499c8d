package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// inHalls spreads the fixture's workers over halls, by turns.
func (f *fixture) inHalls(halls ...string) {
	for n, w := range f.pool.Workers() {
		w.Zone = halls[n%len(halls)]
		f.pool.PutWorker(w, true, f.now)
	}
}

func TestEvacuatedHallGetsNothingUntilItIsTakenBack(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.inHalls("a", "b")
	f.reportAll(2)
	f.pool.SetEvacuated([]string{"a", "no such hall"})
	f.add(testJob("j", testStep(8))) // two workers hold them
	starts := f.plan().Starts
	f.Expect(starts).NotTo(BeEmpty())
	for _, s := range starts {
		f.Expect(numberOf(s.Worker)).To(Equal(1))
		f.accept(s)
	}
	f.pool.SetEvacuated([]string{"b"})
	for _, s := range f.plan().Starts {
		f.Expect(numberOf(s.Worker)).To(Equal(0))
	}
}

func TestAllHallsEvacuated(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.inHalls("a", "b")
	f.reportAll(2)
	f.pool.SetEvacuated([]string{"a", "b"})
	f.add(testJob("j", testStep(1)))
	f.Expect(f.plan().Starts).To(BeEmpty())
	e, _ := f.pool.Explain("j", f.now)
	f.Expect(e.Steps[0].Waits).To(ContainSubstring("2 workers get nothing while halls are evacuated: a, b"))
	f.pool.SetEvacuated(nil)
	f.Expect(f.plan().Starts).To(HaveLen(1))
}

func TestWhatRunsInAnEvacuatedHallGoesOn(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.inHalls("a")
	f.reportAll(1)
	f.add(testJob("j", testStep(1)))
	s := f.plan().Starts[0]
	f.accept(s)
	f.pool.SetEvacuated([]string{"a"})
	f.pass(time.Second)
	f.report(0, Report{Active: []Active{{Task: s.Task, Run: s.Run, Percent: 50}}})
	f.pool.Inspect(f.now)
	f.Expect(f.plan().Stops).To(BeEmpty())
	f.report(0, f.end(s, 1, EndDone))
	state, _, _ := f.pool.State("j")
	f.Expect(f.pool.jobs["j"].outcome).To(Equal(job.Completed), "%s", state)
}

func TestWorkerThatComesToAnEvacuatedHallGetsNothing(t *testing.T) {
	f := newFixture(t, 0, nil)
	f.pool.SetEvacuated([]string{"a"})
	w := firstLife(0)
	info := w.info()
	info.Zone = "a"
	f.pool.PutWorker(info, true, f.now)
	f.pool.Rostered([]WorkerID{w.id})
	f.reports(w, Report{})
	f.add(testJob("j", testStep(1)))
	f.Expect(f.plan().Starts).To(BeEmpty())
}

// The start was decided before the evacuation, and waits for its turn to be sent.
func TestStartThatWasNotSentBeforeTheEvacuationGoesElsewhere(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.inHalls("a", "b")
	f.reportAll(2)
	f.add(testJob("j", testStep(1)))
	s := f.plan().Starts[0]
	f.Expect(f.pool.StartIsVoid(s)).To(BeFalse())
	hall := []string{"a", "b"}[numberOf(s.Worker)]
	f.pool.SetEvacuated([]string{hall})
	f.Expect(f.pool.StartIsVoid(s)).To(BeTrue())
	f.pool.StartWithheld(s, f.now)
	again := f.plan().Starts
	f.Expect(again).To(HaveLen(1))
	f.Expect(again[0].Worker).NotTo(Equal(s.Worker))
	f.Expect(again[0].Run).To(BeNumerically(">", s.Run))
}

// A gang whose members were decided on two halls is completed in the other one, or not at all.
func TestGangIsNotCompletedInAnEvacuatedHall(t *testing.T) {
	f := newFixture(t, 3, nil)
	f.inHalls("a", "b", "b")
	f.reportAll(3)
	gang := testStep(2)
	gang.Gang = true
	gang.Resources.CPUMillis = 4000
	f.add(testJob("j", gang))
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(2))
	f.pool.SetEvacuated([]string{"a"})
	for _, s := range starts {
		if f.pool.StartIsVoid(s) {
			f.pool.StartWithheld(s, f.now)
		} else {
			f.accept(s)
		}
	}
	for _, s := range f.plan().Starts {
		f.Expect(numberOf(s.Worker)).NotTo(Equal(0))
	}
}

// What is stored before it is ordered meets the evacuation in between.
func TestStoredStartIsNotOrderedInAnEvacuatedHall(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.inHalls("a")
	f.reportAll(1)
	f.add(testJob("j", testStep(1)))
	task := f.pool.task(job.TaskID{StepID: job.StepID{Job: "j"}})
	task.crash.Doubt()
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.pool.SetEvacuated([]string{"a"})
	f.pool.Committed(f.pool.TakeCommit())
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.pool.SetEvacuated(nil)
	f.pass(rejectedPause + time.Millisecond)
	f.report(0, Report{})
	f.plan()
	f.pool.Committed(f.pool.TakeCommit())
	f.Expect(f.plan().Starts).To(HaveLen(1))
}
