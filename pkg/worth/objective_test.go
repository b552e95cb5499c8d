package worth

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

func TestDeadlines(t *testing.T) {
	for name, test := range map[string]struct {
		extension         float64
		target            time.Duration
		objective, latest clock.Time
	}{
		"the estimate alone":           {1, 0, 3000, 7000},
		"an extension":                 {1.5, 0, 4000, 10_000},
		"with a target":                {1.5, 500 * time.Millisecond, 4500, 11_500},
		"an extension of at least one": {0, time.Second, 4000, 10_000},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			objective, latest := Deadlines(1000, 2*time.Second, test.extension, test.target)
			g.Expect(objective).To(Equal(test.objective))
			g.Expect(latest).To(Equal(test.latest))
		})
	}
}

func TestChainEstimates(t *testing.T) {
	steps := []job.Step{
		{Estimate: time.Second},
		{Estimate: 2 * time.Second, After: []int{0}},
		{Estimate: 5 * time.Second, After: []int{0}},
		{Estimate: time.Second, After: []int{1, 2}},
		{Estimate: 3 * time.Second},
	}
	g := NewWithT(t)
	g.Expect(ChainEstimates(steps, 0)).To(Equal([]time.Duration{7 * time.Second, 3 * time.Second, 6 * time.Second, time.Second, 3 * time.Second}))
	g.Expect(ChainEstimates(steps, time.Second)).To(Equal([]time.Duration{10 * time.Second, 5 * time.Second, 8 * time.Second, 2 * time.Second, 4 * time.Second}))
}
