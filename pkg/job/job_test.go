package job

import (
	"math"
	"strings"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	. "github.com/onsi/gomega"
)

// Guards against a late occurrence whose due time overflows, so that it counts as due long ago.
func TestDueTimesDoNotOverflow(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1_700_000_000, 0)
	s := Schedule{Repeat: math.MaxInt, Start: start, Interval: time.Second}
	last := start
	for k := 1; k > 0 && k < math.MaxInt/2; k *= 3 {
		g.Expect(s.DueAt(k).Before(last)).To(BeFalse(), "occurrence %d", k)
		last = s.DueAt(k)
	}
	g.Expect(s.DueAt(60)).To(Equal(start.Add(time.Minute)))
	g.Expect(s.DueAt(math.MaxInt).Sub(start)).To(Equal(time.Duration(math.MaxInt64)))
}

func TestValidateNamesFieldAndBound(t *testing.T) {
	g := NewWithT(t)
	for want, j := range map[string]Job{
		"spec: want at most 4000 bytes, not 4001": {Spec: strings.Repeat("x", 4001), Steps: []Step{{Count: 1}}},
		"steps: a job has at least one step":      {},
		"steps[0].count: want 1 or more, not -1":  {Steps: []Step{{Count: -1}}},
		"steps[1].after: 1 is not an earlier":     {Steps: []Step{{Count: 1}, {Count: 1, After: []int{1}}}},
	} {
		g.Expect(j.Validate()).To(MatchError(ContainSubstring(want)))
	}
	largest := Job{Spec: strings.Repeat("x", 4000), Steps: []Step{{Count: 48}}, Schedule: Schedule{Repeat: 1200, Interval: 50 * time.Millisecond}}
	g.Expect(largest.Validate()).To(Succeed())
}

// Guards against records that are many times larger than the request, so that the store does not take jobs that
// hosts can serve.
func TestRecordIsNotMuchLargerThanTheRequest(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		step         Step
		requestBytes int // of the step in a request
	}{
		{Step{Count: 1}, len(`{"count":1},`)},
		{Step{Count: 1, Resources: cell.Resources{Accelerators: 1}}, len(`{"count":1,"gpu":1},`)},
		{Step{Count: 1, Image: strings.Repeat("<", 1000)}, len(`{"count":1,"image":""},`) + 1000},
	} {
		r := Record{Job: Job{Steps: make([]Step, 2000)}}
		for i := range r.Job.Steps {
			r.Job.Steps[i] = c.step
		}
		text, err := r.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(text)).To(BeNumerically("<", 4*2000*c.requestBytes))
		decoded, err := DecodeRecord(text)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(decoded).To(Equal(r))
	}
}
