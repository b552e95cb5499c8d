package dispatch

import (
	"slices"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	. "github.com/onsi/gomega"
)

// withLongWorkerLeases has workers accept leases that are longer than those that owners give.
func withLongWorkerLeases(c *Config) {
	c.LeaseDuration, c.MaxLeaseDuration, c.WorkerMaxLease = 5700*time.Millisecond, 5700*time.Millisecond, 10*time.Second
}

// expectNoStartUntil has an incarnation report that it has no runs, until the given time, and expects that no
// task starts meanwhile. After that, a task has to start.
func (f *fixture) expectNoStartUntil(until clock.Time, by testIncarnation, why string) {
	for f.now < until {
		f.advance(100 * time.Millisecond)
		f.pollAndReport(by, Report{})
		f.Expect(f.plan().Starts).To(BeEmpty(), "at %d: %s until %d", f.now, why, until)
		f.pool.ApplyCommit(f.pool.PrepareCommit())
	}
	f.advance(time.Second) // the worker's clock may run slow
	f.oneStartWithinOneSecond(by, Report{})
}

// Guards against a task that runs twice after a takeover: a hold of the previous owner for an earlier
// incarnation, with a deadline by that one's clock, has given its silent worker the longest lease.
func TestTakeoverWaitsForLeasesByTheClockOfAnEarlierIncarnation(t *testing.T) {
	f := newFixture(t, 0, func(c *Config) {
		afterPreviousOwner(c)
		withLongWorkerLeases(c)
	})
	previousOrdersUntil := f.now.Add(f.pool.cfg.AuthorityTerm)
	f.beginIncarnation(firstIncarnation(0), Report{})
	f.addEntry(secondIncarnation(1))
	f.add(testJob("a", testStep(1)))
	f.expectNoStartUntil(previousOrdersUntil.Add(f.pool.cfg.WorkerMaxLease), firstIncarnation(0), "the silent worker may have a run")
}

// Guards against a task that runs twice: before it answered this owner for the first time, a worker that
// then goes silent had received a deadline by the clock of an earlier incarnation.
func TestLeaseFromBeforeTheFirstReportMayOutlastTheOwnersOwn(t *testing.T) {
	for name, begin := range map[string]func(*fixture){
		"from a previous owner": func(f *fixture) { f.beginIncarnation(secondIncarnation(0), Report{}) },
		"for an incarnation that was replaced": func(f *fixture) {
			f.beginIncarnation(firstIncarnation(0), Report{})
			f.answerPoll(f.newPoll(firstIncarnation(0), false), secondIncarnation(0), Report{})
			f.advance(1500 * time.Millisecond)
			f.beginIncarnation(secondIncarnation(0), Report{})
		},
		"for an incarnation that was forgotten": func(f *fixture) {
			f.beginIncarnation(firstIncarnation(0), Report{})
			f.removeEntry(firstIncarnation(0))
			for len(f.pool.Workers()) > 1 {
				f.advance(100 * time.Millisecond)
				f.pollAndReport(firstIncarnation(1), Report{})
				f.plan()
			}
			f.beginIncarnation(secondIncarnation(0), Report{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0, func(c *Config) {
				withLongWorkerLeases(c)
				if name == "from a previous owner" {
					afterPreviousOwner(c)
				}
			})
			f.beginIncarnation(firstIncarnation(1), Report{})
			begin(f)
			reportedAt := f.now
			f.pollAndReport(secondIncarnation(0), Report{})
			f.cordonMachineOf(1)
			f.add(testJob("a", testStep(1)))
			s := f.planOneStart()
			f.Expect(s.Worker).To(Equal(secondIncarnation(0).id))
			f.acceptFrom(s, secondIncarnation(0))
			f.pool.SetCordoned(nil)
			f.expectNoStartUntil(reportedAt.Add(f.pool.cfg.WorkerMaxLease-50*time.Millisecond), firstIncarnation(1), "the silent worker may have the run")
		})
	}
}

// longLeaseSeeds are seeds of such histories that violate an invariant if a takeover counts only the leases
// that owners give.
var longLeaseSeeds = []uint64{120}

// Simulates histories in which workers restart under their names and accept leases that are longer than those
// that owners give: a late hold, with a deadline by the clock of an earlier incarnation, may give such a lease.
func TestInvariantsHoldWhenWorkersAcceptLongLeases(t *testing.T) {
	t.Parallel()
	simulateSeeds(t, append(slices.Clone(longLeaseSeeds), selectSeeds(t, fifthOfSeeds)...), func(w *world) {
		w.workersRestart, w.longLeases, w.maxLease = true, true, longRunTime
	})
}
