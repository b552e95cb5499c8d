package dispatch

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestExplanationTellsWhatAJobWaitsFor(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	second := testStep(1)
	second.After = []int{0}
	f.add(testJob("a", testStep(5), second))
	for _, s := range f.plan().Starts {
		f.accept(s)
	}
	e, ok := f.pool.Explain("a", f.now)
	f.Expect(ok).To(BeTrue())
	f.Expect(e.Steps[0].Runs).To(HaveLen(4))
	f.Expect(e.Steps[0].Waits).To(ContainSubstring("room for cpu=1000m"))
	f.Expect(e.Steps[1].Waits).To(Equal("steps [0]"))
	_, ok = f.pool.Explain("b", f.now)
	f.Expect(ok).To(BeFalse())
}

func TestExplanationTellsOfATakeover(t *testing.T) {
	f := newFixture(t, 2, afterFormerOwner)
	f.add(testJob("a", testStep(1)))
	f.report(0, Report{})
	f.plan()
	e, _ := f.pool.Explain("a", f.now)
	f.Expect(e.Blocked).To(ContainSubstring("former owner"))
}
