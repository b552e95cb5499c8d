package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/crash"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/latestart"
	. "github.com/onsi/gomega"
)

// Guards against a gang that waits though there is room: a member whose late start binds it to no worker
// takes the room of a member that is bound to one.
func TestUnboundMemberLeavesRoomForABoundMember(t *testing.T) {
	g := NewWithT(t)
	f := newIncarnationFixture(t, 2, nil)
	f.addGang(2)
	s := f.pool.jobs["a"].occurrences[0].steps[0]
	w0, w1 := f.pool.workers[firstIncarnation(0).id], f.pool.workers[firstIncarnation(1).id]
	until := f.now.Add(maxOrderDelay)
	s.tasks[0].lateStarts.Add(latestart.Start{ExpiresAt: until})                          // its worker was lost
	s.tasks[1].lateStarts.Add(latestart.Start{Worker: w0.history.name, ExpiresAt: until}) // fenced
	w0.used.CPUMillis, w1.used.CPUMillis = 3000, 3000                                     // room for one on each
	chosen := f.pool.gangWorkers(s, []*worker{w0, w1})
	g.Expect(chosen != nil && chosen[0] == w1 && chosen[1] == w0).To(BeTrue(), "each has room")
}

// Guards against a gang that is spread over many workers or racks because one of its members has a late
// start.
func TestGangWithALateStartIsNotSpread(t *testing.T) {
	g := NewWithT(t)
	f := newIncarnationFixture(t, 4, nil)
	f.addGang(4)
	s := f.pool.jobs["a"].occurrences[0].steps[0]
	w0 := f.pool.workers[firstIncarnation(0).id]
	s.tasks[0].lateStarts.Add(latestart.Start{Worker: w0.history.name, ExpiresAt: f.now.Add(maxOrderDelay)})
	chosen := f.pool.gangWorkers(s, f.pool.workersByID())
	on := map[*worker]bool{}
	for _, w := range chosen {
		on[w] = true
	}
	g.Expect(len(on)).To(Equal(1), "worker 0 has room for all four")
}

func (f *fixture) addGang(n int) {
	f.add(gangJob(n))
}

// Guards against a wait for a start that was answered as carried out, and so can't be carried out any
// more.
func TestAnsweredStartIsNoLateStart(t *testing.T) {
	sim := newPoolSim(t, 1)
	sim.submit(testJob("a", testStep(1)))
	s := sim.planOneStart()
	sim.addIncarnation(firstIncarnation(1))
	sim.Expect(sim.executeStart(sim.workers[0], s)).To(BeTrue())
	sim.acceptFrom(s, sim.workers[0].testIncarnation)
	sim.crashWorker(0) // before the worker has reported the run
	sim.advanceTicks(600 * time.Millisecond)
	sim.addIncarnation(secondIncarnation(0))
	sim.cordonOnly(0)
	again := sim.expectStart(2*time.Second, "a")
	sim.Expect(workerNumber(again.Worker)).To(Equal(1))
}

// Guards against a task that may have crashed its worker and is never tried again: its late start allows
// only that worker, while other workers would be preferred.
func TestSuspectWithALateStartIsTriedOnItsWorker(t *testing.T) {
	sim, _ := newUnansweredStartOf(t, 3, testJob("a", testStep(1)))
	sim.pool.jobs["a"].suspected = true
	sim.pool.jobs["a"].occurrences[0].steps[0].tasks[0].crash.Load(nil, []job.Crash{{Run: 0, Worker: string(firstIncarnation(0).id)}})
	sim.pool.crashes.Add(crash.NewCrash(firstIncarnation(0).id, firstIncarnation(0).info().Address, sim.now, nil), nil, sim.now)
	sim.waitUntilInvalidated()
	again := sim.expectStart(3*time.Second, "a")
	sim.Expect(workerNumber(again.Worker)).To(Equal(0))
}

