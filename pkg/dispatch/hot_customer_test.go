package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/customer"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/queue"
	. "github.com/onsi/gomega"
)

// sharedPoolJobKinds are the kinds of jobs with which other customers use a part of the pool.
var sharedPoolJobKinds = []busyJobKind{
	{
		queue.Queue{Name: "gangs", Pool: "pool", Priority: 1, MaxAttempts: 2, Extension: 2.2, TargetLatency: time.Second, Advice: &queue.AdviceCost{
			Base: 710 * time.Millisecond, PerWorker: 11 * time.Millisecond, Validity: 2 * time.Second,
		}},
		1, job.Step{Count: 20, Resources: cell.Resources{CPUMillis: 6000, MemoryMB: 4000}, Estimate: 6200 * time.Millisecond, Gang: true}, 0.3,
	},
	{
		queue.Queue{Name: "wide", Pool: "pool", Priority: 2, MaxAttempts: 4, Extension: 4, TargetLatency: 3 * time.Second, Advice: &queue.AdviceCost{
			Base: 170 * time.Millisecond, PerWorker: 2 * time.Millisecond, Validity: 2 * time.Second,
		}},
		4, job.Step{Count: 25, Resources: cell.Resources{CPUMillis: 1700, MemoryMB: 4000}, Estimate: 2700 * time.Millisecond}, 0.45,
	},
	{
		queue.Queue{Name: "urgent", Pool: "pool", Priority: 0, MaxAttempts: 2, Extension: 1.5, TargetLatency: 250 * time.Millisecond, Advice: &queue.AdviceCost{
			Base: 9 * time.Millisecond, PerWorker: 130 * time.Microsecond, Validity: 2 * time.Second,
		}},
		60, job.Step{Count: 3, Resources: cell.Resources{CPUMillis: 2500, MemoryMB: 4000}, Estimate: 640 * time.Millisecond}, 0.7,
	},
}

// hotCustomer has many jobs waiting at once, of which its quota lets only some run at a time.
var hotCustomer = customer.Customer{Name: "hot", Weight: 10, Quota: cell.Resources{CPUMillis: 580_000, MemoryMB: 980_000}}

// newSharedPool returns a pool that other customers use in part.
func newSharedPool(seed uint64, load float64) *idleJobPool {
	p := newIdleJobPool(sharedPoolJobKinds, customer.Customer{Name: "others", Weight: 100}, seed, load)
	for _, w := range p.pool.workers {
		w.info.Capacity = cell.Resources{CPUMillis: 16_000, MemoryMB: 32_768}
	}
	return p
}

// addBacklog adds the jobs that the hot customer has waiting: gangs of 10 to 52 members, and smaller
// jobs.
func (p *idleJobPool) addBacklog(gangs, others int) {
	random := rand.New(rand.NewPCG(uint64(gangs), p.rand.Uint64()))
	addJob := func(k busyJobKind, members int) {
		p.jobCount++
		s := k.step
		s.Count = members
		r := job.Record{Job: job.Job{ID: job.ID(fmt.Sprintf("%016x", p.jobCount)), Spec: "spec", Steps: []job.Step{s}}, Queue: k.queue, Customer: hotCustomer}
		p.add(r)
	}
	for range gangs {
		addJob(sharedPoolJobKinds[0], 10+random.IntN(43))
	}
	for range others {
		addJob(sharedPoolJobKinds[1], 1+random.IntN(50))
		addJob(sharedPoolJobKinds[2], 1+random.IntN(5))
	}
}

// Guards against a customer that uses less than half of its quota while hundreds of its jobs wait.
func TestHotCustomerUsesItsQuota(t *testing.T) {
	for _, load := range []float64{0.4, 0.7} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("load %.1f, seed %d", load, seed), func(t *testing.T) {
				p := newSharedPool(seed, load)
				p.simulateAndCheck(6 * time.Second)
				p.addBacklog(12, 60)
				p.simulateAndCheck(20 * time.Second)
				NewWithT(t).Expect(p.lostJobs).To(BeEmpty())
			})
		}
	}
}

// Guards against quota that is reserved for gangs which cannot start, while less than half of the quota
// is used and a smaller job waits.
func TestSmallJobStartsWhileGangsReserveHotCustomerQuota(t *testing.T) {
	const workers, quota, run = 20, 20, 6
	for name, test := range map[string]struct{ first, second, small int }{
		"for two gangs at once":                         {8, 8, 2},
		"for a gang whose calls for advice take long":   {12, 2, 3},
		"for three quarters of the quota, and one more": {14, 10, 4},
	} {
		t.Run(name, func(t *testing.T) {
			f := gangWaitingForQuotaOn(t, workers, quota, run, test.first)
			second := jobWithAdviceTime("second", 1, 200*time.Millisecond)
			second.Job.Steps = []job.Step{gangStep(test.second)}
			second.Queue.TargetLatency = time.Minute // not delayed
			f.add(withCustomer(northWithQuota(0), second))
			f.passWithReports(adviceDelayLimit + 100*time.Millisecond)
			small := testJob("small", testStep(test.small))
			small.Queue.Name, small.Queue.Priority = "later", 5
			f.add(withCustomer(northWithQuota(0), small))
			started := 0
			for end := f.now.Add(maxIdleJobTime); f.now < end; {
				for _, s := range f.passWithReports(tickInterval).Starts {
					f.accept(s)
					started++
				}
			}
			f.Expect(started).To(Equal(test.small))
		})
	}
}
