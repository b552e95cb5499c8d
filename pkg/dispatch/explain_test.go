package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"

	. "github.com/onsi/gomega"
)

func TestExplainGivesWaitReasons(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	second := testStep(1)
	second.After = []int{0}
	f.add(testJob("a", testStep(5), second))
	for _, s := range f.plan().Starts {
		f.accept(s)
	}
	e, ok := f.pool.Explain("a", f.now)
	f.Expect(ok).To(BeTrue())
	f.Expect(e.Steps[0].Runs).To(HaveLen(4))
	f.Expect(e.Steps[0].WaitReason).To(ContainSubstring("room for cpu=1000m"))
	f.Expect(e.Steps[1].WaitReason).To(Equal("steps [0]"))
	_, ok = f.pool.Explain("b", f.now)
	f.Expect(ok).To(BeFalse())
}

func TestExplainReportsATakeover(t *testing.T) {
	f := newFixture(t, 2, afterPreviousOwner)
	f.add(testJob("a", testStep(1)))
	f.report(0, Report{})
	f.plan()
	e, _ := f.pool.Explain("a", f.now)
	f.Expect(e.Blocked).To(ContainSubstring("former owner"))
}

// A step that waits for long in a pool with room is reported with its reason, unless its job has runs or the
// pool is busy.
func TestDelayedStepsAreReported(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.reportAll(2)
	f.add(jobWithAdviceTime("waits", 0, 100*time.Millisecond)) // there is no host to make the call
	f.add(testJob("runs", testStep(1)))
	for _, s := range f.plan().Starts {
		f.accept(s)
	}
	f.Expect(f.pool.DelayedSteps(3*time.Second, 5, f.now)).To(BeEmpty())
	f.advance(3 * time.Second)
	waits := f.pool.DelayedSteps(3*time.Second, 5, f.now)
	f.Expect(waits).To(HaveLen(1))
	f.Expect(waits[0].Step.Job).To(Equal(job.ID("waits")))
	f.Expect(waits[0].WaitReason).To(Equal("a call for advice (0 of 0 hosts are free)"))
	f.Expect(f.pool.DelayedSteps(3*time.Second, 0, f.now)).To(BeEmpty())
}

// Guards against a pool that stands still without a log line that says why.
func TestIdleJobsAreCountedByWhatTheyWaitFor(t *testing.T) {
	idleJobs := func(f *fixture) IdleJobs {
		f.plan()
		f.advance(2 * time.Second)
		f.reportAll(2)
		return f.pool.IdleJobs(2*time.Second, f.now)
	}
	t.Run("no adviser", func(t *testing.T) {
		f := newFixture(t, 2, nil)
		f.reportAll(2)
		f.add(jobWithAdviceTime("waits", 0, 100*time.Millisecond))
		f.Expect(idleJobs(f)).To(Equal(IdleJobs{Jobs: 1, Causes: map[WaitCause]int{WaitsForAdviser: 1}, Workers: WorkerCounts{Usable: 2}}))
	})
	t.Run("suspended workers", func(t *testing.T) {
		f := newFixture(t, 2, nil)
		f.reportAll(2)
		for n := range 2 {
			f.pool.suspendWorker(f.pool.workers[workerID(n)], time.Minute, "unhealthy", f.now)
		}
		f.add(testJob("waits", testStep(1)))
		f.Expect(idleJobs(f)).To(Equal(IdleJobs{Jobs: 1, Causes: map[WaitCause]int{WaitsForSuspended: 1}, Workers: WorkerCounts{Suspended: 2}}))
	})
	t.Run("takeover", func(t *testing.T) {
		f := newFixture(t, 2, afterPreviousOwner)
		f.add(testJob("waits", testStep(1)))
		f.plan()
		f.advance(2 * time.Second)
		f.report(0, Report{})
		f.Expect(f.pool.IdleJobs(2*time.Second, f.now)).To(Equal(IdleJobs{Jobs: 1, Causes: map[WaitCause]int{WaitsForTakeover: 1}, Workers: WorkerCounts{Usable: 1, Silent: 1}}))
	})
}

// The wait reason of a gang lists all that it lacks, so that a log shows whether the gang waits for its
// customer's quota, for tickets or for room.
func TestExplainReportsWhatAGangLacks(t *testing.T) {
	t.Run("quota", func(t *testing.T) {
		f := newQuotaFixture(t)
		f.add(withCustomer(northWithQuota(0), testJob("runs", testStep(2))))
		for _, s := range f.plan().Starts {
			f.accept(s)
		}
		f.add(withCustomer(northWithQuota(0), testJob("gang", gangStep(2))))
		f.plan()
		f.advance(3 * time.Second)
		waits := f.pool.DelayedSteps(3*time.Second, 5, f.now)
		f.Expect(waits).To(HaveLen(1))
		f.Expect(waits[0].WaitReason).To(And(ContainSubstring("cpu=2000m"), ContainSubstring("2 members need cpu=2000m"), ContainSubstring("cpu=2000m mem=2000MB acc=0 is kept for it")))
		f.Expect(waits[0].WaitReason).NotTo(ContainSubstring("is kept for steps"), "no quota is reserved for other steps")
		f.Expect(waits[0].TimeLeft).To(BeNumerically("<", testQueue.TargetLatency), "its objective has begun to pass")
	})
	t.Run("quota reserved for a gang", func(t *testing.T) {
		f := newQuotaFixture(t)
		f.add(withCustomer(northWithQuota(0), testJob("runs", testStep(2))))
		for _, s := range f.plan().Starts {
			f.accept(s)
		}
		f.add(withCustomer(northWithQuota(0), testJob("gang", gangStep(2))))
		f.add(withCustomer(northWithQuota(0), testJob("next", testStep(1))))
		f.plan()
		e, _ := f.pool.Explain("next", f.now)
		f.Expect(e.Steps[0].WaitReason).To(ContainSubstring("cpu=2000m mem=2000MB acc=0 is kept for steps"))
	})
	t.Run("tickets", func(t *testing.T) {
		f := newWaitingGang(t)
		e, _ := f.pool.Explain("a", f.now)
		f.Expect(e.Steps[0].WaitReason).To(Equal("tickets and room; 4 members at once, room for 4 on 4 workers known to be allowed, for 0 of them with tickets"))
	})
}
