package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// gangWaitingForQuota returns a pool of 8 cores in which a gang waits for its customer's quota, since another
// job of the customer uses some of the quota for a minute.
func starvingGang(t *testing.T, quotaCores, othersRun, members int) *fixture {
	return starvingGangOn(t, 2, quotaCores, othersRun, members)
}

// gangWaitingForQuotaOn is gangWaitingForQuota in a pool with the given number of workers, which have 4 cores
// each.
func starvingGangOn(t *testing.T, workers, quotaCores, othersRun, members int) *fixture {
	f := newFixture(t, workers, nil)
	f.configure(2, north(int64(quotaCores)*1000))
	f.reportAll(workers)
	f.pool.AddAdviser("host")
	f.pool.AddAdviser("other host")
	others := testStep(othersRun)
	others.Estimate = time.Minute
	f.add(of(north(0), testJob("others", others)))
	for _, s := range f.plan().Starts {
		f.accept(s)
	}
	r := adviceJob("gang", 1, 200*time.Millisecond)
	r.Job.Steps = []job.Step{gangOf(members)}
	f.add(of(north(0), r))
	return f
}

// passWithReports lets time pass, has all workers report their runs as active, and plans.
func (f *fixture) wait(d time.Duration) Actions {
	f.pass(d)
	reports := map[int]Report{}
	for _, j := range f.pool.jobsByID() {
		for s := range j.steps() {
			for i := range s.tasks {
				if r := s.tasks[i].current; r != nil {
					n := numberOf(r.worker.info.ID)
					reports[n] = Report{Active: append(reports[n].Active, ActiveRun{Task: r.task.id(), Run: r.number, Percent: 10})}
				}
			}
		}
	}
	for n := range f.pool.workers {
		f.report(numberOf(n), reports[numberOf(n)])
	}
	f.pool.surveyedAt = 0
	return f.plan()
}

// allowAllTargets answers calls for advice with tickets for all their targets.
func (f *fixture) answer(actions Actions) {
	for _, a := range actions.AdviceCalls {
		var tickets []Ticket
		for _, w := range a.Workers {
			tickets = append(tickets, Ticket{Worker: w, Text: "t"})
		}
		f.pool.HandleAdviceAnswer(a.Number, tickets, true, f.now)
	}
}

func TestStarvingGangIsAskedForWhileItWaitsForItsQuota(t *testing.T) {
	f := starvingGang(t, 4, 2, 3)
	f.Expect(f.plan().AdviceCalls).To(BeEmpty(), "it has not waited for long yet")
	calls := f.wait(adviceDelayLimit + 100*time.Millisecond).AdviceCalls
	f.Expect(calls).To(HaveLen(1))
	f.Expect(calls[0].Step.Job).To(Equal(job.ID("gang")))
}

func TestStarvingGangKeepsItsCustomersQuotaFromUrgentSteps(t *testing.T) {
	f := starvingGang(t, 4, 2, 3)
	f.wait(adviceDelayLimit + 100*time.Millisecond)
	urgent := testJob("urgent", testStep(2))
	urgent.Queue.Name = "urgent"
	f.add(of(north(0), urgent))
	f.Expect(f.plan().Starts).To(BeEmpty(), "two of four cores run, and the gang needs three")
	f.add(testJob("nobody's", testStep(2)))
	f.Expect(f.plan().Starts).To(HaveLen(2))
}

func TestGangTakesItsTurnWhereItsCustomersQuotaIsWellUsed(t *testing.T) {
	f := starvingGang(t, 4, 3, 3)
	f.Expect(f.wait(adviceDelayLimit + 100*time.Millisecond).AdviceCalls).To(BeEmpty())
	f.Expect(f.wait(maxGangWait).AdviceCalls).To(HaveLen(1), "it has waited for longer than maxGangWait")
}

// Runs of a customer whose quota is little used are stopped for a gang that lacks nothing but quota.
func TestRunsOfALittleUsedQuotaAreStoppedForAGang(t *testing.T) {
	f := starvingGang(t, 5, 2, 4)
	f.answer(f.wait(adviceDelayLimit + 100*time.Millisecond))
	f.Expect(f.wait(maxLowQuotaTime / 2).Stops).To(BeEmpty())
	f.Expect(f.wait(maxLowQuotaTime).Stops).To(HaveLen(1), "the other run may continue")
}

func TestRunsOfAWellUsedQuotaGoOnBesideAGangThatWaits(t *testing.T) {
	f := starvingGang(t, 5, 3, 4)
	f.wait(maxGangWait + 100*time.Millisecond)
	f.Expect(f.wait(2 * maxLowQuotaTime).Stops).To(BeEmpty())
}

// A gang for which no workers have room must not keep its customer's quota unused for long.
func TestGangThatCanNotStartGivesUpItsFirstTurn(t *testing.T) {
	f := starvingGang(t, 20, 2, 19) // the pool has 8 cores
	f.wait(adviceDelayLimit + 100*time.Millisecond)
	f.add(of(north(0), testJob("next", testStep(2))))
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.Expect(f.wait(maxPromotionTime).Starts).To(HaveLen(2))
}

// A quota that was little used during an earlier promotion is no reason to stop runs at the start of the next
// one.
func TestTimeOfALittleUsedQuotaBeginsAnewWithEachTurn(t *testing.T) {
	f := starvingGang(t, 5, 2, 4)
	f.answer(f.wait(adviceDelayLimit + 100*time.Millisecond))
	f.pool.jobs["gang"].occurrences[0].steps[0].promotionNotBefore = f.now.Add(maxLowQuotaTime)
	f.wait(maxLowQuotaTime / 2)
	f.Expect(f.wait(maxLowQuotaTime).Stops).To(BeEmpty())
}