// Guards against a task that an owner starts elsewhere without having confirmed its ownership: a later
// owner may have extended the leases on the incarnation that carried out the late start.
func TestLateStartExpiresOnlyAfterAConfirmation(t *testing.T) {
	sim, pending := newUnansweredStart(t)
	sim.runTimes["a"] = time.Hour
	sim.addIncarnation(firstIncarnation(1))
	sim.cordonOnly(0, 1)
	sim.waitUntilInvalidated()
	sim.executeOnNextIncarnation(pending)
	sim.workers[0].unreachable = true
	// A later owner may own the shard by now, and extend the leases on the next incarnation.
	sim.storeUnreachable = true
	sim.cordonOnly()
	before := len(sim.orderedStarts)
	for end := sim.now.Add(20 * time.Second); sim.now < end; {
		sim.advance(tickInterval)
		sim.pollWorker(firstIncarnation(1).id, false)
		sim.executeActions(sim.plan())
	}
	sim.Expect(sim.orderedStarts[before:]).To(BeEmpty())
}

// Guards against ends that are not acknowledged though they do not conflict with a late start.
func TestStoppedEndIsAcknowledgedBesideALateStart(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	f.add(testJob("a", testStep(1)))
	s := f.planOneStart()
	f.pool.jobs["a"].occurrences[0].steps[0].tasks[0].lateStarts.Add(latestart.Start{ExpiresAt: f.now.Add(maxOrderDelay)})
	f.acceptFrom(s, firstIncarnation(0))
	f.pollAndReport(firstIncarnation(0), activeReport(s))
	f.pollAndReport(firstIncarnation(0), f.endReport(s, 1, EndStopped))
	f.pool.ApplyCommit(f.pool.PrepareCommit())
	f.Expect(f.pool.workers[firstIncarnation(0).id].lastCommittedEnd).To(Equal(int64(1)))
}

// Guards against runs that are stopped to make room on a worker on which the waiting task may not be
// started.
func TestNothingIsPreemptedForATaskBoundToAnotherWorker(t *testing.T) {
	f := newFullWorker(t, nil)
	f.advance(500 * time.Millisecond)
	f.add(testJob("a", testStep(1)))
	f.pool.jobs["a"].occurrences[0].steps[0].tasks[0].lateStarts.Add(latestart.Start{Worker: f.pool.historyOf("another").name, ExpiresAt: f.now.Add(maxOrderDelay)})
	f.Expect(f.plan().Stops).To(BeEmpty())
}

// executeOnWorker0 has worker 0 carry out a start as the platform does: a run that exists already is not
// begun again.
func (sim *poolSim) executeOnWorker0(s StartOrder) {
	w := sim.workers[0]
	for _, x := range w.active {
		if x.start.Task == s.Task && x.start.Run == s.Run && s.Token >= w.token {
			w.token = s.Token
			return
		}
	}
	sim.executeStart(w, s)
}

// Guards against two runs of a task whose second start gets no answer either: the next incarnation may
// carry out both starts, the first one first.
func TestTwoLateStartsAreNotCarriedOutByOneIncarnation(t *testing.T) {
	sim := newPoolSim(t, 1)
	sim.losesAnswer = func(s StartOrder) bool { return len(sim.pendingStarts) < 2 }
	sim.runTimes["a"] = 10 * time.Second
	sim.submit(testJob("a", testStep(1)))
	sim.advanceTicks(2 * time.Second)
	sim.Expect(len(sim.pendingStarts)).To(Equal(2))
	sim.crashWorker(0)
	sim.advanceTicks(600 * time.Millisecond)
	sim.addIncarnationWithoutEntry(secondIncarnation(0))
	for _, pending := range sim.pendingStarts {
		sim.executeOnWorker0(pending.StartOrder)
	}
	sim.checkNoTaskRunsTwice()
}

// Guards against a start that reaches the next incarnation, which has carried out the invalidated start:
// the owner does not know yet that the incarnation before has ended.
func TestRestartDoesNotReachAnIncarnationThatRunsTheTask(t *testing.T) {
	sim, pending := newUnansweredStart(t)
	sim.runTimes["a"] = 10 * time.Second
	sim.cordonOnly(0)
	sim.waitUntilInvalidated()
	sim.newPoll(firstIncarnation(0), false) // in flight while the incarnation ends, which the owner does not notice
	sim.crashWorker(0)
	sim.advance(600 * time.Millisecond)
	sim.addIncarnationWithoutEntry(secondIncarnation(0))
	sim.executeOnWorker0(pending.StartOrder)
	sim.cordonOnly()
	starts := sim.plan().Starts
	sim.Expect(starts).To(HaveLen(1))
	sim.executeOnWorker0(starts[0])
	sim.checkNoTaskRunsTwice()
}

