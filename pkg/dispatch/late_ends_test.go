package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// newUnreportedEnd returns a simulation in which worker 1 has done the only task, which the owner can't
// learn. Tasks are then placed on worker 0 alone, which leaves the first start there without an answer.
func doneUnheard(t *testing.T) *hall {
	sim := newHall(t, 2)
	sim.closed(0)
	sim.gets(testJob("a", testStep(1)))
	sim.beats()
	sim.passes(2 * beat)
	sim.Expect(sim.there[1].active).To(HaveLen(1))
	sim.there[1].cut = true
	sim.closed(1)
	sim.loses = func(StartOrder) bool { return len(sim.kept) == 0 }
	return sim
}

// Guards against a late start after an acknowledged end: the worker of an earlier run can be reached
// again after the job has ended, and its end must not be acknowledged while a late start may still be
// carried out.
func TestEndThatIsHeardWhenTheJobIsForgottenIsHeld(t *testing.T) {
	sim := doneUnheard(t)
	sim.startsWithin(10*time.Second, "a")
	sim.Expect(sim.kept).To(HaveLen(1))
	sim.becomesVoid()
	sim.isDoneWithin(4*time.Second, "a")
	sim.Expect(sim.pool.jobs).NotTo(HaveKey(sim.kept[0].Task.Job))
	sim.there[1].cut = false
	sim.passes(maxOrderDelay)
	sim.Expect(sim.noted).To(HaveLen(2))
}

// Guards against a late start after an acknowledged end: the worker of an earlier run can be reached
// again while nobody knows whether the next start was invalidated.
func TestEndOfAnEarlierRunIsHeldWhileAStartIsUnsettled(t *testing.T) {
	sim := doneUnheard(t)
	sim.startsWithin(10*time.Second, "a")
	sim.Expect(sim.kept).To(HaveLen(1))
	sim.there[0].cut = true
	sim.there[1].cut = false
	sim.passes(maxOrderDelay)
	sim.passes(2 * time.Second)
	sim.Expect(sim.noted).To(HaveLen(1))
}

// Guards against a late start after an end that the next owner acknowledged: the outcome, which that
// owner reads, was stored before the call of the start had returned.
func TestOutcomeTellsOfAStartWhoseCallIsNotOver(t *testing.T) {
	sim := doneUnheard(t)
	sim.unheard = true
	sim.startsWithin(10*time.Second, "a")
	sim.Expect(sim.kept).To(HaveLen(1))
	sim.there[0].cut = true
	sim.there[1].cut = false
	sim.passes(3 * beat)
	sim.noAnswer(sim.kept[0].StartOrder)
	sim.nextOwner()
	sim.passes(maxOrderDelay)
	sim.passes(maxWallClockSkew)
	sim.Expect(sim.noted).To(HaveLen(1))
}
