package pace

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	. "github.com/onsi/gomega"
)

func TestChanges(t *testing.T) {
	for name, test := range map[string]struct {
		change               Change
		present, want, first int
	}{
		"keep":                    {Keep, 55, 55, Full},
		"down":                    {SlowDown, 100, 40, initialPace},
		"down to a standstill":    {SlowDown, 2, 0, initialPace},
		"no faster":               {CapAtInitial, 100, initialPace, initialPace},
		"no faster, slow already": {CapAtInitial, 10, 10, initialPace},
		"up":                      {SpeedUp, 30, 45, Full},
		"up to full pace":         {SpeedUp, 90, Full, Full},
		"nothing is served":       {ResetToFull, 10, Full, Full},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(test.change.Apply(test.present)).To(Equal(test.want))
			g.Expect(test.change.Initial()).To(Equal(test.first))
		})
	}
}

func TestFillersGoFasterWhenTailsHaveBeenLow(t *testing.T) {
	g := NewWithT(t)
	now := clock.Time(1000)
	var c Control
	decide := func(share float64, later time.Duration) Change {
		now = now.Add(later)
		return c.Decide(share, now)
	}
	g.Expect(decide(0.9, 0)).To(Equal(SlowDown))
	g.Expect(decide(0.7, time.Second)).To(Equal(CapAtInitial))
	g.Expect(decide(0.3, time.Second)).To(Equal(Keep), "it has just become calm")
	g.Expect(decide(0.3, lowTailTime/2)).To(Equal(Keep))
	g.Expect(decide(0.3, lowTailTime/2)).To(Equal(SpeedUp))
	g.Expect(decide(0.3, lowTailTime/2)).To(Equal(Keep), "a step a time")
	g.Expect(decide(0.7, 0)).To(Equal(CapAtInitial))
	g.Expect(decide(0.3, lowTailTime)).To(Equal(Keep), "the calm begins anew")
}