// Guards against two runs where the first start is invalidated for the next incarnation, and the third
// incarnation carries out both starts.
func TestTwoLateStartsAreNotCarriedOutByTheThirdIncarnation(t *testing.T) {
	sim := newPoolSim(t, 1)
	sim.losesAnswer = func(s StartOrder) bool { return len(sim.pendingStarts) < 2 }
	sim.runTimes["a"] = 10 * time.Second
	sim.submit(testJob("a", testStep(1)))
	sim.tick()
	sim.crashWorker(0)
	sim.advanceTicks(600 * time.Millisecond)
	sim.Expect(sim.isInvalidated()).To(BeFalse())
	sim.addIncarnation(secondIncarnation(0))
	sim.advanceTicks(2 * time.Second)
	sim.Expect(len(sim.pendingStarts)).To(Equal(2))
	sim.Expect(sim.pendingStarts[0].Worker).To(Equal(firstIncarnation(0).id))
	sim.Expect(sim.pendingStarts[1].Worker).To(Equal(secondIncarnation(0).id))
	sim.crashWorker(0)
	sim.advanceTicks(600 * time.Millisecond)
	sim.addIncarnationWithoutEntry(thirdIncarnation(0))
	for _, pending := range sim.pendingStarts {
		sim.executeOnWorker0(pending.StartOrder)
	}
	sim.checkNoTaskRunsTwice()
}

// newRestartAfter8s returns a simulation in which worker 0 leaves the first unansweredCount starts
// without an answer. The task is started there again 8 s after its first start was invalidated.
func newRestartAfter8s(t *testing.T, unansweredCount int) *poolSim {
	sim := newPoolSim(t, 1)
	sim.losesAnswer = func(StartOrder) bool { return len(sim.pendingStarts) < unansweredCount }
	sim.submit(testJob("a", testStep(1)))
	sim.tick()
	sim.cordonOnly(0)
	sim.waitUntilInvalidated()
	sim.advanceTicks(8 * time.Second)
	sim.cordonOnly()
	sim.expectStart(time.Second, "a")
	sim.Expect(sim.pendingStarts).To(HaveLen(unansweredCount))
	return sim
}

// newTwoUnansweredStarts returns a simulation in which both starts got no answer, and the second
// incarnation of their worker has carried out the first one.
func newTwoUnansweredStarts(t *testing.T, takes time.Duration) *poolSim {
	sim := newRestartAfter8s(t, 2)
	sim.runTimes["a"] = takes
	sim.crashWorker(0)
	sim.advanceTicks(600 * time.Millisecond)
	sim.addIncarnationWithoutEntry(secondIncarnation(0))
	sim.Expect(sim.executeLate(sim.pendingStarts[0])).To(BeTrue())
	sim.addEntry(secondIncarnation(0))
	return sim
}

// Guards against a second start that is taken for carried out because a report lists its number: the
// first start was carried out, and the third incarnation may still carry out the second.
func TestStartIsNotTakenForAnEarlierOneOfItsNumber(t *testing.T) {
	for name, endRun := range map[string]func(*poolSim){
		"the incarnation ends": func(sim *poolSim) {
			sim.crashWorker(0)
			sim.advanceTicks(600 * time.Millisecond)
			sim.addIncarnation(thirdIncarnation(0))
		},
		"the incarnation no longer reports the run": func(sim *poolSim) { sim.workers[0].active = nil },
	} {
		t.Run(name, func(t *testing.T) {
			sim := newTwoUnansweredStarts(t, time.Hour)
			sim.advanceTicks(500 * time.Millisecond)
			sim.Expect(sim.workers[0].active).To(HaveLen(1))
			sim.cordonOnly(0)
			sim.addIncarnation(firstIncarnation(1))
			endRun(sim)
			sim.advanceTicks(maxOrderDelay)
			sim.Expect(sim.workers[1].active).To(HaveLen(1), "the task has started elsewhere")
		})
	}
}

