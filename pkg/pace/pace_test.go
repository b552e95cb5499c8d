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
		"down":                    {Down, 100, 40, start},
		"down to a standstill":    {Down, 2, 0, start},
		"no faster":               {NoFaster, 100, start, start},
		"no faster, slow already": {NoFaster, 10, 10, start},
		"up":                      {Up, 30, 45, Full},
		"up to full pace":         {Up, 90, Full, Full},
		"nothing is served":       {ToFull, 10, Full, Full},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(test.change.Of(test.present)).To(Equal(test.want))
			g.Expect(test.change.First()).To(Equal(test.first))
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
	g.Expect(decide(0.9, 0)).To(Equal(Down))
	g.Expect(decide(0.7, time.Second)).To(Equal(NoFaster))
	g.Expect(decide(0.3, time.Second)).To(Equal(Keep), "it has just become calm")
	g.Expect(decide(0.3, calmFor/2)).To(Equal(Keep))
	g.Expect(decide(0.3, calmFor/2)).To(Equal(Up))
	g.Expect(decide(0.3, calmFor/2)).To(Equal(Keep), "a step a time")
	g.Expect(decide(0.7, 0)).To(Equal(NoFaster))
	g.Expect(decide(0.3, calmFor)).To(Equal(Keep), "the calm begins anew")
}
