package pace

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	. "github.com/onsi/gomega"
)

func TestChanges(t *testing.T) {
	for name, test := range map[string]struct {
		change                 Change
		present, want, initial int
	}{
		"keep":                      {Keep, 55, 55, Full},
		"slow down":                 {SlowDown, 100, 40, initialPace},
		"slow down to a standstill": {SlowDown, 2, 0, initialPace},
		"cap":                       {CapAtInitial, 100, initialPace, initialPace},
		"cap, slow already":         {CapAtInitial, 10, 10, initialPace},
		"speed up":                  {SpeedUp, 30, 45, Full},
		"speed up to full pace":     {SpeedUp, 90, Full, Full},
		"no task serves":            {ResetToFull, 10, Full, Full},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(test.change.Apply(test.present)).To(Equal(test.want))
			g.Expect(test.change.Initial()).To(Equal(test.initial))
		})
	}
}

func TestFillersSpeedUpWhenTailsHaveBeenLow(t *testing.T) {
	g := NewWithT(t)
	now := clock.Time(1000)
	var c Control
	decide := func(share float64, later time.Duration) Change {
		now = now.Add(later)
		return c.Decide(share, now)
	}
	g.Expect(decide(0.9, 0)).To(Equal(SlowDown))
	g.Expect(decide(0.7, time.Second)).To(Equal(CapAtInitial))
	g.Expect(decide(0.3, time.Second)).To(Equal(Keep), "the tail has just become low")
	g.Expect(decide(0.3, lowTailTime/2)).To(Equal(Keep))
	g.Expect(decide(0.3, lowTailTime/2)).To(Equal(SpeedUp))
	g.Expect(decide(0.3, lowTailTime/2)).To(Equal(Keep), "one step per lowTailTime")
	g.Expect(decide(0.7, 0)).To(Equal(CapAtInitial))
	g.Expect(decide(0.3, lowTailTime)).To(Equal(Keep), "the time of a low tail begins anew")
}
