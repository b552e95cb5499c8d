package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

func testEndsOfNextIncarnation(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	f.completeOnFirst("a")
	f.advance(time.Second)
	f.beginIncarnation(secondIncarnation(0), Report{})
	f.pollAndReport(secondIncarnation(0), Report{})
	f.add(testJob("b", testStep(1)))
	s := f.planOneStart()
	f.acceptFrom(s, secondIncarnation(0))
	f.Expect(f.newPoll(secondIncarnation(0), false).AckedEnd).To(BeZero())
	f.pollAndReport(secondIncarnation(0), f.endReport(s, 1, EndDone))
	f.Expect(f.pool.jobs["b"].outcome).To(Equal(job.Completed))
	f.pool.ApplyCommit(f.pool.PrepareCommit())
	f.Expect(f.newPoll(secondIncarnation(0), false).AckedEnd).To(Equal(int64(1)))
	f.Expect(f.plan().Starts).To(BeEmpty())
}

func testClockOfNextIncarnation(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	f.add(testJob("a", testStep(4)))
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(4))
	for _, s := range starts {
		f.acceptFrom(s, firstIncarnation(0))
	}
	f.surviveStarts(firstIncarnation(0), starts...)
	f.advance(time.Second)
	f.beginIncarnation(secondIncarnation(0), Report{})
	f.pollAndReport(secondIncarnation(0), Report{})
	f.Expect(f.plan().Starts).To(HaveLen(4), "nothing of the previous incarnation runs")
	poll := f.newPoll(secondIncarnation(0), false)
	f.Expect(poll.Deadline).To(BeNumerically("~", f.workerClock-secondIncarnation(0).clockLag+5000, 50), "by the clock of the second incarnation")
}

func testGangRestarts(t *testing.T) {
	f := newIncarnationFixture(t, 2, nil)
	gang := testStep(8)
	gang.Gang = true
	f.add(testJob("a", gang))
	var first, other []StartOrder
	for _, s := range f.plan().Starts {
		f.acceptFrom(s, firstIncarnation(workerNumber(s.Worker)))
		if workerNumber(s.Worker) == 0 {
			first = append(first, s)
		} else {
			other = append(other, s)
		}
	}
	f.Expect(first).To(HaveLen(4))
	f.surviveStarts(firstIncarnation(1), other...)
	f.surviveStarts(firstIncarnation(0), first...)
	f.advance(500 * time.Millisecond)
	f.beginIncarnation(secondIncarnation(0), Report{})
	f.pollAndReport(secondIncarnation(0), Report{})
	var broken Report
	for n, s := range other {
		broken.Finished = append(broken.Finished, FinishedRun{Number: int64(n + 1), Task: s.Task, Run: s.Run, Reason: EndGangBroken})
	}
	f.pollAndReport(firstIncarnation(1), broken)
	f.Expect(f.plan().Starts).To(HaveLen(8))
}

func testServiceRestarts(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	f.add(testJob("a", serviceStep(1)))
	s := f.planOneStart()
	f.acceptFrom(s, firstIncarnation(0))
	f.surviveStarts(firstIncarnation(0), s)
	f.advance(500 * time.Millisecond)
	f.beginIncarnation(secondIncarnation(0), Report{})
	f.pollAndReport(secondIncarnation(0), Report{})
	again := f.planOneStart()
	f.Expect(again.Run).To(BeNumerically(">", s.Run))
}

// A poll may reach the next incarnation, for which the end numbers of the previous one mean nothing. So
// ends are acknowledged only to a worker that answered a moment ago: a worker that restarts cannot have
// run and ended a task since.
func testUnreadEndIsNotAcknowledged(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	f.completeOnFirst("a")
	f.Expect(f.newPoll(firstIncarnation(0), false).AckedEnd).To(Equal(int64(7)), "it has answered just now")
	f.add(testJob("b", testStep(1)))
	s := f.planOneStart()
	f.acceptFrom(s, secondIncarnation(0)) // the worker has restarted and carried out the start
	f.advance(700 * time.Millisecond)
	poll := f.newPoll(firstIncarnation(0), false)
	f.Expect(poll.AckedEnd).To(BeZero(), "the next incarnation would forget an end that no owner has read")
	f.answerPoll(poll, secondIncarnation(0), f.endReport(s, 1, EndDone))
	f.pollAndReport(secondIncarnation(0), f.endReport(s, 1, EndDone))
	f.Expect(f.pool.jobs["b"].outcome).To(Equal(job.Completed))
}

// Seed 386 of the histories behind relays: a poll for the previous incarnation was sent when the entry of
// the next one was known. It was carried out by the next one seconds later, with the end numbers of the
// previous one.
func testPollOfPossiblyEndedIncarnation(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	f.completeOnFirst("a")
	f.addEntry(secondIncarnation(0))
	f.advance(time.Millisecond)
	poll := f.newPoll(firstIncarnation(0), false)
	f.Expect(poll.AckedEnd).To(BeZero())
	f.Expect(poll.Deadline).To(BeZero())
	f.answerPoll(poll, firstIncarnation(0), Report{}) // the first incarnation is running after all
	f.advance(time.Millisecond)
	f.Expect(f.newPoll(firstIncarnation(0), false).AckedEnd).To(Equal(int64(7)))
}

// pollAfterOutdatedEntry has the entry of the previous incarnation come after that of the next one, and
// returns a poll for the previous one that acknowledges its ends again.
func pollAfterOutdatedEntry(t *testing.T) (f *fixture, late PollOrder) {
	f = newIncarnationFixture(t, 1, nil)
	f.completeOnFirst("a")
	f.addEntry(secondIncarnation(0))
	f.addEntry(firstIncarnation(0))
	f.advance(time.Millisecond)
	late = f.newPoll(firstIncarnation(0), false)
	f.Expect(late.AckedEnd).To(Equal(int64(7)), "the first incarnation is not taken for ended")
	return f, late
}

// expectHigherStartToken has the next incarnation answer and checks that a start for it has a higher
// token than a poll for the previous one.
func (f *fixture) expectHigherStartToken(late PollOrder) {
	f.beginIncarnation(secondIncarnation(0), Report{})
	f.pollAndReport(secondIncarnation(0), Report{})
	f.add(testJob("b", testStep(1)))
	f.Expect(f.planOneStart().Token).To(BeNumerically(">", late.Token), "the late poll cannot acknowledge the end of what is started here")
}

// Seed 20477 of the histories with short downtimes: the entry of the previous incarnation came after that
// of the next one, so that a poll for the previous one acknowledged its ends again. The next incarnation
// received that poll late, after a start with the same token.
func testLatePollOfPreviousIncarnation(t *testing.T) {
	f, late := pollAfterOutdatedEntry(t)
	f.expectHigherStartToken(late)
}

// Seed 10298: the same, when the previous incarnation had been terminated without a report before the
// next one answered.
func testLatePollOfTerminatedIncarnation(t *testing.T) {
	f, late := pollAfterOutdatedEntry(t)
	f.addEntry(secondIncarnation(0))
	for range 20 {
		f.advance(500 * time.Millisecond)
		f.plan()
	}
	f.Expect(f.pool.workers).NotTo(HaveKey(firstIncarnation(0).id), "it was terminated")
	f.expectHigherStartToken(late)
}
