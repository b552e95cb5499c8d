package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// loseTwoRunNumbers has worker 0 leave two starts of task 0 of a job without an answer: its first start,
// and the first one under another run number.
func (sim *poolSim) loseTwoRunNumbers() {
	sim.losesAnswer = func(s StartOrder) bool {
		if s.Task.Index != 0 || len(sim.pendingStarts) == 2 {
			return false
		}
		return len(sim.pendingStarts) == 0 || s.Run != sim.pendingStarts[0].Run
	}
}

// executePendingOnNextIncarnation crashes worker 0, and has its next incarnation carry out all pending
// starts that have not expired, as soon as it has begun.
func (sim *poolSim) executePendingOnNextIncarnation() {
	sim.crashWorker(0)
	sim.advanceTicks(600 * time.Millisecond)
	sim.addIncarnationWithoutEntry(secondIncarnation(0))
	sim.runTimes["a"] = 10 * time.Second
	for _, pending := range sim.pendingStarts {
		if sim.now.Sub(pending.sentAt) <= maxOrderDelay {
			sim.executeOnWorker0(pending.StartOrder)
		}
	}
	sim.checkNoTaskRunsTwice()
}

// testCrashAtAnyTime simulates a job of which two starts with numbers of their own get no answer, with a
// crash of their worker after each half second. The second start should be sent when the first one can't
// be carried out any more.
func testCrashAtAnyTime(t *testing.T, r job.Record, endRun func(*poolSim)) {
	const last = maxOrderDelay + 2*time.Second
	for after := 500 * time.Millisecond; after <= last; after += 500 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) {
			sim := newPoolSim(t, 1)
			sim.loseTwoRunNumbers()
			sim.submit(r)
			for end := sim.now.Add(after); sim.now < end; sim.tick() {
				endRun(sim)
			}
			sim.Expect(sim.pendingStarts).NotTo(BeEmpty())
			if after == last {
				sim.Expect(sim.pendingStarts).To(HaveLen(2))
			}
			sim.executePendingOnNextIncarnation()
		})
	}
}

// Guards against two runs after a failed run: the start after it has a number of its own, and the next
// incarnation carries it out beside the invalidated start.
func TestStartAfterAFailureIsNotCarriedOutBesideALateStart(t *testing.T) {
	testCrashAtAnyTime(t, testJob("a", testStep(1)), func(sim *poolSim) { sim.endReasons["a"] = EndFailed })
}

// Guards against the same after a run was stopped to make room for others.
func TestStartAfterAStopIsNotCarriedOutBesideALateStart(t *testing.T) {
	testCrashAtAnyTime(t, testJob("a", testStep(1)), func(sim *poolSim) {
		sim.runTimes["a"] = time.Hour
		if r := sim.pool.task(taskOf("a", 0)).current; len(sim.pendingStarts) == 1 && r != nil && r.state == runActive {
			sim.pool.stopRun(r)
		}
	})
}

// Guards against the same for a gang, of which all members start again with one number.
func TestRestartedGangIsNotCarriedOutBesideALateStart(t *testing.T) {
	testCrashAtAnyTime(t, gangJob(2), func(sim *poolSim) { sim.endReasons["a"] = EndFailed })
}

// Guards against the same after a crash, where the third incarnation carries out both starts.
func TestStartAfterACrashIsNotCarriedOutBesideALateStart(t *testing.T) {
	sim := newPoolSim(t, 1)
	sim.loseTwoRunNumbers()
	sim.runTimes["a"] = time.Hour
	sim.submit(testJob("a", testStep(1)))
	sim.advanceTicks(time.Second)
	sim.Expect(sim.workers[0].active).To(HaveLen(1))
	sim.crashWorker(0)
	sim.advanceTicks(600 * time.Millisecond)
	sim.addIncarnation(secondIncarnation(0))
	sim.advanceTicks(2 * time.Second)
	sim.crashWorker(0)
	sim.advanceTicks(600 * time.Millisecond)
	sim.addIncarnationWithoutEntry(thirdIncarnation(0))
	for _, pending := range sim.pendingStarts {
		sim.executeOnWorker0(pending.StartOrder)
	}
	sim.checkNoTaskRunsTwice()
}

// Guards against a needless wait of a gang of which no member has started: it starts again under the
// same number.
func TestGangWithoutAnsweredStartsRestartsAtOnce(t *testing.T) {
	sim := newPoolSim(t, 1)
	sim.losesAnswer = func(StartOrder) bool { return len(sim.pendingStarts) < 4 }
	sim.submit(gangJob(2))
	sim.expectCompleted(5*time.Second, "a")
	sim.Expect(sim.orderedStarts).To(HaveLen(6))
	for _, s := range sim.orderedStarts {
		sim.Expect(s.Run).To(Equal(sim.orderedStarts[0].Run))
	}
}

