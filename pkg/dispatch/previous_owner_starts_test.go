package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a second unanswered start that the store is no longer told of because a report lists
// its number: the first start was carried out, and the next owner knows of no other.
func TestNextOwnerKnowsTheSecondStartOfOneNumber(t *testing.T) {
	sim := twiceLost(t, time.Hour)
	sim.passes(500 * time.Millisecond)
	sim.Expect(sim.there[0].active).To(HaveLen(1))
	sim.Expect(sim.kept).To(HaveLen(1))
	sim.loses = func(StartOrder) bool { return false }
	sim.nextOwner()
	sim.passes(500 * time.Millisecond)
	sim.crashes(0)
	sim.comes(firstLife(1))
	sim.passes(600 * time.Millisecond)
	sim.comes(thirdLife(0))
	sim.closed(0)
	sim.passes(maxOrderDelay)
}
