package taskset

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
)

// Compares a set with a map, for numbers that are added in random order, one by one and as intervals.
func TestSetHasWhatWasAdded(t *testing.T) {
	const numbers = 6 * SegmentSize
	for seed := range uint64(20) {
		g := NewWithT(t)
		r := rand.New(rand.NewPCG(seed, 0))
		var s Set
		want := map[int64]bool{}
		for range 40 + r.IntN(2000) {
			from := r.Int64N(numbers)
			i := Interval{from, from + 1}
			if r.IntN(100) == 0 {
				i.To = min(numbers, from+1+r.Int64N(3*SegmentSize))
				s.AddInterval(i)
			} else {
				s.Add(from)
			}
			for n := i.From; n < i.To; n++ {
				want[n] = true
			}
		}
		expectSet(g, &s, want, numbers, r)
	}
}

func expectSet(g *WithT, s *Set, want map[int64]bool, numbers int64, r *rand.Rand) {
	g.Expect(s.Len()).To(BeEquivalentTo(len(want)))
	var members []int64
	for i := range s.Intervals() {
		g.Expect(s.Contains(i.To)).To(BeFalse(), "the intervals are the longest ones")
		for n := i.From; n < i.To; n++ {
			members = append(members, n)
		}
	}
	g.Expect(members).To(HaveLen(len(want)))
	g.Expect(slices.IsSorted(members)).To(BeTrue())
	for n := range numbers {
		g.Expect(s.Contains(n)).To(Equal(want[n]), "%d", n)
		next := n
		for want[next] {
			next++
		}
		g.Expect(s.NextAbsent(n)).To(Equal(next))
	}
	for range 20 {
		from := r.Int64N(numbers)
		to := from + r.Int64N(numbers-from+1)
		var count int64
		for n := from; n < to; n++ {
			if want[n] {
				count++
			}
		}
		g.Expect(s.Count(from, to)).To(Equal(count), "[%d, %d)", from, to)
	}
}

// Guards against memory or time that depend on the numbers and not on the gaps between them.
func TestSetOfManyNumbersIsSmall(t *testing.T) {
	g := NewWithT(t)
	var s Set
	s.AddInterval(Interval{3, 1 << 60})
	g.Expect(s.CompleteSegments()).To(HaveLen(1))
	g.Expect(s.PartialSegments()).To(HaveLen(1))
	g.Expect(s.NextAbsent(5)).To(BeEquivalentTo(1 << 60))
	g.Expect(s.Count(0, 1<<61)).To(BeEquivalentTo(1<<60 - 3))
	for n := range int64(3) {
		s.Add(n)
	}
	g.Expect(s.PartialSegments()).To(BeEmpty())
	g.Expect(slices.Collect(s.Intervals())).To(Equal([]Interval{{0, 1 << 60}}))
}

func TestIntervalJSON(t *testing.T) {
	g := NewWithT(t)
	text, err := json.Marshal([]Interval{{0, 2}, {5, 9}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(text)).To(Equal("[[0,2],[5,9]]"))
	var got []Interval
	g.Expect(json.Unmarshal(text, &got)).To(Succeed())
	g.Expect(got).To(Equal([]Interval{{0, 2}, {5, 9}}))
	for _, bad := range []string{"[[2,2]]", "[[-1,2]]", `[["a",2]]`, "[3]"} {
		g.Expect(json.Unmarshal([]byte(bad), &got)).NotTo(Succeed(), bad)
	}
}
