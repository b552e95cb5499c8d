package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a second start without an answer that the store is told no more of, since a list shows its number: that was the first one, and the next owner knows of no other.
func TestNextOwnerKnowsTheSecondStartOfOneNumber(t *testing.T) {
	h := twiceLost(t, time.Hour)
	h.passes(500 * time.Millisecond)
	h.Expect(h.there[0].active).To(HaveLen(1))
	h.Expect(h.kept).To(HaveLen(1))
	h.loses = func(StartOrder) bool { return false }
	h.nextOwner()
	h.passes(500 * time.Millisecond)
	h.crashes(0)
	h.comes(firstLife(1))
	h.passes(600 * time.Millisecond)
	h.comes(thirdLife(0))
	h.closed(0)
	h.passes(maxOrderDelay)
}
