package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/customer"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/queue"
	. "github.com/onsi/gomega"
)

// northWithQuota is a customer with a quota, in thousandths of a core.
func northWithQuota(quota int64) customer.Customer {
	return customer.Customer{Name: "north", Weight: 2, Quota: cell.Resources{CPUMillis: quota}}
}

// withCustomer assigns a job to a customer.
func withCustomer(c customer.Customer, r job.Record) job.Record {
	r.Customer = c
	return r
}

// configureCustomers puts a configuration with these customers in force.
func (f *fixture) configureCustomers(version int64, customers ...customer.Customer) {
	cfg := queue.NewConfig(version, []queue.Queue{testQueue}, nil)
	var entries []customer.Entry
	for _, c := range customers {
		entries = append(entries, customer.Entry{Customer: c})
	}
	cfg.Customers, _ = customer.NewDirectory(entries)
	f.pool.SetConfig(cfg)
}

// newQuotaFixture returns a pool with room for 8 tasks of one core, and a customer with a quota for 3 of
// them.
func newQuotaFixture(t *testing.T) *fixture {
	f := newFixture(t, 2, nil)
	f.configureCustomers(2, northWithQuota(3000))
	f.reportAll(2)
	return f
}

func gangStep(count int) job.Step {
	s := testStep(count)
	s.Gang = true
	return s
}

func TestCustomerHasNoMoreRunningThanItsQuota(t *testing.T) {
	f := newQuotaFixture(t)
	f.add(withCustomer(northWithQuota(9000), testJob("a", testStep(5))))
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(3), "the quota of the configuration goes before that of the record")
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.accept(starts[0])
	f.pool.HandleStartAnswer(starts[1], Answer{}, ErrNotSent, f.now) // certainly not running
	f.advance(rejectedStartBackoff)
	f.Expect(f.plan().Starts).To(HaveLen(1))
	f.report(workerNumber(starts[0].Worker), f.endReport(starts[0], 1, EndDone))
	f.Expect(f.plan().Starts).To(HaveLen(1))
}

func TestJobWithoutCustomerHasNoQuota(t *testing.T) {
	f := newQuotaFixture(t)
	f.add(testJob("a", testStep(8)))
	f.Expect(f.plan().Starts).To(HaveLen(8))
}

func TestUnansweredStartCountsAgainstTheQuota(t *testing.T) {
	f := newQuotaFixture(t)
	f.add(withCustomer(northWithQuota(0), testJob("a", testStep(3))))
	f.add(withCustomer(northWithQuota(0), testJob("b", testStep(1))))
	for _, s := range f.plan().Starts {
		f.failStart(s)
	}
	f.Expect(f.plan().Starts).To(BeEmpty(), "any of the starts may be carried out late")
}

func TestRunThatIsBeingStoppedCountsAgainstTheQuota(t *testing.T) {
	f := newQuotaFixture(t)
	f.add(withCustomer(northWithQuota(0), testJob("a", testStep(3))))
	starts := f.plan().Starts
	for _, s := range starts {
		f.accept(s)
	}
	f.pool.Cancel("a")
	f.add(withCustomer(northWithQuota(0), testJob("b", testStep(3))))
	f.Expect(f.plan().Starts).To(BeEmpty())
	for n, s := range starts {
		f.report(workerNumber(s.Worker), f.endReport(s, int64(n+1), EndStopped))
	}
	f.Expect(f.plan().Starts).To(HaveLen(3))
}

func TestLoweredQuotaStopsNothing(t *testing.T) {
	f := newQuotaFixture(t)
	f.add(withCustomer(northWithQuota(0), testJob("a", testStep(5))))
	starts := f.plan().Starts
	for _, s := range starts {
		f.accept(s)
	}
	f.configureCustomers(3, northWithQuota(1000))
	actions := f.plan()
	f.Expect(actions.Stops).To(BeEmpty())
	f.Expect(actions.Starts).To(BeEmpty())
	f.report(workerNumber(starts[0].Worker), f.endReport(starts[0], 1, EndDone))
	f.Expect(f.plan().Starts).To(BeEmpty(), "2 cores are still in use, of a quota of 1")
	f.configureCustomers(4, northWithQuota(4000))
	f.Expect(f.plan().Starts).To(HaveLen(2))
}

func TestCustomerRemovedFromTheConfigurationKeepsItsQuota(t *testing.T) {
	f := newQuotaFixture(t)
	f.add(withCustomer(northWithQuota(0), testJob("a", testStep(2))))
	f.Expect(f.plan().Starts).To(HaveLen(2))
	f.configureCustomers(3)
	f.add(withCustomer(northWithQuota(9000), testJob("b", testStep(4))))
	f.Expect(f.plan().Starts).To(HaveLen(1))
}

