package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/crash"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/latestart"
	. "github.com/onsi/gomega"
)

// Guards against a gang that waits though there is room: a member whose void start binds it to no worker takes the room of one that is bound.
func TestMemberBoundToNoWorkerLeavesRoomToABoundOne(t *testing.T) {
	g := NewWithT(t)
	f := newLives(t, 2, nil)
	f.gangOf(2)
	s := f.pool.jobs["a"].occurrences[0].steps[0]
	w0, w1 := f.pool.workers[firstLife(0).id], f.pool.workers[firstLife(1).id]
	until := f.now.Add(maxOrderDelay)
	s.tasks[0].lateStarts.Add(latestart.Start{ExpiresAt: until})                          // of a worker that was lost
	s.tasks[1].lateStarts.Add(latestart.Start{Worker: w0.history.name, ExpiresAt: until}) // fenced off
	w0.used.CPUMillis, w1.used.CPUMillis = 3000, 3000                                     // room for one on each
	chosen := f.pool.gangWorkers(s, []*worker{w0, w1})
	g.Expect(chosen != nil && chosen[0] == w1 && chosen[1] == w0).To(BeTrue(), "each has room")
}

// Guards against a gang that is spread over many workers, or racks, since one of its members had a start that is void.
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

// Guards against a wait for a start that was answered as carried out, and so can't be carried out any more.
func TestStartThatWasAnsweredIsNotHeldForVoid(t *testing.T) {
	h := newHall(t, 1)
	h.gets(testJob("a", testStep(1)))
	s := h.onlyStart()
	h.comes(firstLife(1))
	h.Expect(h.takeStart(h.there[0], s)).To(BeTrue())
	h.acceptBy(s, h.there[0].life)
	h.crashes(0) // before it has listed the run
	h.passes(600 * time.Millisecond)
	h.comes(secondLife(0))
	h.closed(0)
	again := h.startsWithin(2*time.Second, "a")
	h.Expect(numberOf(again.Worker)).To(Equal(1))
}

// Guards against a task that may have crashed its worker and is never tried on the only worker that it may be started on: others suit better.
func TestSuspectWithAVoidStartIsTriedOnItsWorker(t *testing.T) {
	h, _ := lostOf(t, 3, testJob("a", testStep(1)))
	h.pool.jobs["a"].suspected = true
	h.pool.jobs["a"].occurrences[0].steps[0].tasks[0].crash.Load(nil, []job.Crash{{Run: 0, Worker: string(firstLife(0).id)}})
	h.pool.crashes.Add(crash.NewCrash(firstLife(0).id, firstLife(0).info().Address, h.now, nil), nil, h.now)
	h.becomesVoid()
	again := h.startsWithin(3*time.Second, "a")
	h.Expect(numberOf(again.Worker)).To(Equal(0))
}

// Guards against a task that is started elsewhere by an owner that was not confirmed since: a later owner may have the leases extended on the life that
// carries the void start out.
func TestVoidStartIsHeldForOverOnlyAfterAConfirmation(t *testing.T) {
	h, k := lost(t)
	h.takes["a"] = time.Hour
	h.comes(firstLife(1))
	h.closed(0, 1)
	h.becomesVoid()
	h.takenByNextLife(k)
	h.there[0].cut = true
	h.storeAway = true // the next owner holds the lease by now, and extends what runs on the next life
	h.closed()
	before := len(h.started)
	for end := h.now.Add(20 * time.Second); h.now < end; {
		h.pass(beat)
		h.asks(firstLife(1).id, false)
		h.carryOut(h.plan())
	}
	h.Expect(h.started[before:]).To(BeEmpty())
}

// Guards against ends that are kept from being noted though they say nothing against a later start.
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

// Guards against runs that are stopped to make room in which the waiting task may not be started.
func TestNothingIsPreemptedForATaskThatIsBoundElsewhere(t *testing.T) {
	f := fullWorker(t, nil)
	f.pass(500 * time.Millisecond)
	f.add(testJob("a", testStep(1)))
	f.pool.jobs["a"].occurrences[0].steps[0].tasks[0].lateStarts.Add(latestart.Start{Worker: f.pool.historyOf("another").name, ExpiresAt: f.now.Add(maxOrderDelay)})
	f.Expect(f.plan().Stops).To(BeEmpty())
}

