package cell

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a sum of large amounts that becomes negative.
func TestSumsOfLargeAmountsAreBounded(t *testing.T) {
	g := NewWithT(t)
	for _, amount := range []int64{MaxPerWorker, maxAmount, math.MaxInt64} {
		r := Resources{amount, amount, amount}
		sum := r
		for range 100 {
			sum = sum.Add(r)
			g.Expect(sum.CPUMillis).To(And(BeNumerically(">", MaxPerWorker), BeNumerically("<=", maxAmount)), "sums of %d", amount)
			g.Expect(sum).To(Equal(Resources{sum.CPUMillis, sum.CPUMillis, sum.CPUMillis}))
		}
		g.Expect(Resources{CPUMillis: 1000}.DominantShare(sum)).To(And(BeNumerically(">", 0), BeNumerically("<", 1)))
	}
	g.Expect(Resources{CPUMillis: 5}.Add(Resources{CPUMillis: -7, MemoryMB: -1})).To(Equal(Resources{CPUMillis: -2, MemoryMB: -1}))
}

func TestResourcesOutOfRange(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Resources{MaxPerWorker, MaxPerWorker, MaxPerWorker}.Validate()).To(Succeed())
	for _, r := range []Resources{{CPUMillis: -1}, {MemoryMB: MaxPerWorker + 1}, {Accelerators: math.MaxInt64}, {MemoryMB: math.MinInt64}} {
		g.Expect(r.Validate()).To(MatchError(ContainSubstring(r.String())))
	}
}