func TestUnconfiguredCustomerHasTheQuotaOfItsJob(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.configureCustomers(2)
	f.reportAll(2)
	f.add(withCustomer(northWithQuota(2000), testJob("a", testStep(4))))
	f.Expect(f.plan().Starts).To(HaveLen(2))
}

func TestGangStartsOnlyIfTheQuotaFitsAllMembers(t *testing.T) {
	f := newQuotaFixture(t)
	f.add(withCustomer(northWithQuota(0), testJob("a", testStep(1))))
	first := f.planOneStart()
	f.accept(first)
	f.add(withCustomer(northWithQuota(0), testJob("b", gangStep(3))))
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.report(workerNumber(first.Worker), f.endReport(first, 1, EndDone))
	f.Expect(f.plan().Starts).To(HaveLen(3))
}

// Without a reservation, smaller steps that come later would take the quota that each end frees, so that
// the gang never finds enough at once.
func TestGangReservesQuotaThatIsFreed(t *testing.T) {
	f := newQuotaFixture(t)
	f.add(withCustomer(northWithQuota(0), testJob("a", testStep(2))))
	for _, s := range f.plan().Starts {
		f.accept(s)
	}
	f.add(withCustomer(northWithQuota(0), testJob("b", gangStep(3))))
	f.advance(time.Millisecond)
	f.add(withCustomer(northWithQuota(0), testJob("c", testStep(1))))
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.add(withCustomer(customer.Customer{Name: "south"}, testJob("d", testStep(1))))
	f.Expect(f.plan().Starts).To(HaveLen(1), "other customers are not blocked")
}

// A gang that a lowered quota keeps from ever starting reserves nothing.
func TestGangLargerThanTheQuotaReservesNothing(t *testing.T) {
	f := newQuotaFixture(t)
	f.add(withCustomer(northWithQuota(0), testJob("b", gangStep(4))))
	f.add(withCustomer(northWithQuota(0), testJob("c", testStep(1))))
	f.Expect(f.plan().Starts).To(HaveLen(1))
}

// A worker that has not reported to a new owner may run tasks of the customer that a previous owner
// started.
func TestNewOwnerCountsUnreportedUse(t *testing.T) {
	f := newFixture(t, 2, func(c *Config) {
		c.HasPreviousOwner, c.Term, c.Token = true, 2, nextOwnerToken
	})
	f.configureCustomers(2, northWithQuota(3000))
	previous := withCustomer(northWithQuota(0), testJob("a", testStep(2)))
	previous.Term = 1
	f.add(previous)
	later := withCustomer(northWithQuota(0), testJob("b", testStep(3)))
	later.Term = 2
	f.add(later)
	f.report(0, Report{})
	f.Expect(f.plan().Starts).To(BeEmpty(), "the previous owner may still start jobs that are not known here on the other worker")
	f.advance(f.pool.cfg.AuthorityTerm)
	f.report(0, Report{})
	f.Expect(f.plan().Starts).To(HaveLen(1), "two tasks that the previous owner started may run on the other worker")
	f.report(1, Report{})
	f.Expect(f.plan().Starts).To(HaveLen(2))
}

// Guards against a new owner that counts only the step that the store shows as begun: a worker that has
// not reported may have ended that step, and the previous owner may have begun the next one before the
// end was committed. A customer could then have both running: six tasks with a quota of three.
func TestNewOwnerCountsTheNextStepInUnreportedUse(t *testing.T) {
	f := newFixture(t, 2, func(c *Config) { c.HasPreviousOwner, c.Term, c.Token = true, 2, nextOwnerToken })
	f.configureCustomers(2, northWithQuota(3000))
	next := testStep(3)
	next.After = []int{0}
	previous := withCustomer(northWithQuota(0), testJob("a", testStep(1), next))
	previous.Term = 1
	f.add(previous)
	later := withCustomer(northWithQuota(0), testJob("b", testStep(3)))
	later.Term = 2
	f.add(later)
	f.report(0, Report{})
	f.Expect(f.plan().Starts).To(BeEmpty(), "three tasks of the next step may run on the other worker")
	f.report(1, Report{})
	f.Expect(f.plan().Starts).To(HaveLen(3))
}

func TestFillerCountsInFullAgainstTheQuota(t *testing.T) {
	f := newQuotaFixture(t)
	filler := testStep(5)
	filler.Filler = true
	f.add(withCustomer(northWithQuota(0), testJob("a", filler)))
	f.Expect(f.plan().Starts).To(HaveLen(3))
}

