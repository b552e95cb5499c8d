package dispatch

import (
	"errors"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// speculativeRun has a task that may run twice run on one of two workers, and the worker fall silent.
func speculativeRun(t *testing.T, change func(*job.Step)) (f *fixture, first Start, other int) {
	f = newFixture(t, 2, nil)
	f.reportAll(2)
	s := testStep(1)
	s.Speculative, s.Estimate = true, 4*time.Second
	if change != nil {
		change(&s)
	}
	f.add(testJob("a", s))
	first = f.runAll()[0]
	other = 1 - numberOf(first.Worker)
	for range 6 {
		f.pass(200 * time.Millisecond)
		f.report(other, Report{})
	}
	return f, first, other
}

func TestTaskOnASilentWorkerGetsACopyWhereThatIsAllowed(t *testing.T) {
	f, first, other := speculativeRun(t, nil)
	copies := f.runAll()
	f.Expect(copies).To(HaveLen(1))
	f.Expect(numberOf(copies[0].Worker)).To(Equal(other))
	f.report(numberOf(first.Worker), f.end(first, 1, EndDone))
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed), "whichever is done first counts")
	f.Expect(f.plan().Stops).To(HaveLen(1), "the other one is stopped")
}

func TestFirstRunIsStoppedWhenItsCopyIsDone(t *testing.T) {
	f, first, other := speculativeRun(t, nil)
	second := f.runAll()[0]
	f.report(other, f.end(second, 1, EndDone))
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed))
	stops := f.plan().Stops
	f.Expect(stops).To(HaveLen(1))
	f.Expect(stops[0].Worker).To(Equal(first.Worker))
}

func TestNoCopyIsStartedWhereItIsNotAllowed(t *testing.T) {
	f, _, _ := speculativeRun(t, func(s *job.Step) { s.Speculative = false })
	f.Expect(f.plan().Starts).To(BeEmpty())
}

func TestRunIsTrustedAgainWhenItsWorkerIsHeardBeforeACopyStarts(t *testing.T) {
	f, first, other := speculativeRun(t, nil)
	f.pool.workers[workerID(other)].closed = true // no room for a copy
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.report(numberOf(first.Worker), Report{Active: []Active{{Task: first.Task, Run: first.Run, Percent: 50}}})
	f.pool.workers[workerID(other)].closed = false
	f.Expect(f.plan().Starts).To(BeEmpty())
}

// Seen when a hall was cut off: its workers were given tasks for up to 1.7 s after the last answer, and
// each of these waited for the lapse of its lease.
func TestWorkerThatLeftAnOrderUnansweredGetsNoOtherBeforeItIsHeard(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	f.add(testJob("a", testStep(1)))
	first := f.plan().Starts[0]
	f.pool.StartAnswered(first, Answer{}, errors.New("no answer"), f.now)
	f.add(testJob("b", testStep(1)))
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.report(0, Report{})
	f.Expect(f.plan().Starts).NotTo(BeEmpty())
}
