package worth

import (
	"slices"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	. "github.com/onsi/gomega"
)

func TestStanding(t *testing.T) {
	const objective, latest = clock.Time(10_000), clock.Time(30_000)
	batch := Work{Objective: objective, LatestUsefulEnd: latest, ReadySince: 1}
	beyond, lasts, both := batch, batch, batch
	beyond.OverShare, lasts.LongRunning = true, true
	both.OverShare, both.LongRunning = true, true
	for name, test := range map[string]struct {
		work Work
		now  clock.Time
		want ValueClass
	}{
		"in time":                        {batch, objective, InTime},
		"late":                           {batch, objective + 1, Late},
		"late at the end":                {batch, latest, Late},
		"too late":                       {batch, latest + 1, NoValue},
		"beyond and in time":             {beyond, objective, OverShare},
		"beyond and late":                {beyond, latest, OverShare},
		"beyond and too late":            {beyond, latest + 1, NoValue},
		"lasts":                          {lasts, lasts.ReadySince.Add(MaxServiceWait), InTime},
		"lasts and was away":             {lasts, lasts.ReadySince.Add(MaxServiceWait + time.Millisecond), Overdue},
		"lasts and was away, beyond":     {both, latest + 1, Overdue},
		"lasts, and beyond is no matter": {both, both.ReadySince, InTime},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(test.work.ValueClass(test.now)).To(Equal(test.want))
		})
	}
}

func TestLatestStart(t *testing.T) {
	g := NewWithT(t)
	w := Work{Objective: 1000, ChainEstimate: 300 * time.Millisecond, ReadySince: 5}
	g.Expect(w.LatestStart()).To(Equal(clock.Time(1000).Add(-300 * time.Millisecond)))
	w.LongRunning = true
	g.Expect(w.LatestStart()).To(Equal(clock.Time(5)))
}

func TestOrder(t *testing.T) {
	want := []Rank{
		{Overdue, 3, 9, 9}, {InTime, 0, 5, 1}, {InTime, 0, 6, 2}, {InTime, 0, 6, 3}, {InTime, 1, 1, 0}, {Late, 0, 0, 4}, {OverShare, 0, 0, 5}, {NoValue, 0, 0, 6},
	}
	got := slices.Clone(want)
	slices.Reverse(got)
	slices.SortFunc(got, Rank.Compare)
	NewWithT(t).Expect(got).To(Equal(want))
}

// The standing that is foretold to last is the one that each moment has, and the next one is another.
func TestStandingChanges(t *testing.T) {
	batch := Work{Objective: 500, LatestUsefulEnd: 1500, ReadySince: 100}
	beyond, lasts, over := batch, batch, batch
	beyond.OverShare, lasts.LongRunning = true, true
	over.Objective, over.LatestUsefulEnd = 10, 30
	for name, w := range map[string]Work{"batch": batch, "beyond": beyond, "lasts": lasts, "objective before it was ready": over} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for now := clock.Time(0); now < 2000; now += 7 {
				changes := w.NextClassChange(now)
				g.Expect(changes).To(BeNumerically(">", now))
				for at := now; at < min(changes, 2000); at++ {
					g.Expect(w.ValueClass(at)).To(Equal(w.ValueClass(now)))
				}
				if changes != NoChange {
					g.Expect(w.ValueClass(changes)).NotTo(Equal(w.ValueClass(now)))
				}
			}
		})
	}
}
