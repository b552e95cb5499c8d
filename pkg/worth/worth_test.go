package worth

import (
	"slices"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	. "github.com/onsi/gomega"
)

func TestValueClass(t *testing.T) {
	const objective, latest = clock.Time(10_000), clock.Time(30_000)
	batch := Work{Objective: objective, LatestUsefulEnd: latest, ReadySince: 1}
	overShare, longRunning, both := batch, batch, batch
	overShare.OverShare, longRunning.LongRunning = true, true
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
		"over share, in time":            {overShare, objective, OverShare},
		"over share, late":               {overShare, latest, OverShare},
		"over share, too late":           {overShare, latest + 1, NoValue},
		"long-running":                   {longRunning, longRunning.ReadySince.Add(MaxServiceWait), InTime},
		"long-running, not run for long": {longRunning, longRunning.ReadySince.Add(MaxServiceWait + time.Millisecond), Overdue},
		"both, not run for long":         {both, latest + 1, Overdue},
		"both":                           {both, both.ReadySince, InTime},
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

func TestRankOrder(t *testing.T) {
	want := []Rank{
		{Overdue, 3, 9, 9}, {InTime, 0, 5, 1}, {InTime, 0, 6, 2}, {InTime, 0, 6, 3}, {InTime, 1, 1, 0}, {Late, 0, 0, 4}, {OverShare, 0, 0, 5}, {NoValue, 0, 0, 6},
	}
	got := slices.Clone(want)
	slices.Reverse(got)
	slices.SortFunc(got, Rank.Compare)
	NewWithT(t).Expect(got).To(Equal(want))
}

// The class stays the same until the time of the change, and is another one then.
func TestNextClassChange(t *testing.T) {
	batch := Work{Objective: 500, LatestUsefulEnd: 1500, ReadySince: 100}
	overShare, longRunning, readyLate := batch, batch, batch
	overShare.OverShare, longRunning.LongRunning = true, true
	readyLate.Objective, readyLate.LatestUsefulEnd = 10, 30
	for name, w := range map[string]Work{"batch": batch, "over share": overShare, "long-running": longRunning, "objective before it was ready": readyLate} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for now := clock.Time(0); now < 2000; now += 7 {
				change := w.NextClassChange(now)
				g.Expect(change).To(BeNumerically(">", now))
				for at := now; at < min(change, 2000); at++ {
					g.Expect(w.ValueClass(at)).To(Equal(w.ValueClass(now)))
				}
				if change != NoChange {
					g.Expect(w.ValueClass(change)).NotTo(Equal(w.ValueClass(now)))
				}
			}
		})
	}
}
