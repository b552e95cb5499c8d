package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a second unanswered start that is no longer recorded in the store because a report lists
// its number: the first start was carried out, and the next owner knows of no other.
func TestNextOwnerKnowsTheSecondStartUnderOneNumber(t *testing.T) {
	sim := newTwoUnansweredStarts(t, time.Hour)
	sim.advanceTicks(500 * time.Millisecond)
	sim.Expect(sim.workers[0].active).To(HaveLen(1))
	sim.Expect(sim.pendingStarts).To(HaveLen(1))
	sim.losesAnswer = func(StartOrder) bool { return false }
	sim.changeOwner()
	sim.advanceTicks(500 * time.Millisecond)
	sim.crashWorker(0)
	sim.addIncarnation(firstIncarnation(1))
	sim.advanceTicks(600 * time.Millisecond)
	sim.addIncarnation(thirdIncarnation(0))
	sim.cordonOnly(0)
	sim.advanceTicks(maxOrderDelay)
}
