package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// Work of each kind waits until the longest lease on a silent worker has expired, whatever is known of the worker.
func TestTakeoverWaitsForSilentWorkersWithWorkOfEachKind(t *testing.T) {
	kinds := map[string]func(*job.Record){
		"a task that ends":  func(*job.Record) {},
		"a task that lasts": func(r *job.Record) { r.Job.Steps[0].LongRunning = true },
		"a gang":            func(r *job.Record) { r.Job.Steps[0].Gang = true },
		"a filler":          func(r *job.Record) { r.Job.Steps[0].Filler = true },
		"a customer's task": func(r *job.Record) { r.Customer = northWithQuota(1000) },
	}
	known := map[string]func(*fixture){
		"the roster has it": func(f *fixture) {
			f.pool.UpsertWorker(secondIncarnation(0).info(), false, f.now)
		},
		"the roster has the earlier incarnation only": func(f *fixture) {
			f.pool.UpsertWorker(firstIncarnation(0).info(), false, f.now)
		},
		"the roster has the earlier one, and its entry is read later": func(f *fixture) {
			f.pool.UpsertWorker(firstIncarnation(0).info(), false, f.now)
			f.advance(time.Second)
			f.addEntry(secondIncarnation(0))
		},
		"its entry was read first": func(f *fixture) {
			f.addEntry(secondIncarnation(0))
			f.pool.UpsertWorker(firstIncarnation(0).info(), false, f.now)
		},
		"it is retired with the job": func(f *fixture) {
			info := secondIncarnation(0).info()
			info.Retired, info.Jobs = true, []job.ID{"a"}
			f.pool.UpsertWorker(info, false, f.now)
			f.pool.LoadRetired(info)
		},
		"most workers are fenced late": func(f *fixture) {
			f.pool.UpsertWorker(secondIncarnation(0).info(), false, f.now)
			f.advance(time.Second)
			f.pool.RestartTakeoverTimers(f.now)
		},
		"it has answered before the jobs were read": func(f *fixture) {
			f.addEntry(secondIncarnation(0))
			f.pool.jobsLoaded = false
			f.pollAndReport(secondIncarnation(0), Report{})
			f.pool.jobsLoaded = true
		},
		"its report was incomplete": func(f *fixture) {
			f.addEntry(secondIncarnation(0))
			f.pollAndReport(secondIncarnation(0), Report{Truncated: true})
		},
	}
	for kind, change := range kinds {
		for how, learn := range known {
			for authority, term := range map[string]time.Duration{"a previous owner may go on": 2 * time.Second, "it has ended": 0} {
				t.Run(kind+"/"+how+"/"+authority, func(t *testing.T) {
					f := newFixture(t, 0, func(c *Config) {
						afterPreviousOwner(c)
						withLongWorkerLeases(c)
						c.AuthorityTerm = term
					})
					f.configureCustomers(2, northWithQuota(1000))
					f.beginIncarnation(firstIncarnation(1), Report{})
					learn(f)
					f.beginIncarnation(firstIncarnation(2), Report{})
					record := testJob("a", testStep(1))
					record.Term = 1
					change(&record)
					f.add(record)
					f.expectNoStartUntil(f.pool.takeover.ordersUntil.Add(f.pool.cfg.WorkerMaxLease), firstIncarnation(1), "the silent worker may have a run")
				})
			}
		}
	}
}

// A customer's quota counts what a silent worker may run until the longest lease there has expired.
func TestQuotaCountsSilentWorkersForTheLongestLease(t *testing.T) {
	f := newFixture(t, 0, func(c *Config) {
		afterPreviousOwner(c)
		withLongWorkerLeases(c)
	})
	f.configureCustomers(2, northWithQuota(1000))
	until := f.now.Add(f.pool.cfg.AuthorityTerm + f.pool.cfg.WorkerMaxLease)
	f.beginIncarnation(firstIncarnation(1), Report{})
	f.addEntry(secondIncarnation(0))
	previous := withCustomer(northWithQuota(0), testJob("a", testStep(1)))
	previous.Term = 1
	f.add(previous)
	next := withCustomer(northWithQuota(0), testJob("b", testStep(1)))
	next.Term = 2
	f.add(next)
	f.expectNoStartUntil(until, firstIncarnation(1), "the silent worker may run the customer's task")
	f.Expect(f.pool.takeover.pending).To(BeFalse())
}
