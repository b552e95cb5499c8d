package advice

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a backlog of long calls that goes before short ones which wait for many times their length.
func TestStarvingStepsOfABacklogComeByResponseRatio(t *testing.T) {
	g := NewWithT(t)
	var s Starving
	s.Add(0, 2*time.Second, time.Second, false)
	s.Add(1, 1500*time.Millisecond, 10*time.Millisecond, false)
	s.Add(2, 2*time.Second, time.Second, false)
	s.Add(3, time.Second, time.Second, true)
	for _, want := range []int{3, 1, 0, 2} {
		place, ok := s.Next()
		g.Expect(ok).To(BeTrue())
		g.Expect(place).To(Equal(want))
	}
	_, ok := s.Next()
	g.Expect(ok).To(BeFalse())
}
