package customer

import (
	"math/rand/v2"
	"testing"

	"foldarch.dev/foldarch/pkg/clock"
	. "github.com/onsi/gomega"
)

// overShareFraction returns the fraction of a customer's jobs that exceed its weight, with random
// arrivals at a rate for a minute.
func overShareFraction(weight, perSecond float64) float64 {
	r := rand.New(rand.NewPCG(1, 1))
	var x Rate
	overShare, all := 0, 0
	for at := 0.0; at < 60; at += r.ExpFloat64() / perSecond {
		all++
		if x.RecordArrival(weight, clock.Time(1000+at*1000)) {
			overShare++
		}
	}
	return float64(overShare) / float64(all)
}

func TestJobsOverTheShare(t *testing.T) {
	g := NewWithT(t)
	g.Expect(overShareFraction(0, 100)).To(BeZero(), "a weight of 0 is no limit")
	for _, weight := range []float64{2, 50} {
		g.Expect(overShareFraction(weight, weight/1.9)).To(BeNumerically("<", 0.02), "the usual rate")
		g.Expect(overShareFraction(weight, 4*weight)).To(BeNumerically("~", 0.75, 0.05), "four times the weight")
	}
}
