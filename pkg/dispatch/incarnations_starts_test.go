package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// newFixtureWithUnansweredStart returns a start that got no answer from the first incarnation of worker
// 0. That has ended since, and another worker has room for the task.
func newFixtureWithUnansweredStart(t *testing.T, change func(*Config)) (*fixture, StartOrder) {
	f := newIncarnationFixture(t, 1, change)
	f.add(testJob("a", testStep(1)))
	s := f.planOneStart()
	f.beginIncarnation(firstIncarnation(1), Report{})
	f.failStart(s)
	f.advance(500 * time.Millisecond)
	return f, s
}

func testUnansweredStartRunsOnNextIncarnation(t *testing.T) {
	f, s := newFixtureWithUnansweredStart(t, nil)
	f.addEntry(secondIncarnation(0))
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.pollAndReport(secondIncarnation(0), activeReport(s))
	f.pollAndReport(firstIncarnation(1), Report{})
	actions := f.plan()
	f.Expect(actions.Starts).To(BeEmpty(), "the next incarnation has carried out the start")
	f.Expect(actions.Stops).To(BeEmpty())
	f.pollAndReport(secondIncarnation(0), f.endReport(s, 1, EndDone))
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed))
}

func testUnansweredStartIsInvalidated(t *testing.T) {
	f, s := newFixtureWithUnansweredStart(t, nil)
	poll := f.newPoll(firstIncarnation(0), false) // has the token of the start, which may still be on its way
	f.answerPoll(poll, secondIncarnation(0), Report{})
	f.pollAndReport(firstIncarnation(1), Report{})
	f.Expect(f.plan().Starts).To(BeEmpty(), "the next incarnation has not seen a higher token")
	f.addEntry(secondIncarnation(0))
	poll = f.newPoll(secondIncarnation(0), false)
	f.Expect(poll.Token).To(BeNumerically(">", s.Token))
	f.answerPoll(poll, secondIncarnation(0), Report{})
	again := f.oneStartWithinOneSecond(secondIncarnation(0), Report{})
	f.Expect(again.Token).To(BeNumerically(">", s.Token), "the invalidated start has no effect there any more")
	f.Expect(again.Run).To(Equal(s.Run), "an incarnation that carries out both begins one run")
}

// An answer to a start does not say which incarnation has sent it.
func testAnsweredStartRunsOnNextIncarnation(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	f.add(testJob("a", testStep(1)))
	s := f.planOneStart()
	f.beginIncarnation(firstIncarnation(1), Report{})
	f.acceptFrom(s, secondIncarnation(0))
	f.answerPoll(f.newPoll(firstIncarnation(0), false), secondIncarnation(0), activeReport(s))
	f.addEntry(secondIncarnation(0))
	f.pollAndReport(firstIncarnation(1), Report{})
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.pollAndReport(secondIncarnation(0), activeReport(s))
	f.pollAndReport(firstIncarnation(1), Report{})
	actions := f.plan()
	f.Expect(actions.Starts).To(BeEmpty())
	f.Expect(actions.Stops).To(BeEmpty())
	f.pollAndReport(secondIncarnation(0), f.endReport(s, 1, EndDone))
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed))
}

func testCancelledStartIsStopped(t *testing.T) {
	f, s := newFixtureWithUnansweredStart(t, nil)
	f.addEntry(secondIncarnation(0))
	f.pool.Cancel("a")
	f.pollAndReport(secondIncarnation(0), activeReport(s))
	f.pollAndReport(secondIncarnation(0), activeReport(s))
	stops := f.plan().Stops
	f.Expect(stops).NotTo(BeEmpty())
	f.Expect(stops[0].Worker).To(Equal(secondIncarnation(0).id))
}

func testStopIsRepeatedOnNextIncarnation(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	f.add(testJob("a", testStep(1)))
	s := f.planOneStart()
	f.acceptFrom(s, secondIncarnation(0))
	f.pool.Cancel("a")
	f.Expect(f.plan().Stops).To(HaveLen(1))
	f.answerPoll(f.newPoll(firstIncarnation(0), false), secondIncarnation(0), activeReport(s))
	f.addEntry(secondIncarnation(0))
	f.pollAndReport(secondIncarnation(0), activeReport(s))
	stops := f.plan().Stops
	f.Expect(stops).To(HaveLen(1))
	f.Expect(stops[0].Worker).To(Equal(secondIncarnation(0).id))
}

func testGangContinuesOnNextIncarnation(t *testing.T) {
	f := newIncarnationFixture(t, 2, nil)
	gang := testStep(8)
	gang.Gang = true
	f.add(testJob("a", gang))
	startsByWorker := map[int][]StartOrder{}
	for _, s := range f.plan().Starts {
		startsByWorker[workerNumber(s.Worker)] = append(startsByWorker[workerNumber(s.Worker)], s)
	}
	for _, s := range startsByWorker[0] {
		f.acceptFrom(s, secondIncarnation(0))
	}
	for _, s := range startsByWorker[1] {
		f.acceptFrom(s, firstIncarnation(1))
	}
	f.pollAndReport(firstIncarnation(1), activeReport(startsByWorker[1]...))
	f.addEntry(secondIncarnation(0))
	f.pollAndReport(secondIncarnation(0), activeReport(startsByWorker[0]...))
	f.pollAndReport(secondIncarnation(0), activeReport(startsByWorker[0]...))
	actions := f.plan()
	f.Expect(actions.Stops).To(BeEmpty())
	f.Expect(actions.Starts).To(BeEmpty())
	for n, inc := range []testIncarnation{secondIncarnation(0), firstIncarnation(1)} {
		var done Report
		for i, s := range startsByWorker[n] {
			done.Finished = append(done.Finished, FinishedRun{Number: int64(i + 1), Task: s.Task, Run: s.Run, Reason: EndDone})
		}
		f.pollAndReport(inc, done)
	}
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed))
}

// Guards against a task that is started beside a run of an earlier start that the next incarnation of its
// worker carries out.
func TestTaskWaitsForAnEarlierRunOnTheNextIncarnation(t *testing.T) {
	f, s := newFixtureWithUnansweredStart(t, nil)
	f.answerPoll(f.newPoll(firstIncarnation(0), true), firstIncarnation(0), Report{})
	again := f.planOneStart()
	f.Expect(again.Worker).To(Equal(firstIncarnation(0).id))
	f.acceptFrom(again, firstIncarnation(0))
	f.surviveStarts(firstIncarnation(0), again)
	f.advance(500 * time.Millisecond)
	f.beginIncarnation(secondIncarnation(0), activeReport(s))
	f.pollAndReport(firstIncarnation(1), Report{})
	f.pollAndReport(secondIncarnation(0), activeReport(s))
	actions := f.plan()
	f.Expect(actions.Starts).To(BeEmpty(), "the first run continues")
	f.Expect(actions.Stops).To(HaveLen(1))
	f.pollAndReport(secondIncarnation(0), f.endReport(s, 1, EndStopped))
	f.Expect(f.planOneStart().Run).To(BeNumerically(">", again.Run))
}
