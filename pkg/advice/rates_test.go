package advice

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestRateFollowsTheAnswers(t *testing.T) {
	g, r := NewWithT(t), Rates{}
	g.Expect(r.Of("q")).To(Equal(initialRate))
	r.Update("q", 20, 20)
	g.Expect(r.Of("q")).To(BeNumerically("~", 0.575, 1e-9))
	r.Update("q", 0, 2)
	g.Expect(r.Of("q")).To(BeNumerically("~", 0.575*0.985, 1e-9), "an answer about few workers has less weight")
	for range 100 {
		r.Update("q", 0, 100)
	}
	g.Expect(r.Of("q")).To(Equal(minRate))
	g.Expect(r.Of("other")).To(Equal(initialRate))
}
