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
func TestMemberBoundToNoWorkerLeavesRoomToABoundOne(t *testing.T) {
	g := NewWithT(t)
	f := newLives(t, 2, nil)
	f.gangOf(2)
	s := f.pool.jobs["a"].occurrences[0].steps[0]
	w0, w1 := f.pool.workers[firstLife(0).id], f.pool.workers[firstLife(1).id]
	until := f.now.Add(maxOrderDelay)
	s.tasks[0].lateStarts.Add(latestart.Start{ExpiresAt: until})                          // its worker was lost
	s.tasks[1].lateStarts.Add(latestart.Start{Worker: w0.history.name, ExpiresAt: until}) // fenced
	w0.used.CPUMillis, w1.used.CPUMillis = 3000, 3000                                     // room for one on each
	chosen := f.pool.gangWorkers(s, []*worker{w0, w1})
	g.Expect(chosen != nil && chosen[0] == w1 && chosen[1] == w0).To(BeTrue(), "each has room")
}

// Guards against a gang that is spread over many workers or racks because one of its members has a late
// start.
func TestGangWithAVoidStartStaysTogether(t *testing.T) {
	g := NewWithT(t)
	f := newLives(t, 4, nil)
	f.gangOf(4)
	s := f.pool.jobs["a"].occurrences[0].steps[0]
	w0 := f.pool.workers[firstLife(0).id]
	s.tasks[0].lateStarts.Add(latestart.Start{Worker: w0.history.name, ExpiresAt: f.now.Add(maxOrderDelay)})
	chosen := f.pool.gangWorkers(s, f.pool.workersByID())
	on := map[*worker]bool{}
	for _, w := range chosen {
		on[w] = true
	}
	g.Expect(len(on)).To(Equal(1), "worker 0 has room for all four")
}

func (f *fixture) gangOf(n int) {
	f.add(voidGang(n))
}

// Guards against a wait for a start that was answered as carried out, and so can't be carried out any
// more.
func TestStartThatWasAnsweredIsNotHeldForVoid(t *testing.T) {
	sim := newHall(t, 1)
	sim.gets(testJob("a", testStep(1)))
	s := sim.onlyStart()
	sim.comes(firstLife(1))
	sim.Expect(sim.takeStart(sim.there[0], s)).To(BeTrue())
	sim.acceptBy(s, sim.there[0].life)
	sim.crashes(0) // before the worker has reported the run
	sim.passes(600 * time.Millisecond)
	sim.comes(secondLife(0))
	sim.closed(0)
	again := sim.startsWithin(2*time.Second, "a")
	sim.Expect(numberOf(again.Worker)).To(Equal(1))
}

// Guards against a task that may have crashed its worker and is never tried again: its late start allows
// only that worker, while other workers would be preferred.
func TestSuspectWithAVoidStartIsTriedOnItsWorker(t *testing.T) {
	sim, _ := lostOf(t, 3, testJob("a", testStep(1)))
	sim.pool.jobs["a"].suspected = true
	sim.pool.jobs["a"].occurrences[0].steps[0].tasks[0].crash.Load(nil, []job.Crash{{Run: 0, Worker: string(firstLife(0).id)}})
	sim.pool.crashes.Add(crash.NewCrash(firstLife(0).id, firstLife(0).info().Address, sim.now, nil), nil, sim.now)
	sim.becomesVoid()
	again := sim.startsWithin(3*time.Second, "a")
	sim.Expect(numberOf(again.Worker)).To(Equal(0))
}

// Guards against a task that an owner starts elsewhere without having confirmed its ownership: a later
// owner may have extended the leases on the incarnation that carried out the late start.
func TestVoidStartIsHeldForOverOnlyAfterAConfirmation(t *testing.T) {
	sim, pending := lost(t)
	sim.takes["a"] = time.Hour
	sim.comes(firstLife(1))
	sim.closed(0, 1)
	sim.becomesVoid()
	sim.takenByNextLife(pending)
	sim.there[0].cut = true
	// A later owner may own the shard by now, and extend the leases on the next incarnation.
	sim.storeAway = true
	sim.closed()
	before := len(sim.started)
	for end := sim.now.Add(20 * time.Second); sim.now < end; {
		sim.pass(beat)
		sim.asks(firstLife(1).id, false)
		sim.carryOut(sim.plan())
	}
	sim.Expect(sim.started[before:]).To(BeEmpty())
}

// Guards against ends that are not acknowledged though they do not conflict with a late start.
func TestEndAsStoppedIsNotedBesideAVoidStart(t *testing.T) {
	f := newLives(t, 1, nil)
	f.add(testJob("a", testStep(1)))
	s := f.onlyStart()
	f.pool.jobs["a"].occurrences[0].steps[0].tasks[0].lateStarts.Add(latestart.Start{ExpiresAt: f.now.Add(maxOrderDelay)})
	f.acceptBy(s, firstLife(0))
	f.reports(firstLife(0), listed(s))
	f.reports(firstLife(0), f.end(s, 1, EndStopped))
	f.pool.ApplyCommit(f.pool.PrepareCommit())
	f.Expect(f.pool.workers[firstLife(0).id].lastCommittedEnd).To(Equal(int64(1)))
}

