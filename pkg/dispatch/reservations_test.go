package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// gangNeedingWholeWorkers is a gang of n members that fill a worker each.
func gangNeedingWholeWorkers(n int) job.Step {
	return job.Step{Count: n, Gang: true, Resources: cell.Resources{CPUMillis: 4000, MemoryMB: 1000}, Estimate: time.Second}
}

// newWaitingGang returns a pool in which a gang waits that needs four workers; advice allows it exactly
// four.
func newWaitingGang(t *testing.T) *fixture {
	f := newFixture(t, 20, nil)
	f.reportAll(20)
	f.pool.AddAdviser("host")
	f.add(advisedJob("a", gangNeedingWholeWorkers(4)))
	f.pool.createOccurrence(f.pool.jobs["a"], 0)
	s := f.pool.jobs["a"].occurrences[0].steps[0]
	s.advice.allowed = map[WorkerID]bool{"w0": true, "w1": true, "w2": true, "w3": true}
	return f
}

func (f *fixture) reservationsFor(id job.ID) *reservations {
	r := newReservations()
	f.pool.updateLoads(f.now)
	f.pool.updateBacklogs()
	f.pool.reserveWorkers(f.pool.jobs[id].occurrences[0].steps[0], r, f.now)
	return r
}

func TestGangReservesWorkersFromLaterStepsOfItsPriority(t *testing.T) {
	f := newWaitingGang(t)
	r := f.reservationsFor("a")
	priority := testQueue.Priority
	reserved := 0
	for n := range 20 {
		if r.isReserved(workerID(n), priority) {
			reserved++
		}
	}
	f.Expect(reserved).To(Equal(3), "at most 15 percent of the workers")
	f.Expect(r.isReserved("w3", priority+1)).To(BeTrue(), "all workers that may run it are reserved from lower priorities")
	f.Expect(r.isReserved("w9", priority+1)).To(BeFalse())
}

func TestGangReservesNothingInAnOverloadedPool(t *testing.T) {
	f := newWaitingGang(t)
	f.add(advisedJob("b", testStep(60))) // with the gang 76 of 80 cores
	r := f.reservationsFor("a")
	f.Expect(r.isReserved("w0", testQueue.Priority)).To(BeFalse())
	f.Expect(r.isReserved("w0", testQueue.Priority+1)).To(BeTrue())
}

func TestOnlyFewGangsWithoutValueReserveWorkers(t *testing.T) {
	f := newWaitingGang(t)
	f.advance(time.Hour)
	f.reportAll(20)
	f.pool.updateLoads(f.now)
	r := newReservations()
	s := f.pool.jobs["a"].occurrences[0].steps[0]
	for range maxNoValueGangs + 1 {
		f.pool.reserveWorkers(s, r, f.now)
	}
	f.Expect(r.gangTotals("pool").noValueGangs).To(Equal(maxNoValueGangs))
	f.Expect(r.isReserved("w0", 0)).To(BeTrue())
}

func TestStepReservesOnlyTheWorkersWithRoomSoonest(t *testing.T) {
	f := newFixture(t, 4, nil)
	f.reportAll(4)
	f.pool.AddAdviser("host")
	f.add(advisedJob("a", testStep(2)))
	f.pool.jobs["a"].occurrences[0].steps[0].advice.allowed = map[WorkerID]bool{"w0": true, "w1": true, "w2": true}
	for n, estimate := range []time.Duration{time.Minute, time.Second, 2 * time.Second} {
		s := testStep(4)
		s.Estimate = estimate
		f.add(testJob(string(workerID(n)), s))
	}
	f.acceptAll()
	reserved := f.reservationsFor("a")
	f.Expect(reserved.priorities).To(HaveLen(2))
	for id := range reserved.priorities {
		busy := time.Duration(0)
		for _, r := range f.pool.workers[id].runs {
			busy = max(busy, r.timeLeft(f.now))
		}
		f.Expect(busy).To(BeNumerically("<=", 2*time.Second))
	}
}
