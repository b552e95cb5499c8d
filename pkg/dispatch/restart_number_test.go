package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// loseTwoRunNumbers has worker 0 leave two starts of task 0 of a job without an answer: its first start,
// and the first one under another run number.
func (sim *hall) losesStartsOfNewNumbers() {
	sim.loses = func(s StartOrder) bool {
		if s.Task.Index != 0 || len(sim.kept) == 2 {
			return false
		}
		return len(sim.kept) == 0 || s.Run != sim.kept[0].Run
	}
}

// executePendingOnNextIncarnation crashes worker 0, and has its next incarnation carry out all pending
// starts that have not expired, as soon as it has begun.
func (sim *hall) nextLifeTakesKept() {
	sim.crashes(0)
	sim.passes(600 * time.Millisecond)
	sim.comesUnlisted(secondLife(0))
	sim.takes["a"] = 10 * time.Second
	for _, pending := range sim.kept {
		if sim.now.Sub(pending.sentAt) <= maxOrderDelay {
			sim.takes0(pending.StartOrder)
		}
	}
	sim.checkNoneRunsTwice()
}

// testCrashAtAnyTime simulates a job of which two starts with numbers of their own get no answer, with a
// crash of their worker after each half second. The second start should be sent when the first one can't
// be carried out any more.
func crashesAtAnyTime(t *testing.T, r job.Record, endRun func(*hall)) {
	const last = maxOrderDelay + 2*time.Second
	for after := 500 * time.Millisecond; after <= last; after += 500 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) {
			sim := newHall(t, 1)
			sim.losesStartsOfNewNumbers()
			sim.gets(r)
			for end := sim.now.Add(after); sim.now < end; sim.beats() {
				endRun(sim)
			}
			sim.Expect(sim.kept).NotTo(BeEmpty())
			if after == last {
				sim.Expect(sim.kept).To(HaveLen(2))
			}
			sim.nextLifeTakesKept()
		})
	}
}

// Guards against two runs after a failed run: the start after it has a number of its own, and the next
// incarnation carries it out beside the invalidated start.
func TestStartAfterAFailureIsNotCarriedOutBesideAVoidOne(t *testing.T) {
	crashesAtAnyTime(t, testJob("a", testStep(1)), func(sim *hall) { sim.how["a"] = EndFailed })
}

// Guards against the same after a run was stopped to make room for others.
func TestStartAfterAStopIsNotCarriedOutBesideAVoidOne(t *testing.T) {
	crashesAtAnyTime(t, testJob("a", testStep(1)), func(sim *hall) {
		sim.takes["a"] = time.Hour
		if r := sim.pool.task(taskOf("a", 0)).current; len(sim.kept) == 1 && r != nil && r.state == runActive {
			sim.pool.stopRun(r)
		}
	})
}

// Guards against the same for a gang, of which all members start again with one number.
func TestGangThatStartsAgainIsNotCarriedOutBesideAVoidStart(t *testing.T) {
	crashesAtAnyTime(t, voidGang(2), func(sim *hall) { sim.how["a"] = EndFailed })
}

// Guards against the same after a crash, where the third incarnation carries out both starts.
func TestStartAfterACrashIsNotCarriedOutBesideAVoidOne(t *testing.T) {
	sim := newHall(t, 1)
	sim.losesStartsOfNewNumbers()
	sim.takes["a"] = time.Hour
	sim.gets(testJob("a", testStep(1)))
	sim.passes(time.Second)
	sim.Expect(sim.there[0].active).To(HaveLen(1))
	sim.crashes(0)
	sim.passes(600 * time.Millisecond)
	sim.comes(secondLife(0))
	sim.passes(2 * time.Second)
	sim.crashes(0)
	sim.passes(600 * time.Millisecond)
	sim.comesUnlisted(thirdLife(0))
	for _, pending := range sim.kept {
		sim.takes0(pending.StartOrder)
	}
	sim.checkNoneRunsTwice()
}

// Guards against a needless wait of a gang of which no member has started: it starts again under the
// same number.
func TestGangWhoseStartsAreAllVoidStartsAgainAtOnce(t *testing.T) {
	sim := newHall(t, 1)
	sim.loses = func(StartOrder) bool { return len(sim.kept) < 4 }
	sim.gets(voidGang(2))
	sim.isDoneWithin(5*time.Second, "a")
	sim.Expect(sim.started).To(HaveLen(6))
	for _, s := range sim.started {
		sim.Expect(s.Run).To(Equal(sim.started[0].Run))
	}
}