// Guards against runs that are stopped to make room on a worker on which the waiting task may not be
// started.
func TestNothingIsPreemptedForATaskThatIsBoundElsewhere(t *testing.T) {
	f := fullWorker(t, nil)
	f.pass(500 * time.Millisecond)
	f.add(testJob("a", testStep(1)))
	f.pool.jobs["a"].occurrences[0].steps[0].tasks[0].lateStarts.Add(latestart.Start{Worker: f.pool.historyOf("another").name, ExpiresAt: f.now.Add(maxOrderDelay)})
	f.Expect(f.plan().Stops).To(BeEmpty())
}

// executeOnWorker0 has worker 0 carry out a start as the platform does: a run that exists already is not
// begun again.
func (sim *hall) takes0(s StartOrder) {
	w := sim.there[0]
	for _, x := range w.active {
		if x.start.Task == s.Task && x.start.Run == s.Run && s.Token >= w.token {
			w.token = s.Token
			return
		}
	}
	sim.takeStart(w, s)
}

// Guards against two runs of a task whose second start gets no answer either: the next incarnation may
// carry out both starts, the first one first.
func TestTwoVoidStartsAreNotCarriedOutByOneLife(t *testing.T) {
	sim := newHall(t, 1)
	sim.loses = func(s StartOrder) bool { return len(sim.kept) < 2 }
	sim.takes["a"] = 10 * time.Second
	sim.gets(testJob("a", testStep(1)))
	sim.passes(2 * time.Second)
	sim.Expect(len(sim.kept)).To(Equal(2))
	sim.crashes(0)
	sim.passes(600 * time.Millisecond)
	sim.comesUnlisted(secondLife(0))
	for _, pending := range sim.kept {
		sim.takes0(pending.StartOrder)
	}
	sim.checkNoneRunsTwice()
}

// Guards against a start that reaches the next incarnation, which has carried out the invalidated start:
// the owner does not know yet that the incarnation before has ended.
func TestStartAgainDoesNotReachALifeThatHasTheTask(t *testing.T) {
	sim, pending := lost(t)
	sim.takes["a"] = 10 * time.Second
	sim.closed(0)
	sim.becomesVoid()
	sim.hold(firstLife(0), false) // in flight while the incarnation ends, of which the owner does not learn
	sim.crashes(0)
	sim.pass(600 * time.Millisecond)
	sim.comesUnlisted(secondLife(0))
	sim.takes0(pending.StartOrder)
	sim.closed()
	starts := sim.plan().Starts
	sim.Expect(starts).To(HaveLen(1))
	sim.takes0(starts[0])
	sim.checkNoneRunsTwice()
}

// Guards against two runs where the first start is invalidated for the next incarnation, and the third
// incarnation carries out both starts.
func TestTwoVoidStartsAreNotCarriedOutByTheThirdLife(t *testing.T) {
	sim := newHall(t, 1)
	sim.loses = func(s StartOrder) bool { return len(sim.kept) < 2 }
	sim.takes["a"] = 10 * time.Second
	sim.gets(testJob("a", testStep(1)))
	sim.beats()
	sim.crashes(0)
	sim.passes(600 * time.Millisecond)
	sim.Expect(sim.isVoid()).To(BeFalse())
	sim.comes(secondLife(0))
	sim.passes(2 * time.Second)
	sim.Expect(len(sim.kept)).To(Equal(2))
	sim.Expect(sim.kept[0].Worker).To(Equal(firstLife(0).id))
	sim.Expect(sim.kept[1].Worker).To(Equal(secondLife(0).id))
	sim.crashes(0)
	sim.passes(600 * time.Millisecond)
	sim.comesUnlisted(thirdLife(0))
	for _, pending := range sim.kept {
		sim.takes0(pending.StartOrder)
	}
	sim.checkNoneRunsTwice()
}

// newRestartAfter8s returns a simulation in which worker 0 leaves the first unansweredCount starts
// without an answer. The task is started there again 8 s after its first start was invalidated.
func startedAgain8sLater(t *testing.T, unansweredCount int) *hall {
	sim := newHall(t, 1)
	sim.loses = func(StartOrder) bool { return len(sim.kept) < unansweredCount }
	sim.gets(testJob("a", testStep(1)))
	sim.beats()
	sim.closed(0)
	sim.becomesVoid()
	sim.passes(8 * time.Second)
	sim.closed()
	sim.startsWithin(time.Second, "a")
	sim.Expect(sim.kept).To(HaveLen(unansweredCount))
	return sim
}

