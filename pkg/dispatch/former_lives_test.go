package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// longWorkerLease is the longest lease of a worker in these tests; owners give leases of 3 s.
const longWorkerLease = 10 * time.Second

func withShortLeasesOnLongOnes(c *Config) {
	withShortLeases(c)
	c.WorkerMaxLease = longWorkerLease
}

// expectNoStartElsewhere checks that nothing is started on worker 1 while all others are silent.
func (f *fixture) expectNoStartElsewhere(d time.Duration, reason string) {
	for end := f.now.Add(d); f.now < end; {
		f.advance(500 * time.Millisecond)
		f.pollAndReport(firstIncarnation(1), Report{})
		f.Expect(f.plan().Starts).To(BeEmpty(), "%s; %s before its end", reason, end.Sub(f.now))
		f.pool.ApplyCommit(f.pool.PrepareCommit())
	}
}

// expectRunOutlastsLongLease starts a task on an incarnation that goes silent then, and checks that it is not started
// elsewhere while that one may have its longest lease.
func (f *fixture) expectRunOutlastsLongLease(inc testIncarnation) {
	f.pollAndReport(inc, Report{})
	f.add(testJob("a", testStep(1)))
	f.acceptFrom(f.planOneStart(), inc)
	f.beginIncarnation(firstIncarnation(1), Report{})
	f.expectNoStartElsewhere(longWorkerLease-500*time.Millisecond, "the run may have a lease of 10 s")
}

// Guards against two runs after a new owner has started a task on a worker that ran nothing: a call of the former
// owner, with a deadline by the clock of the previous incarnation, may have given the worker its longest lease,
// which covers what starts later.
func TestFormerDeadlineCoversStartsAfterAnEmptyReport(t *testing.T) {
	f := newFixture(t, 0, func(c *Config) {
		afterPreviousOwner(c)
		withShortLeasesOnLongOnes(c)
	})
	f.beginIncarnation(secondIncarnation(0), Report{})
	f.expectRunOutlastsLongLease(secondIncarnation(0))
}

// Guards against the same under one owner: a poll for the previous incarnation arrives seconds after the next one
// has become known, and before that one has received a higher token.
func TestLatePollOfPreviousIncarnationCoversLaterStarts(t *testing.T) {
	f := newIncarnationFixture(t, 1, withShortLeasesOnLongOnes)
	f.advance(500 * time.Millisecond)
	f.answerPoll(f.newPoll(firstIncarnation(0), false), secondIncarnation(0), Report{})
	f.addEntry(secondIncarnation(0))
	for range 6 {
		f.advance(500 * time.Millisecond)
		f.newPoll(secondIncarnation(0), false)
		f.pool.HandlePollFailure(secondIncarnation(0).id, f.now)
	}
	f.beginIncarnation(secondIncarnation(0), Report{}) // right after the late poll
	f.expectRunOutlastsLongLease(secondIncarnation(0))
}

// Guards against a task that starts again after its end was acknowledged unread: the next incarnation carries out
// a start and then a poll that were both meant for the previous one, which had answered just before.
func TestLatePollDoesNotAcknowledgeTheEndOfALateStart(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	f.completeOnFirst("a")
	f.add(testJob("b", testStep(1)))
	s := f.planOneStart()
	f.advance(100 * time.Millisecond)
	late := f.newPoll(firstIncarnation(0), false)
	f.failStart(s)
	f.advance(600 * time.Millisecond)
	reported := f.endReport(s, 1, EndDone)
	if late.Token >= s.Token && late.AckedEnd >= 1 {
		reported = Report{}
	}
	f.beginIncarnation(secondIncarnation(0), reported)
	f.Expect(f.startsWithinOneSecond(secondIncarnation(0), reported)).To(BeEmpty(), "the task is done")
}

// Guards against runs that are taken for ended by the clock of another incarnation, which has answered a stop.
func TestClockInTheAnswerToAStopEndsNoLease(t *testing.T) {
	f := newIncarnationFixture(t, 1, withShortLeasesOnLongOnes)
	f.add(testJob("a", testStep(1)))
	running := f.planOneStart()
	f.acceptFrom(running, firstIncarnation(0))
	f.surviveStarts(firstIncarnation(0), running)
	f.add(testJob("b", testStep(1)))
	s := f.planOneStart()
	f.beginIncarnation(firstIncarnation(1), Report{})
	f.failStart(s)
	f.pool.Cancel("a")
	stops := f.plan().Stops
	f.Expect(stops).To(HaveLen(1))
	f.pool.HandleStopAnswer(stops[0], Answer{Verdict: VerdictOldRun, Clock: f.workerClock + time.Hour.Milliseconds()}, f.now)
	f.expectNoStartElsewhere(maxOrderDelay+longWorkerLease-time.Second, "the next incarnation may carry out the start for 12 s, and then run it for 10 s")
}

// Guards against a filler that goes on at full speed on the next incarnation, which has carried out its first start
// late, while its owner takes it for paused.
func TestFillerStartedLateIsPacedAgain(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	f.add(testJob("a", serviceStep(1)))
	server := f.planOneStart()
	f.acceptFrom(server, firstIncarnation(0))
	f.surviveStarts(firstIncarnation(0), server)
	f.add(testJob("b", fillerStep(1)))
	filler := f.planOneStart()
	f.failStart(filler)
	f.answerPoll(f.newPoll(firstIncarnation(0), true), firstIncarnation(0), activeReport(server))
	again := f.planOneStart()
	f.Expect(again.Run).To(Equal(filler.Run))
	f.acceptFrom(again, firstIncarnation(0))
	f.surviveStarts(firstIncarnation(0), server, again)
	for range 8 {
		f.pacesAtTail(firstIncarnation(0), server, again, 95)
	}
	f.Expect(f.pool.workers[firstIncarnation(0).id].runs[runKey{again.Task, again.Run}].pace).To(BeZero())
	f.advance(500 * time.Millisecond)
	f.beginIncarnation(secondIncarnation(0), activeReport(filler))
	for range 10 {
		f.advance(100 * time.Millisecond)
		f.pollAndReport(secondIncarnation(0), activeReport(filler))
		for _, s := range f.plan().Starts {
			server = s
			f.acceptFrom(s, secondIncarnation(0))
		}
		f.pool.ApplyCommit(f.pool.PrepareCommit())
	}
	f.Expect(server.Worker).To(Equal(secondIncarnation(0).id))
	var paces []PaceOrder
	for range 8 {
		paces = append(paces, f.pacesAtTail(secondIncarnation(0), server, filler, 95)...)
	}
	f.Expect(paces).NotTo(BeEmpty(), "each run begins at full speed")
}

// pacesAtTail has an incarnation report a service with a tail latency and a filler, and returns the pace orders.
func (f *fixture) pacesAtTail(inc testIncarnation, server, filler StartOrder, tail int) []PaceOrder {
	f.advance(250 * time.Millisecond)
	r := activeReport(server, filler)
	r.Active[0].Load, r.Active[1].Load = tail, 500
	f.pollAndReport(inc, r)
	f.pool.InspectRuns(f.now)
	return f.plan().Paces
}
