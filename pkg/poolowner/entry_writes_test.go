package poolowner

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestEntryRemovedSoonAfterAWriteWasRecentlyWritten(t *testing.T) {
	g := NewWithT(t)
	w := newEntryWrites(1500 * time.Millisecond)
	w.watchAnswered(1000)
	w.watchAnswered(2000)
	w.recordWrite("w")
	w.watchAnswered(3000)
	g.Expect(w.takeRecentlyWritten("w", 3000)).To(BeTrue())
	g.Expect(w.takeRecentlyWritten("w", 3000)).To(BeFalse(), "it is forgotten after the first call")
}

func TestEntryRemovedLateOrOfUnknownAgeWasNotRecentlyWritten(t *testing.T) {
	g := NewWithT(t)
	w := newEntryWrites(1500 * time.Millisecond)
	w.watchAnswered(1000)
	w.recordWrite("first") // written at an unknown time
	w.watchAnswered(2000)
	w.recordWrite("w")
	w.watchAnswered(6000)
	g.Expect(w.takeRecentlyWritten("w", 6000)).To(BeFalse())
	g.Expect(w.takeRecentlyWritten("first", 6000)).To(BeFalse())
}

func TestEntryRemovedInAnOutageWasNotRecentlyWritten(t *testing.T) {
	g := NewWithT(t)
	w := newEntryWrites(1500 * time.Millisecond)
	w.watchAnswered(1000)
	w.watchAnswered(2000)
	w.recordWrite("w")
	w.watchFailed()
	w.watchAnswered(2500)
	g.Expect(w.takeRecentlyWritten("w", 2500)).To(BeFalse())
}
