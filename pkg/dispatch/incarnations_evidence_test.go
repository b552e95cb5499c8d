package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// While the store is unreachable, the next incarnation is known by its reports only. It may have less
// capacity than the previous one.
func testReportBeforeEntry(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	f.add(testJob("a", testStep(1)))
	s := f.planOneStart()
	f.acceptFrom(s, firstIncarnation(0))
	f.surviveStarts(firstIncarnation(0), s)
	f.advance(500 * time.Millisecond)
	f.answerPoll(f.newPoll(firstIncarnation(0), false), secondIncarnation(0), Report{})
	newWorkers := f.plan().NewWorkers
	f.Expect(newWorkers).To(HaveLen(1), "it is polled from now on")
	f.Expect(newWorkers[0].ID).To(Equal(secondIncarnation(0).id))
	f.pollAndReport(secondIncarnation(0), Report{})
	f.pollAndReport(secondIncarnation(0), Report{})
	f.Expect(f.plan().Starts).To(BeEmpty(), "its capacity is not known yet")
	f.addEntry(secondIncarnation(0))
	f.Expect(f.plan().Starts).To(HaveLen(1))
}

func testEntryBeforeReport(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	f.add(testJob("a", testStep(2)))
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(2))
	f.acceptFrom(starts[0], firstIncarnation(0))
	f.acceptFrom(starts[1], firstIncarnation(0))
	f.surviveStarts(firstIncarnation(0), starts...)
	f.addEntry(secondIncarnation(0))
	f.add(testJob("b", testStep(1)))
	f.Expect(f.plan().Starts).To(BeEmpty(), "the previous incarnation may have ended, and the next one has not answered")
	f.pollAndReport(secondIncarnation(0), Report{})
	f.pollAndReport(secondIncarnation(0), Report{})
	f.Expect(f.plan().Starts).To(HaveLen(3))
}

func testLateAnswersOfPreviousIncarnation(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	f.add(testJob("a", testStep(1)))
	s := f.planOneStart()
	f.acceptFrom(s, firstIncarnation(0))
	f.surviveStarts(firstIncarnation(0), s)
	late := f.newPoll(firstIncarnation(0), false)
	f.advance(500 * time.Millisecond)
	f.beginIncarnation(secondIncarnation(0), Report{})
	f.pollAndReport(secondIncarnation(0), Report{})
	f.answerPoll(late, firstIncarnation(0), f.endReport(s, 9, EndLeaseExpired))
	again := f.planOneStart()
	f.acceptFrom(again, secondIncarnation(0))
	f.answerPoll(late, firstIncarnation(0), activeReport(s))
	f.pollAndReport(secondIncarnation(0), f.endReport(again, 1, EndDone))
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed))
}

// The store may deliver an entry of the previous incarnation after the next one has answered.
func testLateEntriesOfPreviousIncarnation(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	f.advance(500 * time.Millisecond)
	f.answerPoll(f.newPoll(firstIncarnation(0), false), secondIncarnation(0), Report{})
	f.addEntry(firstIncarnation(0))
	f.pollAndReport(secondIncarnation(0), Report{})
	f.pollAndReport(secondIncarnation(0), Report{})
	f.add(testJob("a", testStep(1)))
	f.Expect(f.plan().Starts).To(BeEmpty(), "its capacity is not known yet")
	f.addEntry(secondIncarnation(0))
	f.pollAndReport(secondIncarnation(0), Report{})
	s := f.planOneStart()
	f.acceptFrom(s, secondIncarnation(0))
	f.pollAndReport(secondIncarnation(0), f.endReport(s, 1, EndDone))
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed))
}

// The second incarnation ends before it has answered any poll; its entry is read after the third one has
// answered.
func testSeveralIncarnationsWithinAHeartbeat(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	f.add(testJob("a", testStep(1)))
	s := f.planOneStart()
	f.acceptFrom(s, firstIncarnation(0))
	f.surviveStarts(firstIncarnation(0), s)
	f.advance(time.Second)
	f.answerPoll(f.newPoll(firstIncarnation(0), false), thirdIncarnation(0), Report{})
	f.addEntry(secondIncarnation(0))
	f.answerPoll(f.newPoll(secondIncarnation(0), false), thirdIncarnation(0), Report{})
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.addEntry(thirdIncarnation(0))
	f.pollAndReport(thirdIncarnation(0), Report{})
	f.pollAndReport(thirdIncarnation(0), Report{})
	again := f.planOneStart()
	f.acceptFrom(again, thirdIncarnation(0))
	f.addEntry(secondIncarnation(0))
	f.advance(time.Millisecond)
	f.Expect(f.newPoll(thirdIncarnation(0), false).Deadline).NotTo(BeZero(), "it is not taken for ended")
	f.Expect(f.pool.Workers()).To(HaveLen(1), "the second incarnation does not come back")
	f.addEntry(thirdIncarnation(0))
	f.pollAndReport(thirdIncarnation(0), f.endReport(again, 1, EndDone))
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed))
}

// A poll was sent while the first incarnation was running, answered by the second one, and the answer was
// delayed until the entry of the third had been read. The third one is running.
func testReportDelayedPastNextEntry(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	f.add(testJob("a", testStep(1)))
	s := f.planOneStart()
	f.failStart(s)
	early := f.newPoll(firstIncarnation(0), false)
	f.advance(700 * time.Millisecond)
	f.addEntry(thirdIncarnation(0))
	f.answerPoll(early, secondIncarnation(0), Report{})
	f.pollAndReport(thirdIncarnation(0), Report{})
	f.pollAndReport(thirdIncarnation(0), Report{})
	again := f.oneStartWithinOneSecond(thirdIncarnation(0), Report{})
	f.acceptFrom(again, thirdIncarnation(0))
	f.pollAndReport(thirdIncarnation(0), f.endReport(again, 1, EndDone))
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed))
	f.Expect(f.pool.Workers()).To(HaveLen(1))
}

// A poll was sent while the first incarnation was running, answered by the second one, and the answer was
// delayed until the third had begun.
func testLateReportOfEndedIncarnation(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	early := f.newPoll(firstIncarnation(0), false)
	f.advance(700 * time.Millisecond)
	f.beginIncarnation(thirdIncarnation(0), Report{})
	f.pollAndReport(thirdIncarnation(0), Report{})
	f.add(testJob("a", testStep(1)))
	s := f.planOneStart()
	f.acceptFrom(s, thirdIncarnation(0))
	f.answerPoll(early, secondIncarnation(0), Report{})
	f.pollAndReport(thirdIncarnation(0), activeReport(s))
	f.pollAndReport(thirdIncarnation(0), activeReport(s))
	f.Expect(f.plan().Starts).To(BeEmpty(), "the run continues")
	f.pollAndReport(thirdIncarnation(0), f.endReport(s, 1, EndDone))
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed))
}
