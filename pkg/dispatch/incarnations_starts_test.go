package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// newFixtureWithUnansweredStart returns a start that got no answer from the first incarnation of worker
// 0. That has ended since, and another worker has room for the task.
func unanswered(t *testing.T, change func(*Config)) (*fixture, StartOrder) {
	f := newLives(t, 1, change)
	f.add(testJob("a", testStep(1)))
	s := f.onlyStart()
	f.begins(firstLife(1), Report{})
	f.noAnswer(s)
	f.pass(500 * time.Millisecond)
	return f, s
}

func unansweredStartRunsOnNextLife(t *testing.T) {
	f, s := unanswered(t, nil)
	f.lists(secondLife(0))
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.reports(secondLife(0), listed(s))
	f.reports(firstLife(1), Report{})
	actions := f.plan()
	f.Expect(actions.Starts).To(BeEmpty(), "the next incarnation has carried out the start")
	f.Expect(actions.Stops).To(BeEmpty())
	f.reports(secondLife(0), f.end(s, 1, EndDone))
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed))
}

func unansweredStartIsVoidOnNextLife(t *testing.T) {
	f, s := unanswered(t, nil)
	poll := f.hold(firstLife(0), false) // has the token of the start, which may still be on its way
	f.answers(poll, secondLife(0), Report{})
	f.reports(firstLife(1), Report{})
	f.Expect(f.plan().Starts).To(BeEmpty(), "the next incarnation has not seen a higher token")
	f.lists(secondLife(0))
	poll = f.hold(secondLife(0), false)
	f.Expect(poll.Token).To(BeNumerically(">", s.Token))
	f.answers(poll, secondLife(0), Report{})
	again := f.onlyStartAgain(secondLife(0), Report{})
	f.Expect(again.Token).To(BeNumerically(">", s.Token), "the invalidated start has no effect there any more")
	f.Expect(again.Run).To(Equal(s.Run), "an incarnation that carries out both begins one run")
}

// An answer to a start does not say which incarnation has sent it.
func answeredStartRunsOnNextLife(t *testing.T) {
	f := newLives(t, 1, nil)
	f.add(testJob("a", testStep(1)))
	s := f.onlyStart()
	f.begins(firstLife(1), Report{})
	f.acceptBy(s, secondLife(0))
	f.answers(f.hold(firstLife(0), false), secondLife(0), listed(s))
	f.lists(secondLife(0))
	f.reports(firstLife(1), Report{})
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.reports(secondLife(0), listed(s))
	f.reports(firstLife(1), Report{})
	actions := f.plan()
	f.Expect(actions.Starts).To(BeEmpty())
	f.Expect(actions.Stops).To(BeEmpty())
	f.reports(secondLife(0), f.end(s, 1, EndDone))
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed))
}

func cancelledStartOnNextLifeIsStopped(t *testing.T) {
	f, s := unanswered(t, nil)
	f.lists(secondLife(0))
	f.pool.Cancel("a")
	f.reports(secondLife(0), listed(s))
	f.reports(secondLife(0), listed(s))
	stops := f.plan().Stops
	f.Expect(stops).NotTo(BeEmpty())
	f.Expect(stops[0].Worker).To(Equal(secondLife(0).id))
}

func stopOnNextLife(t *testing.T) {
	f := newLives(t, 1, nil)
	f.add(testJob("a", testStep(1)))
	s := f.onlyStart()
	f.acceptBy(s, secondLife(0))
	f.pool.Cancel("a")
	f.Expect(f.plan().Stops).To(HaveLen(1))
	f.answers(f.hold(firstLife(0), false), secondLife(0), listed(s))
	f.lists(secondLife(0))
	f.reports(secondLife(0), listed(s))
	stops := f.plan().Stops
	f.Expect(stops).To(HaveLen(1))
	f.Expect(stops[0].Worker).To(Equal(secondLife(0).id))
}

func gangOnNextLifeGoesOn(t *testing.T) {
	f := newLives(t, 2, nil)
	gang := testStep(8)
	gang.Gang = true
	f.add(testJob("a", gang))
	startsByWorker := map[int][]StartOrder{}
	for _, s := range f.plan().Starts {
		startsByWorker[numberOf(s.Worker)] = append(startsByWorker[numberOf(s.Worker)], s)
	}
	for _, s := range startsByWorker[0] {
		f.acceptBy(s, secondLife(0))
	}
	for _, s := range startsByWorker[1] {
		f.acceptBy(s, firstLife(1))
	}
	f.reports(firstLife(1), listed(startsByWorker[1]...))
	f.lists(secondLife(0))
	f.reports(secondLife(0), listed(startsByWorker[0]...))
	f.reports(secondLife(0), listed(startsByWorker[0]...))
	actions := f.plan()
	f.Expect(actions.Stops).To(BeEmpty())
	f.Expect(actions.Starts).To(BeEmpty())
	for n, inc := range []life{secondLife(0), firstLife(1)} {
		var done Report
		for i, s := range startsByWorker[n] {
			done.Finished = append(done.Finished, FinishedRun{Number: int64(i + 1), Task: s.Task, Run: s.Run, Reason: EndDone})
		}
		f.reports(inc, done)
	}
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed))
}

// Guards against a task that is started beside a run of an earlier start that the next incarnation of its
// worker carries out.
func TestTaskWaitsForAnEarlierRunThatTheNextLifeCarriesOut(t *testing.T) {
	f, s := unanswered(t, nil)
	f.answers(f.hold(firstLife(0), true), firstLife(0), Report{})
	again := f.onlyStart()
	f.Expect(again.Worker).To(Equal(firstLife(0).id))
	f.acceptBy(again, firstLife(0))
	f.survives(firstLife(0), again)
	f.pass(500 * time.Millisecond)
	f.begins(secondLife(0), listed(s))
	f.reports(firstLife(1), Report{})
	f.reports(secondLife(0), listed(s))
	actions := f.plan()
	f.Expect(actions.Starts).To(BeEmpty(), "the first run continues")
	f.Expect(actions.Stops).To(HaveLen(1))
	f.reports(secondLife(0), f.end(s, 1, EndStopped))
	f.Expect(f.onlyStart().Run).To(BeNumerically(">", again.Run))
}
