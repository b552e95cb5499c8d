package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against steps that stand still since others, for which there are no workers to ask about, use up what a
// plan may select.
func TestStepsWithoutTargetsDoNotHoldUpAdviceForOthers(t *testing.T) {
	f := newFixture(t, 4, nil)
	f.reportAll(4)
	f.pool.AddAdviser("host")
	for n := range 200 {
		r := jobWithAdviceTime(fmt.Sprintf("gang-%03d", n), 0, 5*time.Millisecond)
		r.Job.Steps[0].Gang, r.Job.Steps[0].Count = true, 5
		r.Job.Steps[0].Resources.CPUMillis = 3000
		f.add(r)
	}
	f.add(jobWithAdviceTime("small", 1, 40*time.Millisecond))
	asked := func() bool {
		for range 30 {
			f.advance(48 * time.Millisecond)
			f.reportAll(4)
			for _, a := range f.plan().AdviceCalls {
				if a.Step.Job == "small" {
					return true
				}
			}
		}
		return false
	}
	f.Expect(asked()).To(BeTrue(), "within 1.5 s")
}
