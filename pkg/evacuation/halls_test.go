package evacuation

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestHallsFollowTheOperator(t *testing.T) {
	g := NewWithT(t)
	h := New()
	g.Expect(h.Names()).To(BeEmpty())
	g.Expect(h.Put("b", 3)).To(BeTrue())
	g.Expect(h.Put("a", 4)).To(BeTrue())
	g.Expect(h.Put("a", 5)).To(BeFalse(), "requested once more")
	g.Expect(h.Names()).To(Equal([]string{"a", "b"}))
	g.Expect(h.Remove("b", 6)).To(BeTrue())
	g.Expect(h.Remove("c", 7)).To(BeFalse(), "never requested")
	g.Expect(h.Names()).To(Equal([]string{"a"}))
	g.Expect(h.Put("b", 8)).To(BeTrue(), "requested again after the withdrawal")
	g.Expect(h.Names()).To(Equal([]string{"a", "b"}))
}

func TestOutdatedChangesOfAHallAreIgnored(t *testing.T) {
	g := NewWithT(t)
	h := New()
	h.Put("a", 3)
	h.Remove("a", 9)
	g.Expect(h.Put("a", 3)).To(BeFalse())
	g.Expect(h.List(map[string]int64{"a": 3}, 8)).To(BeFalse())
	g.Expect(h.Names()).To(BeEmpty())
	h.Put("b", 12)
	g.Expect(h.List(nil, 11)).To(BeFalse(), "the list is older than the key")
	g.Expect(h.Names()).To(Equal([]string{"b"}))
}

// Guards against a hall that stays evacuated when a process missed the withdrawal, because the store was
// unavailable or had discarded that part of its history.
func TestHallThatIsNotListedIsNoLongerEvacuated(t *testing.T) {
	g := NewWithT(t)
	h := New()
	h.Put("a", 3)
	h.Put("b", 4)
	g.Expect(h.List(map[string]int64{"b": 4}, 20)).To(BeTrue())
	g.Expect(h.Names()).To(Equal([]string{"b"}))
	g.Expect(h.Put("a", 21)).To(BeTrue())
}
