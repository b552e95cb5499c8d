package poolowner

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an owner that makes no plan for seconds after its process was stopped during one.
func TestPlanThatTookSecondsDoesNotPausePlanningForLonger(t *testing.T) {
	g := NewWithT(t)
	o, _ := newOwnerWithMembers(t, 0, sufficientStrength)
	g.Expect(o.pauseAfterPlan(4 * time.Second)).To(Equal(maxPlanPause))
	g.Expect(o.pauseAfterPlan(20 * time.Millisecond)).To(Equal(40 * time.Millisecond))
	g.Expect(o.pauseAfterPlan(0)).To(Equal(minPlanPause))
}