// newFailureBesideLateStart returns a simulation of one worker in which task 0 of a job has failed while
// a late start of it may still be carried out.
func failedBesideAVoidStart(t *testing.T, r job.Record) *hall {
	sim := newHall(t, 1)
	sim.loses = func(s StartOrder) bool { return len(sim.kept) == 0 && s.Task.Index == 0 }
	sim.how["a"] = EndFailed
	sim.gets(r)
	sim.passes(2 * time.Second)
	sim.Expect(sim.kept).To(HaveLen(1))
	sim.Expect(sim.pool.task(taskOf("a", 0)).failures).NotTo(BeEmpty())
	delete(sim.how, "a")
	return sim
}

// Guards against waits of tasks that have no late start, and against a wait that goes on after the late
// start has expired.
func TestTaskThatOutwaitsAVoidStartHoldsUpNothingElse(t *testing.T) {
	t.Run("another task of its step", func(t *testing.T) {
		sim := failedBesideAVoidStart(t, testJob("a", testStep(2)))
		sim.passes(1500 * time.Millisecond)
		sim.Expect(sim.pool.task(taskOf("a", 1)).done).To(BeTrue())
		sim.Expect(sim.pool.task(taskOf("a", 0)).done).To(BeFalse())
	})
	t.Run("a job of a lower priority on its worker", func(t *testing.T) {
		sim := failedBesideAVoidStart(t, testJob("a", testStep(1)))
		r := testJob("b", testStep(4)) // all that the worker has room for
		r.Queue.Name, r.Queue.Priority = "later", 5
		sim.gets(r)
		sim.isDoneWithin(2*time.Second, "b")
	})
	t.Run("its cancellation", func(t *testing.T) {
		sim := failedBesideAVoidStart(t, testJob("a", testStep(1)))
		sim.pool.Cancel("a")
		sim.passes(200 * time.Millisecond)
		state, _, _ := sim.pool.JobState("a")
		sim.Expect(state).To(Equal(job.Cancelled))
	})
	t.Run("its own end once the late start has expired", func(t *testing.T) {
		sim := failedBesideAVoidStart(t, testJob("a", testStep(1)))
		expiry := sim.kept[0].sentAt.Add(maxOrderDelay)
		again := sim.startsWithin(maxOrderDelay, "a")
		sim.Expect(sim.now.Sub(expiry)).To(And(BeNumerically(">", 0), BeNumerically("<", 5*beat)))
		sim.Expect(again.Run).To(BeNumerically(">", sim.kept[0].Run))
		sim.isDoneWithin(2*time.Second, "a")
	})
}

// Guards against an operator who is not told what a job waits for, by the present owner and by the next.
func TestTaskThatOutwaitsAVoidStartSaysSo(t *testing.T) {
	sim := failedBesideAVoidStart(t, testJob("a", testStep(1)))
	e, _ := sim.pool.Explain("a", sim.now)
	sim.Expect(e.Steps[0].WaitReason).To(HavePrefix("an earlier start without an answer"))
	sim.Expect(sim.delays()).To(Equal(1))
	sim.nextOwner()
	sim.passes(time.Second)
	e, _ = sim.pool.Explain("a", sim.now)
	sim.Expect(e.Steps[0].WaitReason).To(HavePrefix("an earlier start without an answer"))
	sim.Expect(sim.delays()).To(Equal(2))
}

// Guards against a log line about the delayed start of a task that is done.
func TestDoneTaskIsNotLoggedAsDelayed(t *testing.T) {
	sim := newHall(t, 1)
	sim.loses = func(StartOrder) bool { return len(sim.kept) == 0 }
	sim.gets(testJob("a", testStep(1)))
	sim.isDoneWithin(3*time.Second, "a")
	sim.Expect(sim.kept).To(HaveLen(1))
	sim.Expect(sim.delays()).To(Equal(0))
}

// delayEvents counts the logged events that report a delayed start.
func (sim *hall) delays() int {
	n := 0
	for _, e := range sim.events {
		if e.Name == "start_delayed" {
			n++
		}
	}
	return n
}

// Guards against a start of a later owner that is carried out beside a late start of a previous owner,
// whose run has ended or not.
func TestStartOfALaterOwnerIsNotCarriedOutBesideAVoidOne(t *testing.T) {
	for name, before := range map[string]time.Duration{"before its run has ended": 200 * time.Millisecond, "after its run has failed": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			sim := newHall(t, 1)
			sim.loses = func(s StartOrder) bool { return len(sim.kept) == 0 }
			sim.how["a"] = EndFailed
			sim.gets(testJob("a", testStep(1)))
			sim.passes(before)
			sim.Expect(sim.kept).To(HaveLen(1))
			sim.nextOwner()
			sim.loses = func(s StartOrder) bool { return len(sim.kept) == 1 }
			sim.passes(2 * time.Second)
			sim.nextLifeTakesKept()
		})
	}
}
