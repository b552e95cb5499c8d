package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// An owner that is replaced goes on with its authority. Its successor's process ends at once and starts again as
// the next owner, which does not know that the authority of the first one has ended
// (poolowner.Claim.PreviousAuthorityEnded).
func TestOwnerBeforeThePreviousOneMayStillExtendLeases(t *testing.T) {
	const restartTime = 600 * time.Millisecond
	for name, c := range map[string]struct {
		silent, other testIncarnation
		maxLease      time.Duration
	}{
		"unique names": {newTestIncarnation(0, 0, 0), newTestIncarnation(1, 0, 0), 10 * time.Second},
		"workers with incarnations, short leases": {firstIncarnation(0), firstIncarnation(1), 6 * time.Second},
		"workers with incarnations, long leases":  {firstIncarnation(0), firstIncarnation(1), 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			leases := func(c2 *Config) {
				withLongWorkerLeases(c2)
				c2.WorkerMaxLease = c.maxLease
			}
			first := newFixture(t, 0, leases)
			first.beginIncarnation(c.silent, Report{})
			first.outlastFirstReports(c.silent)
			first.add(testJob("a", testStep(1)))
			s := first.planOneStart()
			first.acceptFrom(s, c.silent)
			first.pollAndReport(c.silent, activeReport(s))

			third := newFixture(t, 0, func(cfg *Config) {
				afterPreviousOwner(cfg)
				leases(cfg)
			})
			replacedAt := first.now
			offset := first.now.Sub(third.now) + restartTime
			third.pool.UpsertWorker(c.silent.info(), false, third.now)
			third.beginIncarnation(c.other, Report{})
			record := testJob("a", testStep(1))
			record.Term = 1
			third.add(record)

			// The first owner acts for 2 s after it was replaced.
			for first.now.Sub(replacedAt) < 1900*time.Millisecond {
				first.advance(100 * time.Millisecond)
				first.pollAndReport(c.silent, activeReport(s))
			}
			hold := first.newPoll(c.silent, false)
			first.Expect(hold.Deadline).NotTo(BeZero())
			lapsesAt := first.now.Add(time.Duration(hold.Deadline-first.workerClock+c.silent.clockLag)*time.Millisecond - offset)
			third.expectNoStartWhile(lapsesAt, c.other)
		})
	}
}
