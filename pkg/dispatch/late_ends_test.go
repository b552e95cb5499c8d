package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// newUnreportedEnd returns a simulation in which worker 1 has done the only task but can't report
// that to the owner. Tasks are then placed on worker 0 alone, which leaves the first start there without an
// answer.
func newUnreportedEnd(t *testing.T) *poolSim {
	sim := newPoolSim(t, 2)
	sim.cordonOnly(0)
	sim.submit(testJob("a", testStep(1)))
	sim.tick()
	sim.advanceTicks(2 * tickInterval)
	sim.Expect(sim.workers[1].active).To(HaveLen(1))
	sim.workers[1].unreachable = true
	sim.cordonOnly(1)
	sim.losesAnswer = func(StartOrder) bool { return len(sim.pendingStarts) == 0 }
	return sim
}

// Guards against a late start after an acknowledged end: the worker of an earlier run can be reached
// again after the job has ended, and its end must not be acknowledged while a late start may still be
// carried out.
func TestEndReportedAfterItsJobEndedIsNotAcknowledgedEarly(t *testing.T) {
	sim := newUnreportedEnd(t)
	sim.expectStart(10*time.Second, "a")
	sim.Expect(sim.pendingStarts).To(HaveLen(1))
	sim.waitUntilInvalidated()
	sim.expectCompleted(4*time.Second, "a")
	sim.Expect(sim.pool.jobs).NotTo(HaveKey(sim.pendingStarts[0].Task.Job))
	sim.workers[1].unreachable = false
	sim.advanceTicks(maxOrderDelay)
	sim.Expect(sim.ackedEnds).To(HaveLen(2))
}

// Guards against a late start after an acknowledged end: the worker of an earlier run can be reached
// again while nobody knows whether the next start was invalidated.
func TestEndOfAnEarlierRunIsNotAcknowledgedBesideAnUnansweredStart(t *testing.T) {
	sim := newUnreportedEnd(t)
	sim.expectStart(10*time.Second, "a")
	sim.Expect(sim.pendingStarts).To(HaveLen(1))
	sim.workers[0].unreachable = true
	sim.workers[1].unreachable = false
	sim.advanceTicks(maxOrderDelay)
	sim.advanceTicks(2 * time.Second)
	sim.Expect(sim.ackedEnds).To(HaveLen(1))
}

// Guards against a late start after an end that the next owner acknowledged: the outcome, which that
// owner reads, was stored before the call of the start had returned.
func TestOutcomeRecordsAStartWhoseCallIsOpen(t *testing.T) {
	sim := newUnreportedEnd(t)
	sim.callsStayOpen = true
	sim.expectStart(10*time.Second, "a")
	sim.Expect(sim.pendingStarts).To(HaveLen(1))
	sim.workers[0].unreachable = true
	sim.workers[1].unreachable = false
	sim.advanceTicks(3 * tickInterval)
	sim.failStart(sim.pendingStarts[0].StartOrder)
	sim.changeOwner()
	sim.advanceTicks(maxOrderDelay)
	sim.advanceTicks(maxWallClockSkew)
	sim.Expect(sim.ackedEnds).To(HaveLen(1))
}
