package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/customer"
	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// oneSecondJob is a job of some tasks of a second, in the queue of the tests.
func oneSecondJob(id string, c customer.Customer, tasks int) job.Record {
	s := testStep(tasks)
	s.Estimate = time.Second
	return withCustomer(c, testJob(id, s))
}

// One customer sends fifteen times its weight. Its jobs over share are ranked after another customer's
// later job while that one is in time. Without this rule, a day with two such customers in turn earned
// 0.46, and 0.63 with it (one simulation each, processor time not charged; with the customers' dominant
// shares by weight in the rank instead 0.47).
func TestJobsOverShareAreRankedAfterOthers(t *testing.T) {
	f := newFixture(t, 1, nil) // room for 4 tasks
	hot, other := customer.Customer{Name: "hot", Weight: 1}, customer.Customer{Name: "other", Weight: 1}
	f.configureCustomers(2, hot, other)
	for _, id := range []string{"a", "b", "c", "d"} {
		f.add(oneSecondJob(id, hot, 2)) // the first two are within the burst of the customer
	}
	f.add(oneSecondJob("z", other, 2))
	f.reportAll(1)
	f.Expect(f.startedJobs()).To(Equal([]job.ID{"a", "a", "b", "b"}))
	f.advance(100 * time.Millisecond)
	f.pool.UpsertWorker(WorkerInfo{ID: workerID(1), Pool: "pool", Capacity: cell.Resources{CPUMillis: 4000, MemoryMB: 8000}}, true, f.now)
	f.pool.MarkInRoster([]WorkerID{workerID(1)})
	f.report(1, Report{})
	f.Expect(f.startedJobs()).To(Equal([]job.ID{"z", "z", "c", "c"}), "jobs over share get the room that is left")
}

// startedJobs lists the jobs of the starts of the next plan.
func (f *fixture) startedJobs() []job.ID {
	var out []job.ID
	for _, s := range f.plan().Starts {
		out = append(out, s.Task.Job)
	}
	return out
}

// A new owner marks the jobs that it loads from the store in the order in which they were accepted,
// whatever the order in which they are loaded.
func TestNewOwnerMarksJobsOverShare(t *testing.T) {
	f := newFixture(t, 0, nil)
	f.pool.jobsLoaded = false
	hot := customer.Customer{Name: "hot", Weight: 1}
	for n, id := range []string{"c", "b", "a"} {
		f.pool.AddJob(oneSecondJob(id, hot, 1), job.Progress{}, true, time.Duration(n)*100*time.Millisecond, f.now)
	}
	f.pool.MarkJobsLoaded()
	f.Expect([]bool{f.pool.jobs["a"].overShare, f.pool.jobs["b"].overShare, f.pool.jobs["c"].overShare}).To(Equal([]bool{false, false, true}))
}

func TestJobOverSharePreemptsNothing(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	hot := customer.Customer{Name: "hot", Weight: 1}
	low := oneSecondJob("low", customer.Customer{}, 4)
	low.Queue.Priority, low.Job.Steps[0].Estimate = 3, 10*time.Second
	f.add(low)
	for _, s := range f.plan().Starts {
		f.accept(s)
	}
	f.report(0, Report{})
	for _, id := range []string{"a", "b", "c"} {
		f.add(oneSecondJob(id, hot, 1))
	}
	f.pool.jobs["a"].overShare, f.pool.jobs["b"].overShare = true, true
	f.Expect(f.pool.jobs["c"].overShare).To(BeTrue())
	f.Expect(f.plan().Stops).To(BeEmpty())
}
