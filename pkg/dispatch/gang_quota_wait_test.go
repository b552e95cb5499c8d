package dispatch

import (
	"fmt"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/customer"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/queue"
	. "github.com/onsi/gomega"
)

// quotaWaitJobKinds are the jobs of one customer that uses a part of its quota, in a pool that is little
// used.
var quotaWaitJobKinds = []busyJobKind{
	{
		queue.Queue{Name: "gangs", Pool: "pool", Priority: 1, MaxAttempts: 2, Extension: 2.2, TargetLatency: time.Second, Advice: &queue.AdviceCost{
			Base: 440 * time.Millisecond, PerWorker: 6 * time.Millisecond, Validity: 2 * time.Second,
		}},
		0.3, job.Step{Count: 16, Resources: cell.Resources{CPUMillis: 9000, MemoryMB: 33_000}, Estimate: 4 * time.Second, Gang: true}, 0.3,
	},
	{
		queue.Queue{Name: "wide", Pool: "pool", Priority: 2, MaxAttempts: 4, Extension: 4, TargetLatency: 3 * time.Second, Advice: &queue.AdviceCost{
			Base: 170 * time.Millisecond, PerWorker: 2 * time.Millisecond, Validity: 2 * time.Second,
		}},
		0.7, job.Step{Count: 20, Resources: cell.Resources{CPUMillis: 3500, MemoryMB: 13_000}, Estimate: 3400 * time.Millisecond}, 0.45,
	},
	{
		queue.Queue{Name: "urgent", Pool: "pool", Priority: 0, MaxAttempts: 2, Extension: 1.5, TargetLatency: 250 * time.Millisecond, Advice: &queue.AdviceCost{
			Base: 9 * time.Millisecond, PerWorker: 130 * time.Microsecond, Validity: 2 * time.Second,
		}},
		6, job.Step{Count: 3, Resources: cell.Resources{CPUMillis: 5000, MemoryMB: 14_000}, Estimate: 640 * time.Millisecond}, 0.7,
	},
}

// maxIdleJobTime is for how long a job may have no runs while there is room. The platform counts it as lost
// after that.
const maxIdleJobTime = 3 * time.Second

// idleJobPool is a pool with much room, in which the customer seldom uses up its quota. It records for how
// long jobs are idle: without runs although they could run.
type idleJobPool struct {
	*busyPool
	idleSince map[job.ID]clock.Time    // since when jobs are idle
	lostJobs  map[job.ID]time.Duration // idle time of the jobs that were idle for maxIdleJobTime
}

// newQuotaWaitPool returns a pool of one customer, with the jobs of quotaWaitJobKinds at a share of their
// rates.
func newQuotaWaitPool(seed uint64, load float64) *idleJobPool {
	return newIdleJobPool(quotaWaitJobKinds, customer.Customer{Name: "north", Weight: 10, Quota: cell.Resources{CPUMillis: 480_000, MemoryMB: 1_730_000}}, seed, load)
}

// newIdleJobPool returns a pool with jobs of the given kinds. Their rates are multiplied by load.
func newIdleJobPool(base []busyJobKind, c customer.Customer, seed uint64, load float64) *idleJobPool {
	const workers = 350
	kinds := make([]busyJobKind, len(base))
	for i, k := range base {
		k.perSecond *= load
		kinds[i] = k
	}
	p := &idleJobPool{
		busyPool: newBusyPoolWithSize(kinds, workers, 45, seed, nil), idleSince: map[job.ID]clock.Time{}, lostJobs: map[job.ID]time.Duration{},
	}
	p.customers = []customer.Customer{c}
	for _, w := range p.pool.workers {
		w.info.Capacity = cell.Resources{CPUMillis: 32_000, MemoryMB: 131_072}
	}
	return p
}

// simulateAndCheck lets the given time pass and checks every 50 ms which jobs are idle.
func (p *idleJobPool) simulateAndCheck(d time.Duration) {
	for end := p.now.Add(d); p.now < end; {
		p.simulate(50 * time.Millisecond)
		for _, j := range p.pool.jobsByID() {
			p.checkIdle(j)
		}
	}
}

// checkIdle updates for how long a job has been idle.
func (p *idleJobPool) checkIdle(j *jobState) {
	if j.outcome != "" || j.hasRuns() || !p.couldRun(j) {
		delete(p.idleSince, j.job.ID)
		return
	}
	if p.idleSince[j.job.ID] == 0 {
		p.idleSince[j.job.ID] = p.now
	}
	if idle := p.now.Sub(p.idleSince[j.job.ID]); idle >= maxIdleJobTime {
		p.lostJobs[j.job.ID] = idle
	}
}

// addWideGang adds a gang that takes a large part of its customer's quota. Its job was accepted the given
// time ago.
func (p *idleJobPool) addWideGang(members int, age time.Duration) {
	s := quotaWaitJobKinds[0].step
	s.Count, s.Resources = members, cell.Resources{CPUMillis: 6000, MemoryMB: 60_000}
	p.pool.AddJob(job.Record{
		Job: job.Job{ID: "f00000000000000a", Spec: "spec", Steps: []job.Step{s}}, Queue: quotaWaitJobKinds[0].queue, Customer: p.customers[0],
	}, job.Progress{}, false, age, p.now)
}

// couldRun reports whether less than half of the pool and of the quota of a job's customer is in use, and the
// allowed workers have at least twice the room that the job needs to start.
func (p *idleJobPool) couldRun(j *jobState) bool {
	load, used, quota := p.pool.poolLoad("pool"), j.account.Used(), j.account.Customer().Quota
	if load.used.DominantShare(load.capacity) >= 0.5 || used.DominantShare(quota) >= 0.5 {
		return false
	}
	s := j.occurrences[0].steps[0]
	atOnce := 1
	if s.spec.Gang {
		atOnce = len(s.tasks)
	}
	room := 0
	for _, w := range p.pool.workers {
		if allowedDraw(s.id(), w.info.ID) < p.allowedShare[j.queue.Name] && p.pool.isEligible(s, w, p.now) {
			room += roomFor(s, w)
		}
	}
	return room >= 2*atOnce
}

// Guards against jobs that are idle while more than half of their customer's quota and of the pool is free. A
// wide gang needs most of the quota at once; either the customer's other jobs waited for it, or they took its
// room.
func TestWideGangLeavesNoJobIdleWithinItsQuota(t *testing.T) {
	for _, age := range []time.Duration{0, time.Minute} { // in time, and so late that its end has no value
		for _, members := range []int{18, 24} {
			for _, load := range []float64{0.35, 0.5, 0.75} {
				for seed := range uint64(2) {
					t.Run(fmt.Sprintf("%d members accepted %s ago at a load of %.2f, seed %d", members, age, load, seed), func(t *testing.T) {
						p := newQuotaWaitPool(seed, load)
						p.simulateAndCheck(10 * time.Second)
						p.addWideGang(members, age)
						p.simulateAndCheck(25 * time.Second)
						NewWithT(t).Expect(p.lostJobs).To(BeEmpty())
					})
				}
			}
		}
	}
}