func TestCustomersAreListedAndQuotaWaitsExplained(t *testing.T) {
	f := newQuotaFixture(t)
	f.add(withCustomer(northWithQuota(0), testJob("a", testStep(5))))
	f.add(withCustomer(customer.Customer{Name: "south"}, testJob("b", testStep(1))))
	f.plan()
	rows := f.pool.Customers()
	f.Expect(rows).To(HaveLen(2))
	f.Expect(rows[0].Name).To(Equal("north"))
	f.Expect(rows[0].Used.CPUMillis).To(BeEquivalentTo(3000))
	f.Expect([]int{rows[0].Jobs, rows[0].Waiting, rows[0].AwaitQuota}).To(Equal([]int{1, 2, 2}))
	f.Expect(rows[0].Share).To(BeNumerically("~", 3.0/8))
	f.Expect([]int{rows[1].Jobs, rows[1].Waiting, rows[1].AwaitQuota}).To(Equal([]int{1, 0, 0}))
	x, _ := f.pool.Explain("a", f.now)
	f.Expect(x.Customer).To(Equal("north"))
	f.Expect(x.Steps[0].WaitReason).To(HavePrefix("its customer's quota: cpu=3000m"))
}

// Guards against runs that do not count against the quota: a job is cancelled just as a new owner takes
// over, and its runs are found after the job was forgotten, since its cancellation was committed. Seen
// with seed 606: customer south had 10000 of 6000 running.
func TestLateReportedRunsOfACancelledJobCount(t *testing.T) {
	f := newFixture(t, 2, func(c *Config) { c.HasPreviousOwner, c.Term, c.Token = true, 2, nextOwnerToken })
	f.configureCustomers(2, northWithQuota(3000))
	previous := withCustomer(northWithQuota(0), testJob("a", testStep(3)))
	previous.Term = 1
	f.add(previous)
	f.pool.Cancel("a")
	f.pool.ApplyCommit(f.pool.PrepareCommit())
	f.report(0, Report{})
	var rows Report
	for i := range 3 {
		rows.Active = append(rows.Active, ActiveRun{Task: job.TaskID{StepID: job.StepID{Job: "a"}, Index: i}, Run: 1, Percent: 10})
	}
	f.report(1, rows)
	later := withCustomer(northWithQuota(0), testJob("b", testStep(3)))
	later.Term = 2
	f.add(later)
	actions := f.plan()
	f.Expect(actions.Starts).To(BeEmpty())
	f.Expect(actions.Stops).To(HaveLen(3))
}

// newRunOfEndedJob returns a pool whose new owner finds a run on worker 1 of a job that had ended before
// the owner loaded the jobs, and has another job of the customer waiting.
func newRunOfEndedJob(t *testing.T) *fixture {
	f := newFixture(t, 2, func(c *Config) { c.HasPreviousOwner, c.Term, c.Token = true, 2, nextOwnerToken })
	f.configureCustomers(2, northWithQuota(3000))
	f.pool.AddOutcome("a", job.Record{Outcome: job.Cancelled, Customer: customer.Customer{Name: "north"}}, f.now)
	f.report(0, Report{})
	f.report(1, Report{Active: []ActiveRun{{Task: job.TaskID{StepID: job.StepID{Job: "a"}}, Run: 1, Percent: 10}}})
	later := withCustomer(northWithQuota(0), testJob("b", testStep(3)))
	later.Term = 2
	f.add(later)
	return f
}

// The worker of the run falls silent; the run counts against the quota until the leases there have
// expired.
func TestRunOfAnEndedJobBlocksItsCustomerUntilItsLeaseExpires(t *testing.T) {
	f := newRunOfEndedJob(t)
	for range 5 {
		f.advance(time.Second)
		f.report(0, Report{})
		f.Expect(f.plan().Starts).To(BeEmpty())
	}
	f.advance(2 * time.Second)
	f.report(0, Report{})
	f.Expect(f.plan().Starts).To(HaveLen(3))
}