// takes0 has the life of worker 0 that is there carry out a start, as the platform does: a run that is there already is not begun again.
func (h *hall) takes0(s StartOrder) {
	r := h.there[0]
	for _, x := range r.active {
		if x.start.Task == s.Task && x.start.Run == s.Run && s.Token >= r.token {
			r.token = s.Token
			return
		}
	}
	h.takeStart(r, s)
}

// Guards against a second start that gets no answer either: the next life may carry out both, the first one first.
func TestTwoVoidStartsAreNotCarriedOutByOneLife(t *testing.T) {
	h := newHall(t, 1)
	h.loses = func(s StartOrder) bool { return len(h.kept) < 2 }
	h.takes["a"] = 10 * time.Second
	h.gets(testJob("a", testStep(1)))
	h.passes(2 * time.Second)
	h.Expect(len(h.kept)).To(Equal(2))
	h.crashes(0)
	h.passes(600 * time.Millisecond)
	h.comesUnlisted(secondLife(0))
	for _, k := range h.kept {
		h.takes0(k.StartOrder)
	}
	h.checkNoneRunsTwice()
}

// Guards against a start that reaches the next life, which has carried the void one out, since its owner has not heard that the life before ended.
func TestStartAgainDoesNotReachALifeThatHasTheTask(t *testing.T) {
	h, k := lost(t)
	h.takes["a"] = 10 * time.Second
	h.closed(0)
	h.becomesVoid()
	h.hold(firstLife(0), false) // on its way while the worker ends, without a word of that
	h.crashes(0)
	h.pass(600 * time.Millisecond)
	h.comesUnlisted(secondLife(0))
	h.takes0(k.StartOrder)
	h.closed()
	starts := h.plan().Starts
	h.Expect(starts).To(HaveLen(1))
	h.takes0(starts[0])
	h.checkNoneRunsTwice()
}

// Guards against the same where the first start is void on the next life, and the life after that carries out both.
func TestTwoVoidStartsAreNotCarriedOutByTheThirdLife(t *testing.T) {
	h := newHall(t, 1)
	h.loses = func(s StartOrder) bool { return len(h.kept) < 2 }
	h.takes["a"] = 10 * time.Second
	h.gets(testJob("a", testStep(1)))
	h.beats()
	h.crashes(0)
	h.passes(600 * time.Millisecond)
	h.Expect(h.isVoid()).To(BeFalse())
	h.comes(secondLife(0))
	h.passes(2 * time.Second)
	h.Expect(len(h.kept)).To(Equal(2))
	h.Expect(h.kept[0].Worker).To(Equal(firstLife(0).id))
	h.Expect(h.kept[1].Worker).To(Equal(secondLife(0).id))
	h.crashes(0)
	h.passes(600 * time.Millisecond)
	h.comesUnlisted(thirdLife(0))
	for _, k := range h.kept {
		h.takes0(k.StartOrder)
	}
	h.checkNoneRunsTwice()
}

// startedAgain8sLater is a hall in which worker 0 leaves some starts without an answer, the first one of a task among them, which has started there once more.
func startedAgain8sLater(t *testing.T, lost int) *hall {
	h := newHall(t, 1)
	h.loses = func(StartOrder) bool { return len(h.kept) < lost }
	h.gets(testJob("a", testStep(1)))
	h.beats()
	h.closed(0)
	h.becomesVoid()
	h.passes(8 * time.Second)
	h.closed()
	h.startsWithin(time.Second, "a")
	h.Expect(h.kept).To(HaveLen(lost))
	return h
}

// twiceLost is a hall in which both starts got no answer, and the second life of their worker has carried out the first one.
func twiceLost(t *testing.T, takes time.Duration) *hall {
	h := startedAgain8sLater(t, 2)
	h.takes["a"] = takes
	h.crashes(0)
	h.passes(600 * time.Millisecond)
	h.comesUnlisted(secondLife(0))
	h.Expect(h.carriesOutLate(h.kept[0])).To(BeTrue())
	h.lists(secondLife(0))
	return h
}