// newFailureBesideLateStart returns a simulation of one worker in which task 0 of a job has failed while
// a late start of it may still be carried out.
func newFailureBesideLateStart(t *testing.T, r job.Record) *poolSim {
	sim := newPoolSim(t, 1)
	sim.losesAnswer = func(s StartOrder) bool { return len(sim.pendingStarts) == 0 && s.Task.Index == 0 }
	sim.endReasons["a"] = EndFailed
	sim.submit(r)
	sim.advanceTicks(2 * time.Second)
	sim.Expect(sim.pendingStarts).To(HaveLen(1))
	sim.Expect(sim.pool.task(taskOf("a", 0)).failures).NotTo(BeEmpty())
	delete(sim.endReasons, "a")
	return sim
}

// Guards against waits of tasks that have no late start, and against a wait that goes on after the late
// start has expired.
func TestTaskBlockedByALateStartBlocksNothingElse(t *testing.T) {
	t.Run("another task of its step", func(t *testing.T) {
		sim := newFailureBesideLateStart(t, testJob("a", testStep(2)))
		sim.advanceTicks(1500 * time.Millisecond)
		sim.Expect(sim.pool.task(taskOf("a", 1)).done).To(BeTrue())
		sim.Expect(sim.pool.task(taskOf("a", 0)).done).To(BeFalse())
	})
	t.Run("a job of a lower priority on its worker", func(t *testing.T) {
		sim := newFailureBesideLateStart(t, testJob("a", testStep(1)))
		r := testJob("b", testStep(4)) // all that the worker has room for
		r.Queue.Name, r.Queue.Priority = "later", 5
		sim.submit(r)
		sim.expectCompleted(2*time.Second, "b")
	})
	t.Run("its cancellation", func(t *testing.T) {
		sim := newFailureBesideLateStart(t, testJob("a", testStep(1)))
		sim.pool.Cancel("a")
		sim.advanceTicks(200 * time.Millisecond)
		state, _, _ := sim.pool.JobState("a")
		sim.Expect(state).To(Equal(job.Cancelled))
	})
	t.Run("its own end once the late start has expired", func(t *testing.T) {
		sim := newFailureBesideLateStart(t, testJob("a", testStep(1)))
		expiry := sim.pendingStarts[0].sentAt.Add(maxOrderDelay)
		again := sim.expectStart(maxOrderDelay, "a")
		sim.Expect(sim.now.Sub(expiry)).To(And(BeNumerically(">", 0), BeNumerically("<", 5*tickInterval)))
		sim.Expect(again.Run).To(BeNumerically(">", sim.pendingStarts[0].Run))
		sim.expectCompleted(2*time.Second, "a")
	})
}

// Guards against an explanation that does not name what a job waits for, by the present owner or by the next.
func TestWaitForALateStartIsExplained(t *testing.T) {
	sim := newFailureBesideLateStart(t, testJob("a", testStep(1)))
	e, _ := sim.pool.Explain("a", sim.now)
	sim.Expect(e.Steps[0].WaitReason).To(HavePrefix("an earlier start without an answer"))
	sim.Expect(sim.delayEvents()).To(Equal(1))
	sim.changeOwner()
	sim.advanceTicks(time.Second)
	e, _ = sim.pool.Explain("a", sim.now)
	sim.Expect(e.Steps[0].WaitReason).To(HavePrefix("an earlier start without an answer"))
	sim.Expect(sim.delayEvents()).To(Equal(2))
}

// Guards against a log line about the delayed start of a task that is done.
func TestDoneTaskIsNotLoggedAsDelayed(t *testing.T) {
	sim := newPoolSim(t, 1)
	sim.losesAnswer = func(StartOrder) bool { return len(sim.pendingStarts) == 0 }
	sim.submit(testJob("a", testStep(1)))
	sim.expectCompleted(3*time.Second, "a")
	sim.Expect(sim.pendingStarts).To(HaveLen(1))
	sim.Expect(sim.delayEvents()).To(Equal(0))
}

// delayEvents counts the logged events that report a delayed start.
func (sim *poolSim) delayEvents() int {
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
func TestStartOfALaterOwnerIsNotCarriedOutBesideALateStart(t *testing.T) {
	for name, before := range map[string]time.Duration{"before its run has ended": 200 * time.Millisecond, "after its run has failed": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			sim := newPoolSim(t, 1)
			sim.losesAnswer = func(s StartOrder) bool { return len(sim.pendingStarts) == 0 }
			sim.endReasons["a"] = EndFailed
			sim.submit(testJob("a", testStep(1)))
			sim.advanceTicks(before)
			sim.Expect(sim.pendingStarts).To(HaveLen(1))
			sim.changeOwner()
			sim.losesAnswer = func(s StartOrder) bool { return len(sim.pendingStarts) == 1 }
			sim.advanceTicks(2 * time.Second)
			sim.executePendingOnNextIncarnation()
		})
	}
}