// Guards against an acknowledged end of the first start's run while the third incarnation may still
// carry out the second start.
func TestEndIsNotAcknowledgedBesideALateStartOfItsNumber(t *testing.T) {
	sim := newTwoUnansweredStarts(t, time.Second)
	sim.expectCompleted(3*time.Second, "a")
	sim.Expect(sim.ackedEnds).To(BeEmpty())
	sim.advanceTicks(maxOrderDelay)
	sim.Expect(sim.ackedEnds).To(HaveLen(1))
}

// Guards against an acknowledgement that waits for a second start that was answered, and so can't be
// carried out any more.
func TestEndIsAcknowledgedBesideAnAnsweredStartOfItsNumber(t *testing.T) {
	sim := newRestartAfter8s(t, 1)
	sim.expectCompleted(2*time.Second, "a")
	sim.Expect(sim.ackedEnds).To(BeEmpty())
	sim.advanceTicks(sim.pendingStarts[0].sentAt.Add(maxOrderDelay + time.Second).Sub(sim.now))
	sim.Expect(sim.ackedEnds).To(HaveLen(1))
}

// Guards against an end that the worker forgets before the owner has received it: a poll for an ended
// incarnation reaches the next one, which has carried out a late start, and acknowledges the end numbers
// of the incarnation before.
func TestPollForAnEndedIncarnationAcknowledgesNoEndOfTheNext(t *testing.T) {
	sim := newPoolSim(t, 1)
	sim.submit(testJob("b", testStep(1)))
	sim.expectCompleted(3*time.Second, "b")
	sim.advanceTicks(time.Second)
	sim.Expect(sim.ackedEnds).To(HaveLen(1))
	sim.losesAnswer = func(StartOrder) bool { return len(sim.pendingStarts) == 0 }
	sim.submit(testJob("a", testStep(1)))
	sim.advanceTicks(200 * time.Millisecond)
	sim.Expect(sim.pendingStarts).To(HaveLen(1))
	sim.cordonOnly(0)
	sim.waitUntilInvalidated()
	sim.crashWorker(0)
	sim.advanceTicks(600 * time.Millisecond)
	sim.addIncarnationWithoutEntry(secondIncarnation(0))
	sim.runTimes["a"] = 0
	sim.Expect(sim.executeLate(sim.pendingStarts[0])).To(BeTrue())
	sim.endDueRuns(sim.workers[0])
	sim.pollWorker(firstIncarnation(0).id, false)
	sim.Expect(sim.ackedEnds).To(HaveLen(1), "the owner has not received that end")
}

// Guards against a run elsewhere beside a start that was sent a while after it was ordered: the time
// until the late start expires counts from when it was sent.
func TestLateStartExpiryCountsFromSending(t *testing.T) {
	sim := newPoolSim(t, 1)
	sim.callsStayOpen = true
	sim.losesAnswer = func(StartOrder) bool { return len(sim.orderedStarts) == 1 }
	sim.runTimes["a"] = 5 * time.Second // within the lease of 6 s
	sim.submit(testJob("a", testStep(1)))
	sim.tick()
	sim.Expect(sim.pendingStarts).To(HaveLen(1))
	sim.advanceTicks(2 * time.Second)
	sim.pendingStarts[0].sentAt = sim.now // the start waited in the queue of the sender
	sim.failStart(sim.pendingStarts[0].StartOrder)
	sim.crashWorker(0)
	sim.addIncarnation(firstIncarnation(1))
	sim.advanceTicks(maxOrderDelay - 2*tickInterval)
	sim.addIncarnationWithoutEntry(secondIncarnation(0))
	sim.workers[0].unreachable = true
	sim.Expect(sim.executeLate(sim.pendingStarts[0])).To(BeTrue())
	sim.expectCompleted(20*time.Second, "a")
}
