package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A start and a hold for the first incarnation are held back. The next one carries out the start, which ends as its end
// 1, and then the hold, which acknowledges the ends of the first one up to 7, so that end 1 is forgotten unread.
func TestLateHoldDoesNotAcknowledgeTheEndOfALateStart(t *testing.T) {
	for name, holdFirst := range map[string]bool{"the hold is sent before the start": true, "the hold is sent after the start": false} {
		t.Run(name, func(t *testing.T) {
			f := newIncarnationFixture(t, 2, nil)
			f.cordonMachineOf(1)
			f.completeOnFirst("b")
			f.pollAndReport(firstIncarnation(0), Report{})
			var hold PollOrder
			if holdFirst {
				hold = f.newPoll(firstIncarnation(0), false)
			}
			f.add(testJob("a", testStep(1)))
			s := f.planOneStart()
			if !holdFirst {
				hold = f.newPoll(firstIncarnation(0), false)
			}
			f.advance(160 * time.Millisecond)
			f.failStart(s)
			f.pool.HandlePollFailure(hold.Worker, f.now)
			forgotten := hold.Token >= s.Token && hold.AckedEnd >= 1
			f.advance(time.Second)
			report := f.endReport(s, 1, EndDone)
			if forgotten {
				report = Report{}
			}
			f.beginIncarnation(secondIncarnation(0), report)
			starts := f.startsWithinOneSecond(secondIncarnation(0), report)
			f.Expect(starts).To(BeEmpty(), "the task has ended as done, and the end was acknowledged by a hold up to %d", hold.AckedEnd)
		})
	}
}
