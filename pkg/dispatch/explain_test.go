package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"

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

// A step that waits for long in a pool with room is told of with its reason; not one whose job runs, nor while the pool is busy.
func TestLongWaitsAreTold(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.reportAll(2)
	f.add(adviceJob("waits", 0, 100*time.Millisecond)) // there is no host to make the call
	f.add(testJob("runs", testStep(1)))
	for _, s := range f.plan().Starts {
		f.accept(s)
	}
	f.Expect(f.pool.LongWaits(3*time.Second, 5, f.now)).To(BeEmpty())
	f.pass(3 * time.Second)
	waits := f.pool.LongWaits(3*time.Second, 5, f.now)
	f.Expect(waits).To(HaveLen(1))
	f.Expect(waits[0].Step.Job).To(Equal(job.ID("waits")))
	f.Expect(waits[0].Waits).To(Equal("a call for advice (0 of 0 hosts are free)"))
	f.Expect(f.pool.LongWaits(3*time.Second, 0, f.now)).To(BeEmpty())
}
