package poolowner

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestEntryThatWentSoonAfterAWriteWasFresh(t *testing.T) {
	g := NewWithT(t)
	b := newBeats(1500 * time.Millisecond)
	b.answered(1000)
	b.answered(2000)
	b.seen("w")
	b.answered(3000)
	g.Expect(b.fresh("w", 3000)).To(BeTrue())
	g.Expect(b.fresh("w", 3000)).To(BeFalse(), "it is forgotten after the first call")
}

func TestEntryThatWentLateOrUnseenWasNotFresh(t *testing.T) {
	g := NewWithT(t)
	b := newBeats(1500 * time.Millisecond)
	b.answered(1000)
	b.seen("first") // written at an unknown time
	b.answered(2000)
	b.seen("w")
	b.answered(6000)
	g.Expect(b.fresh("w", 6000)).To(BeFalse())
	g.Expect(b.fresh("first", 6000)).To(BeFalse())
}

func TestEntryThatWentInAnOutageWasNotFresh(t *testing.T) {
	g := NewWithT(t)
	b := newBeats(1500 * time.Millisecond)
	b.answered(1000)
	b.answered(2000)
	b.seen("w")
	b.interrupted()
	b.answered(2500)
	g.Expect(b.fresh("w", 2500)).To(BeFalse())
}
