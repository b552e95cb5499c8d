package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// gangWaitingForQuota returns a pool of 8 cores in which a gang waits for its customer's quota, since another
// job of the customer uses some of the quota for a minute.
func gangWaitingForQuota(t *testing.T, quotaCores, othersRun, members int) *fixture {
	return gangWaitingForQuotaOn(t, 2, quotaCores, othersRun, members)
}

// gangWaitingForQuotaOn is gangWaitingForQuota in a pool with the given number of workers, which have 4 cores
// each.
func gangWaitingForQuotaOn(t *testing.T, workers, quotaCores, othersRun, members int) *fixture {
	f := newFixture(t, workers, nil)
	f.configureCustomers(2, northWithQuota(int64(quotaCores)*1000))
	f.reportAll(workers)
	f.pool.AddAdviser("host")
	f.pool.AddAdviser("other host")
	others := testStep(othersRun)
	others.Estimate = time.Minute
	f.add(withCustomer(northWithQuota(0), testJob("others", others)))
	for _, s := range f.plan().Starts {
		f.accept(s)
	}
	r := jobWithAdviceTime("gang", 1, 200*time.Millisecond)
	r.Job.Steps = []job.Step{gangStep(members)}
	f.add(withCustomer(northWithQuota(0), r))
	return f
}

// passWithReports lets time pass, has all workers report their runs as active, and plans.
func (f *fixture) passWithReports(d time.Duration) Actions {
	f.advance(d)
	reports := map[int]Report{}
	for _, j := range f.pool.jobsByID() {
		for s := range j.steps() {
			for i := range s.tasks {
				if r := s.tasks[i].current; r != nil {
					n := workerNumber(r.worker.info.ID)
					reports[n] = Report{Active: append(reports[n].Active, ActiveRun{Task: r.task.id(), Run: r.number, Percent: 10})}
				}
			}
		}
	}
	for n := range f.pool.workers {
		f.report(workerNumber(n), reports[workerNumber(n)])
	}
	f.pool.loadsUpdatedAt = 0
	return f.plan()
}

// allowAllTargets answers calls for advice with tickets for all their targets.
func (f *fixture) allowAllTargets(actions Actions) {
	for _, a := range actions.AdviceCalls {
		var tickets []Ticket
		for _, w := range a.Workers {
			tickets = append(tickets, Ticket{Worker: w, Text: "t"})
		}
		f.pool.HandleAdviceAnswer(a.Number, tickets, true, f.now)
	}
}

func TestPromotedGangRequestsAdviceWhileItWaitsForQuota(t *testing.T) {
	f := gangWaitingForQuota(t, 4, 2, 3)
	f.Expect(f.plan().AdviceCalls).To(BeEmpty(), "it has not waited for long yet")
	calls := f.passWithReports(adviceDelayLimit + 100*time.Millisecond).AdviceCalls
	f.Expect(calls).To(HaveLen(1))
	f.Expect(calls[0].Step.Job).To(Equal(job.ID("gang")))
}

func TestPromotedGangReservesQuotaBeforeUrgentSteps(t *testing.T) {
	f := gangWaitingForQuota(t, 4, 2, 3)
	f.passWithReports(adviceDelayLimit + 100*time.Millisecond)
	urgent := testJob("urgent", testStep(2))
	urgent.Queue.Name = "urgent"
	f.add(withCustomer(northWithQuota(0), urgent))
	f.Expect(f.plan().Starts).To(BeEmpty(), "two of four cores run, and the gang needs three")
	f.add(testJob("nobody's", testStep(2)))
	f.Expect(f.plan().Starts).To(HaveLen(2))
}

func TestGangIsPromotedLaterWhenItsQuotaIsMostlyUsed(t *testing.T) {
	f := gangWaitingForQuota(t, 4, 3, 3)
	f.Expect(f.passWithReports(adviceDelayLimit + 100*time.Millisecond).AdviceCalls).To(BeEmpty())
	f.Expect(f.passWithReports(maxGangWait).AdviceCalls).To(HaveLen(1), "it has waited for longer than maxGangWait")
}

// Runs of a customer whose quota is little used are stopped for a gang that lacks nothing but quota.
func TestRunsAreStoppedForAGangWhenTheQuotaIsLittleUsed(t *testing.T) {
	f := gangWaitingForQuota(t, 5, 2, 4)
	f.allowAllTargets(f.passWithReports(adviceDelayLimit + 100*time.Millisecond))
	f.Expect(f.passWithReports(maxLowQuotaTime / 2).Stops).To(BeEmpty())
	f.Expect(f.passWithReports(maxLowQuotaTime).Stops).To(HaveLen(1), "the other run may continue")
}

func TestRunsContinueBesideAGangWhenTheQuotaIsMostlyUsed(t *testing.T) {
	f := gangWaitingForQuota(t, 5, 3, 4)
	f.passWithReports(maxGangWait + 100*time.Millisecond)
	f.Expect(f.passWithReports(2 * maxLowQuotaTime).Stops).To(BeEmpty())
}

// A gang for which no workers have room must not keep its customer's quota unused for long.
func TestPromotionEndsWhenTheGangCannotStart(t *testing.T) {
	f := gangWaitingForQuota(t, 20, 2, 19) // the pool has 8 cores
	f.passWithReports(adviceDelayLimit + 100*time.Millisecond)
	f.add(withCustomer(northWithQuota(0), testJob("next", testStep(2))))
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.Expect(f.passWithReports(maxPromotionTime).Starts).To(HaveLen(2))
}

// A quota that was little used during an earlier promotion is no reason to stop runs at the start of the next
// one.
func TestLowQuotaTimeRestartsWithEachPromotion(t *testing.T) {
	f := gangWaitingForQuota(t, 5, 2, 4)
	f.allowAllTargets(f.passWithReports(adviceDelayLimit + 100*time.Millisecond))
	f.pool.jobs["gang"].occurrences[0].steps[0].promotionNotBefore = f.now.Add(maxLowQuotaTime)
	f.passWithReports(maxLowQuotaTime / 2)
	f.Expect(f.passWithReports(maxLowQuotaTime).Stops).To(BeEmpty())
}
