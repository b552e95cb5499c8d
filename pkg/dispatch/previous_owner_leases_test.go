package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A previous owner gave longer leases than this one, on a worker whose name is unique and that runs nothing when
// it reports.
func TestLongerLeaseOfAPreviousOwnerCoversLaterRuns(t *testing.T) {
	for name, incarnations := range map[string]bool{"unique names": false, "workers with incarnations": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0, func(c *Config) {
				afterPreviousOwner(c)
				c.LeaseDuration, c.MaxLeaseDuration, c.WorkerMaxLease = 3*time.Second, 8*time.Second, 10*time.Second
			})
			silent, other := newTestIncarnation(0, 0, 0), newTestIncarnation(1, 0, 0)
			if incarnations {
				silent, other = firstIncarnation(0), firstIncarnation(1)
			}
			f.beginIncarnation(other, Report{})
			f.beginIncarnation(silent, Report{})
			reportedAt := f.now
			f.cordonMachineOf(1)
			f.add(testJob("a", testStep(1)))
			s := f.planOneStart()
			f.Expect(s.Worker).To(Equal(silent.id))
			f.acceptFrom(s, silent)
			f.pool.SetCordoned(nil)
			f.expectNoStartWhile(reportedAt.Add(f.pool.cfg.MaxLeaseDuration-100*time.Millisecond), other)
		})
	}
}