// Guards against a second start that is held for carried out since a list shows its number: that was the first one, and the life after may carry it out.
func TestStartIsNotHeldForCarriedOutSinceOneOfItsNumberIs(t *testing.T) {
	for name, ends := range map[string]func(*hall){
		"the life ends": func(h *hall) {
			h.crashes(0)
			h.passes(600 * time.Millisecond)
			h.comes(thirdLife(0))
		},
		"the life lists the run no more": func(h *hall) { h.there[0].active = nil },
	} {
		t.Run(name, func(t *testing.T) {
			h := twiceLost(t, time.Hour)
			h.passes(500 * time.Millisecond)
			h.Expect(h.there[0].active).To(HaveLen(1))
			h.closed(0)
			h.comes(firstLife(1))
			ends(h)
			h.passes(maxOrderDelay)
			h.Expect(h.there[1].active).To(HaveLen(1), "the task has started elsewhere")
		})
	}
}

// Guards against a note of an end of the first start's run while the second start may be carried out by the life after.
func TestEndIsNotNotedWhileAStartOfItsNumberMayBeCarriedOut(t *testing.T) {
	h := twiceLost(t, time.Second)
	h.isDoneWithin(3*time.Second, "a")
	h.Expect(h.noted).To(BeEmpty())
	h.passes(maxOrderDelay)
	h.Expect(h.noted).To(HaveLen(1))
}

// Guards against a note that waits for a second start that was answered, and so can't be carried out any more.
func TestEndIsNotedBesideAnAnsweredStartOfItsNumber(t *testing.T) {
	h := startedAgain8sLater(t, 1)
	h.isDoneWithin(2*time.Second, "a")
	h.Expect(h.noted).To(BeEmpty())
	h.passes(h.kept[0].sentAt.Add(maxOrderDelay + time.Second).Sub(h.now))
	h.Expect(h.noted).To(HaveLen(1))
}

// Guards against an end that is forgotten unheard: a hold for the life before reaches the next one, which has carried out a void start.
func TestHoldForAnEndedLifeNotesNoEndOfAVoidStart(t *testing.T) {
	h := newHall(t, 1)
	h.gets(testJob("b", testStep(1)))
	h.isDoneWithin(3*time.Second, "b")
	h.passes(time.Second)
	h.Expect(h.noted).To(HaveLen(1))
	h.loses = func(StartOrder) bool { return len(h.kept) == 0 }
	h.gets(testJob("a", testStep(1)))
	h.passes(200 * time.Millisecond)
	h.Expect(h.kept).To(HaveLen(1))
	h.closed(0)
	h.becomesVoid()
	h.crashes(0)
	h.passes(600 * time.Millisecond)
	h.comesUnlisted(secondLife(0))
	h.takes["a"] = 0
	h.Expect(h.carriesOutLate(h.kept[0])).To(BeTrue())
	h.endRuns(h.there[0])
	h.asks(firstLife(0).id, false)
	h.Expect(h.noted).To(HaveLen(1), "the owner has not heard of that end")
}

// Guards against a run elsewhere beside a start that was sent a while after it was ordered: the time in which it may be carried out counts from when it was sent.
func TestStartThatWasSentLateIsWaitedForFromThenOn(t *testing.T) {
	h := newHall(t, 1)
	h.unheard = true
	h.loses = func(StartOrder) bool { return len(h.started) == 1 }
	h.takes["a"] = 5 * time.Second // on the lease of 6 s
	h.gets(testJob("a", testStep(1)))
	h.beats()
	h.Expect(h.kept).To(HaveLen(1))
	h.passes(2 * time.Second)
	h.kept[0].sentAt = h.now // it waited for its turn
	h.noAnswer(h.kept[0].StartOrder)
	h.crashes(0)
	h.comes(firstLife(1))
	h.passes(maxOrderDelay - 2*beat)
	h.comesUnlisted(secondLife(0))
	h.there[0].cut = true
	h.Expect(h.carriesOutLate(h.kept[0])).To(BeTrue())
	h.isDoneWithin(20*time.Second, "a")
}
