package advice

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/queue"
	. "github.com/onsi/gomega"
)

func TestRoundsFollowFinishedSteps(t *testing.T) {
	g, r := NewWithT(t), Rounds{}
	g.Expect(r.Of("q")).To(Equal(1.0))
	r.Update("q", 3*time.Second, time.Second)
	g.Expect(r.Of("q")).To(BeNumerically("~", 1.2, 1e-9))
	g.Expect(r.Of("other")).To(Equal(1.0))
}

func TestRoundTime(t *testing.T) {
	cost := queue.AdviceCost{Base: 100 * time.Millisecond, PerWorker: 10 * time.Millisecond}
	for name, test := range map[string]struct {
		tasks   int
		rate    float64
		workers int
		want    time.Duration
	}{
		"as many as the rate asks for": {3, 0.5, 100, 160 * time.Millisecond},
		"no more than there are":       {30, 0.5, 20, 300 * time.Millisecond},
		"at least one":                 {1, 1, 0, 110 * time.Millisecond},
		"in two calls":                 {75, 0.5, 1000, 1700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(RoundTime(cost, test.tasks, test.rate, test.workers)).To(Equal(test.want))
		})
	}
}
