package advice

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/queue"
	. "github.com/onsi/gomega"
)

func TestProbabilityAtLeast(t *testing.T) {
	for _, c := range []struct {
		k, n int
		rate float64
		want float64
	}{
		{0, 3, 0.5, 1}, {1, 1, 0.3, 0.3}, {2, 2, 0.5, 0.25}, {1, 2, 0.5, 0.75}, {3, 2, 0.9, 0}, {2, 3, 1, 1},
	} {
		NewWithT(t).Expect(probabilityAtLeast(c.k, c.n, c.rate)).To(BeNumerically("~", c.want, 1e-9), "%+v", c)
	}
}

func TestSufficientCount(t *testing.T) {
	g := NewWithT(t)
	g.Expect(SufficientCount([]int{2, 2, 2}, 3, 100)).To(Equal(2))
	g.Expect(SufficientCount([]int{2, 2, 2}, 3, 1)).To(Equal(1))
	g.Expect(SufficientCount(nil, 3, 100)).To(Equal(0))
}

func TestCheapestCount(t *testing.T) {
	rooms := []int{2, 2, 2, 2, 2, 2, 2, 2}
	long := queue.AdviceCost{Base: 400 * time.Millisecond, PerWorker: 6 * time.Millisecond}
	each := queue.AdviceCost{PerWorker: 300 * time.Millisecond}
	for name, test := range map[string]struct {
		prices     Prices
		need, rate float64
		known      int
		want       int
		suffices   float64
	}{
		"nothing is needed":                      {Prices{long, 4, 2}, 0, 0.3, 0, 0, 1},
		"the fixed time is long":                 {Prices{long, 4, 2}, 3, 0.3, 0, 8, 0.7447},
		"each worker takes long":                 {Prices{each, 4, 1}, 1, 0.3, 0, 1, 0.3},
		"all are allowed":                        {Prices{long, 4, 2}, 3, 1, 0, 2, 1},
		"known workers take up room in the call": {Prices{long, 4, 1}, 3, 0.3, 97, 3, 0.216},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			got, suffices := test.prices.CheapestCount(rooms, test.need, test.rate, test.known)
			g.Expect(got).To(Equal(test.want))
			g.Expect(suffices).To(BeNumerically("~", test.suffices, 1e-3))
		})
	}
}

func TestCallSizeDependsOnIdleProcesses(t *testing.T) {
	g := NewWithT(t)
	cost := queue.AdviceCost{Base: 50 * time.Millisecond, PerWorker: 10 * time.Millisecond}
	g.Expect(Prices{cost, 1, 8}.WorkersPerCall(40)).To(Equal(20), "in two calls")
	g.Expect(Prices{cost, 16, 8}.WorkersPerCall(40)).To(Equal(5), "in eight")
	g.Expect(Prices{cost, 16, 1}.WorkersPerCall(40)).To(Equal(40), "in one, since no more may be sent")
	g.Expect(Prices{cost, 16, 8}.CallTime(40)).To(Equal(100 * time.Millisecond))
	g.Expect(Prices{cost, 1, 2}.WorkersPerCall(1000)).To(Equal(MaxWorkersPerCall), "no call asks about more")
}
