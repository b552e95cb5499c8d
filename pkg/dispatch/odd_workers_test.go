package dispatch

import (
	"math"
	"testing"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/customer"
	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// Guards against a listed run of an absent job whose task has a large number: the owner made a step for each
// number below it.
func TestListedRunOfALargeStepNumberIsStopped(t *testing.T) {
	for _, step := range []int{math.MaxInt, 1 << 40} {
		f := newFixture(t, 1, nil)
		task := job.TaskID{StepID: job.StepID{Job: "absent", Time: math.MaxInt, Step: step}, Index: math.MaxInt}
		listed := Report{Active: []ActiveRun{{Task: task, Run: 1}}}
		f.report(0, listed)
		f.pool.MarkJobAbsent("absent")
		f.report(0, listed)
		stops := f.plan().Stops
		f.Expect(stops).To(HaveLen(1))
		f.Expect(stops[0].Task).To(Equal(task))
	}
}

// Two workers of the largest capacity that an entry may have, beside ordinary ones. Guards against sums over the
// pool that overflow, so that the pool counts as full or as empty.
func TestLargestCapacitiesOverflowNoSum(t *testing.T) {
	for _, amount := range []int64{cell.MaxPerWorker, math.MaxInt64} {
		f := newFixture(t, 4, func(c *Config) { c.HasPreviousOwner, c.Term, c.Token = true, 2, nextOwnerToken })
		for n := range 2 {
			info := f.pool.workers[workerID(n)].info
			info.Capacity = cell.Resources{CPUMillis: amount, MemoryMB: amount, Accelerators: amount}
			f.pool.UpsertWorker(info, true, f.now)
		}
		r := testJob("a", testStep(40))
		r.Customer = customer.Customer{Name: "c", Weight: 1, Quota: cell.Resources{CPUMillis: 8000}}
		f.add(r)
		f.plan()
		a := f.pool.accounts["c"]
		f.Expect(a.Unreported().CPUMillis).To(BeNumerically(">", 0), "workers that have not reported may run something of the customer")
		f.reportAll(4)
		f.pool.loadsUpdatedAt = 0
		f.Expect(f.plan().Starts).NotTo(BeEmpty())
		l := f.pool.poolLoad("pool")
		f.Expect(l.capacity.CPUMillis).To(BeNumerically(">=", min(amount, 1<<60)))
		f.Expect(l.isMostlyUsed()).To(BeFalse())
		f.Expect(l.isOverloaded()).To(BeFalse())
		f.Expect(a.Used().CPUMillis).To(BeNumerically("<=", 8000), "the quota holds")
		status := f.pool.Status(f.now)
		f.Expect(status.Capacity.CPUMillis).To(BeNumerically(">", 0))
		for _, c := range f.pool.Customers() {
			f.Expect(c.Share).To(And(BeNumerically(">=", 0), BeNumerically("<", 1)))
		}
	}
}
