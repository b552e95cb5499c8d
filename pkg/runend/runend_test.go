package runend

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	. "github.com/onsi/gomega"
)

const begun = clock.Time(1000)

// Guards against an end that is predicted from too little progress, or from the progress that a
// checkpoint brought.
func TestEndIsPredictedFromSpeedSinceFirstReport(t *testing.T) {
	now := begun.Add(4 * time.Second)
	for name, c := range map[string]struct {
		first, last int
		timeLeft    time.Duration
	}{
		"too little progress": {0, 4, 6 * time.Second},
		"no progress":         {50, 50, 6 * time.Second},
		"a fifth":             {0, 20, 6 * time.Second},
		"with a checkpoint":   {60, 80, 0},
		"should have ended":   {50, 90, -1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var p Progress
			p.Start(begun)
			p.Update(c.first, begun.Add(time.Second))
			p.Update(c.last, begun.Add(2*time.Second))
			NewWithT(t).Expect(p.TimeLeft(10*time.Second, begun, now)).To(Equal(c.timeLeft))
		})
	}
}

// Guards against a step that waits for ever for the room of a run that makes no progress.
func TestLongOverdueRunIsNotExpectedToEndSoon(t *testing.T) {
	g := NewWithT(t)
	g.Expect(EndsWithin(time.Second, time.Second)).To(BeTrue())
	g.Expect(EndsWithin(time.Second+1, time.Second)).To(BeFalse())
	g.Expect(EndsWithin(-maxOverdue+1, time.Second)).To(BeTrue())
	g.Expect(EndsWithin(-maxOverdue, time.Second)).To(BeFalse())
}

// Guards against room that is expected before enough runs have ended, or where there will never be any.
func TestTimeUntilRoom(t *testing.T) {
	g := NewWithT(t)
	cores := func(n int64) cell.Resources { return cell.Resources{CPUMillis: 1000 * n} }
	ends := []ExpectedEnd{{3 * time.Second, cores(1)}, {time.Second, cores(1)}}
	g.Expect(TimeUntilRoom(cores(1), cores(1), ends)).To(BeZero())
	g.Expect(TimeUntilRoom(cores(2), cores(1), ends)).To(Equal(time.Second))
	g.Expect(TimeUntilRoom(cores(3), cores(1), ends)).To(Equal(3 * time.Second))
	g.Expect(TimeUntilRoom(cores(4), cores(1), ends)).To(Equal(Never))
}