// The remaining use of a job that had ended counts while a worker that may run its tasks has not
// reported, but not once the leases must have expired.
func TestNewOwnerCountsRemainingUseOfAnEndedJob(t *testing.T) {
	for ago, starts := range map[time.Duration]int{time.Second: 1, time.Minute: 3} {
		f := newFixture(t, 2, func(c *Config) { c.HasPreviousOwner, c.Term, c.Token = true, 2, nextOwnerToken })
		f.pool.jobsLoaded = false
		f.configureCustomers(2, northWithQuota(3000))
		remaining := job.RemainingUse{Need: cell.Resources{CPUMillis: 2000, MemoryMB: 2000}, WrittenAt: f.wall.Add(-ago)}
		f.pool.AddOutcome("a", job.Record{Outcome: job.Cancelled, Customer: customer.Customer{Name: "north"}, RemainingUse: remaining}, f.now)
		f.pool.MarkJobsLoaded()
		later := withCustomer(northWithQuota(0), testJob("b", testStep(3)))
		later.Term = 2
		f.add(later)
		f.report(0, Report{})
		f.Expect(f.plan().Starts).To(BeEmpty(), "the previous owner may still send orders to the other worker")
		f.advance(f.pool.cfg.AuthorityTerm)
		f.report(0, Report{})
		f.Expect(f.plan().Starts).To(HaveLen(starts), "ended %s ago", ago)
		f.report(1, Report{})
		f.Expect(f.plan().Starts).To(HaveLen(3 - starts))
	}
}

// The commit of a job's end includes what still counts against the quota: the runs that are being
// stopped, also on a worker that can't be reached.
func TestRemainingUseOfAnEndedJobIsStored(t *testing.T) {
	f := newQuotaFixture(t)
	f.add(withCustomer(northWithQuota(0), testJob("a", testStep(2))))
	for _, s := range f.plan().Starts {
		f.accept(s)
	}
	f.pool.Cancel("a")
	changes := f.pool.PrepareCommit().Changes
	f.Expect(changes).To(HaveLen(1))
	f.Expect(changes[0].RemainingUse).To(Equal(job.RemainingUse{Need: cell.Resources{CPUMillis: 2000, MemoryMB: 2000}, WrittenAt: f.wall}))
}

// The members of a gang end together: nothing of a gang that is done still runs, though some members
// have not been reported yet.
func TestDoneGangHasNoRemainingUse(t *testing.T) {
	f := newQuotaFixture(t)
	f.add(withCustomer(northWithQuota(0), testJob("a", gangStep(3))))
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(3))
	for _, s := range starts {
		f.accept(s)
	}
	f.report(workerNumber(starts[0].Worker), f.endReport(starts[0], 1, EndDone))
	changes := f.pool.PrepareCommit().Changes
	f.Expect(changes).To(HaveLen(1))
	f.Expect(changes[0].Outcome).To(Equal(job.Completed))
	f.Expect(changes[0].RemainingUse).To(Equal(job.RemainingUse{}))
}

// A task is found done while it runs elsewhere: that run is being stopped, and has to count for later
// owners, too.
func TestRemainingUseOfADoneTaskIsStored(t *testing.T) {
	f := newQuotaFixture(t)
	f.add(withCustomer(northWithQuota(0), testJob("a", testStep(2))))
	s := f.plan().Starts[0]
	f.accept(s)
	f.report(1-workerNumber(s.Worker), Report{Finished: []FinishedRun{{Number: 1, Task: s.Task, Run: 0, Reason: EndDone}}})
	changes := f.pool.PrepareCommit().Changes
	f.Expect(changes).To(HaveLen(1))
	f.Expect(changes[0].Progress.RemainingUse.Need.CPUMillis).To(BeEquivalentTo(1000))
}

// Once all workers have reported, the remaining use that a previous owner counted for a done task is not
// passed on to a later owner as this owner's.
func TestRemainingUseOfAPreviousOwnerIsDroppedWhenAllWorkersReported(t *testing.T) {
	f := newFixture(t, 1, func(c *Config) { c.HasPreviousOwner, c.Term, c.Token = true, 2, nextOwnerToken })
	f.configureCustomers(2, northWithQuota(3000))
	remaining := job.RemainingUse{Need: cell.Resources{CPUMillis: 1000, MemoryMB: 1000}, WrittenAt: f.wall}
	f.pool.AddJob(withCustomer(northWithQuota(0), testJob("a", testStep(2))), job.Progress{Tasks: []job.TaskProgress{{Done: true}}, RemainingUse: remaining}, true, 0, f.now)
	j := f.pool.jobs["a"]
	f.Expect(f.pool.remainingUse(j).Need).To(Equal(remaining.Need))
	f.report(0, Report{})
	f.plan()
	f.Expect(f.pool.remainingUse(j)).To(Equal(job.RemainingUse{}))
}

// A run whose job had ended before a new owner loaded the jobs has an unknown use, so it blocks its
// customer's starts.
func TestRunOfAnEndedJobBlocksItsCustomer(t *testing.T) {
	f := newRunOfEndedJob(t)
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.report(1, Report{Finished: []FinishedRun{{Number: 1, Task: job.TaskID{StepID: job.StepID{Job: "a"}}, Run: 1, Reason: EndStopped}}})
	f.Expect(f.plan().Starts).To(HaveLen(3))
}