// newTwoUnansweredStarts returns a simulation in which both starts got no answer, and the second
// incarnation of their worker has carried out the first one.
func twiceLost(t *testing.T, takes time.Duration) *hall {
	sim := startedAgain8sLater(t, 2)
	sim.takes["a"] = takes
	sim.crashes(0)
	sim.passes(600 * time.Millisecond)
	sim.comesUnlisted(secondLife(0))
	sim.Expect(sim.carriesOutLate(sim.kept[0])).To(BeTrue())
	sim.lists(secondLife(0))
	return sim
}

// Guards against a second start that is taken for carried out because a report lists its number: the
// first start was carried out, and the third incarnation may still carry out the second.
func TestStartIsNotHeldForCarriedOutSinceOneOfItsNumberIs(t *testing.T) {
	for name, endRun := range map[string]func(*hall){
		"the incarnation ends": func(sim *hall) {
			sim.crashes(0)
			sim.passes(600 * time.Millisecond)
			sim.comes(thirdLife(0))
		},
		"the incarnation no longer reports the run": func(sim *hall) { sim.there[0].active = nil },
	} {
		t.Run(name, func(t *testing.T) {
			sim := twiceLost(t, time.Hour)
			sim.passes(500 * time.Millisecond)
			sim.Expect(sim.there[0].active).To(HaveLen(1))
			sim.closed(0)
			sim.comes(firstLife(1))
			endRun(sim)
			sim.passes(maxOrderDelay)
			sim.Expect(sim.there[1].active).To(HaveLen(1), "the task has started elsewhere")
		})
	}
}

// Guards against an acknowledged end of the first start's run while the third incarnation may still
// carry out the second start.
func TestEndIsNotNotedWhileAStartOfItsNumberMayBeCarriedOut(t *testing.T) {
	sim := twiceLost(t, time.Second)
	sim.isDoneWithin(3*time.Second, "a")
	sim.Expect(sim.noted).To(BeEmpty())
	sim.passes(maxOrderDelay)
	sim.Expect(sim.noted).To(HaveLen(1))
}

// Guards against an acknowledgement that waits for a second start that was answered, and so can't be
// carried out any more.
func TestEndIsNotedBesideAnAnsweredStartOfItsNumber(t *testing.T) {
	sim := startedAgain8sLater(t, 1)
	sim.isDoneWithin(2*time.Second, "a")
	sim.Expect(sim.noted).To(BeEmpty())
	sim.passes(sim.kept[0].sentAt.Add(maxOrderDelay + time.Second).Sub(sim.now))
	sim.Expect(sim.noted).To(HaveLen(1))
}

// Guards against an end that the worker forgets before the owner has learned of it: a poll for an ended
// incarnation reaches the next one, which has carried out a late start, and acknowledges the end numbers
// of the incarnation before.
func TestHoldForAnEndedLifeNotesNoEndOfAVoidStart(t *testing.T) {
	sim := newHall(t, 1)
	sim.gets(testJob("b", testStep(1)))
	sim.isDoneWithin(3*time.Second, "b")
	sim.passes(time.Second)
	sim.Expect(sim.noted).To(HaveLen(1))
	sim.loses = func(StartOrder) bool { return len(sim.kept) == 0 }
	sim.gets(testJob("a", testStep(1)))
	sim.passes(200 * time.Millisecond)
	sim.Expect(sim.kept).To(HaveLen(1))
	sim.closed(0)
	sim.becomesVoid()
	sim.crashes(0)
	sim.passes(600 * time.Millisecond)
	sim.comesUnlisted(secondLife(0))
	sim.takes["a"] = 0
	sim.Expect(sim.carriesOutLate(sim.kept[0])).To(BeTrue())
	sim.endRuns(sim.there[0])
	sim.asks(firstLife(0).id, false)
	sim.Expect(sim.noted).To(HaveLen(1), "the owner has not learned of that end")
}

// Guards against a run elsewhere beside a start that was sent a while after it was ordered: the time
// until the late start expires counts from when it was sent.
func TestStartThatWasSentLateIsWaitedForFromThenOn(t *testing.T) {
	sim := newHall(t, 1)
	sim.unheard = true
	sim.loses = func(StartOrder) bool { return len(sim.started) == 1 }
	sim.takes["a"] = 5 * time.Second // within the lease of 6 s
	sim.gets(testJob("a", testStep(1)))
	sim.beats()
	sim.Expect(sim.kept).To(HaveLen(1))
	sim.passes(2 * time.Second)
	sim.kept[0].sentAt = sim.now // the start waited in the queue of the sender
	sim.noAnswer(sim.kept[0].StartOrder)
	sim.crashes(0)
	sim.comes(firstLife(1))
	sim.passes(maxOrderDelay - 2*beat)
	sim.comesUnlisted(secondLife(0))
	sim.there[0].cut = true
	sim.Expect(sim.carriesOutLate(sim.kept[0])).To(BeTrue())
	sim.isDoneWithin(20*time.Second, "a")
}
