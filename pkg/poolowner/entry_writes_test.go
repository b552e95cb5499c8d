package poolowner

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestEntryThatWentSoonAfterAWriteWasFresh(t *testing.T) {
	g := NewWithT(t)
	w := newBeats(1500 * time.Millisecond)
	w.answered(1000)
	w.answered(2000)
	w.seen("w")
	w.answered(3000)
	g.Expect(w.fresh("w", 3000)).To(BeTrue())
	g.Expect(w.fresh("w", 3000)).To(BeFalse(), "it is forgotten after the first call")
}

func TestEntryThatWentLateOrUnseenWasNotFresh(t *testing.T) {
	g := NewWithT(t)
	w := newBeats(1500 * time.Millisecond)
	w.answered(1000)
	w.seen("first") // written at an unknown time
	w.answered(2000)
	w.seen("w")
	w.answered(6000)
	g.Expect(w.fresh("w", 6000)).To(BeFalse())
	g.Expect(w.fresh("first", 6000)).To(BeFalse())
}

func TestEntryThatWentInAnOutageWasNotFresh(t *testing.T) {
	g := NewWithT(t)
	w := newBeats(1500 * time.Millisecond)
	w.answered(1000)
	w.answered(2000)
	w.seen("w")
	w.interrupted()
	w.answered(2500)
	g.Expect(w.fresh("w", 2500)).To(BeFalse())
}
