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

// calmKinds are the jobs of one customer that uses a part of its quota, in a pool that is little used.
var calmKinds = []busyKind{
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

// lostAfter is for how long a job may have nothing running while there is room, by the rules of the platform.
const lostAfter = 3 * time.Second

// calmPool is a pool with much room whose only customer has a quota that it seldom uses up. It watches how long jobs
// stand still.
type calmPool struct {
	*busyPool
	since map[job.ID]clock.Time    // when a job began to stand still
	lost  map[job.ID]time.Duration // how long jobs stood still that did so for lostAfter
}

func newCalmPool(seed uint64, load float64) *calmPool {
	return newCalmPoolOf(calmKinds, customer.Customer{Name: "north", Weight: 10, Quota: cell.Resources{CPUMillis: 480_000, MemoryMB: 1_730_000}}, seed, load)
}

// newCalmPoolOf returns one with jobs of some kinds, by a part of their rates.
func newCalmPoolOf(of []busyKind, c customer.Customer, seed uint64, load float64) *calmPool {
	const workers = 350
	kinds := make([]busyKind, len(of))
	for i, k := range of {
		k.perSecond *= load
		kinds[i] = k
	}
	p := &calmPool{
		busyPool: newBusyPoolOf(kinds, workers, 45, seed, nil), since: map[job.ID]clock.Time{}, lost: map[job.ID]time.Duration{},
	}
	p.customers = []customer.Customer{c}
	for _, w := range p.pool.workers {
		w.info.Capacity = cell.Resources{CPUMillis: 32_000, MemoryMB: 131_072}
	}
	return p
}

// watch goes on for a time and looks at all jobs a few times a second.
func (p *calmPool) watch(d time.Duration) {
	for end := p.now.Add(d); p.now < end; {
		p.play(50 * time.Millisecond)
		for _, j := range p.pool.jobsByID() {
			p.look(j)
		}
	}
}

func (p *calmPool) look(j *jobState) {
	if j.outcome != "" || j.hasRuns() || !p.couldRun(j) {
		delete(p.since, j.job.ID)
		return
	}
	if p.since[j.job.ID] == 0 {
		p.since[j.job.ID] = p.now
	}
	if still := p.now.Sub(p.since[j.job.ID]); still >= lostAfter {
		p.lost[j.job.ID] = still
	}
}

// handInWideGang hands in a gang that takes a large part of its customer's quota.
func (p *calmPool) handInWideGang(members int, age time.Duration) {
	s := calmKinds[0].step
	s.Count, s.Resources = members, cell.Resources{CPUMillis: 6000, MemoryMB: 60_000}
	p.pool.AddJob(job.Record{
		Job: job.Job{ID: "f00000000000000a", Spec: "spec", Steps: []job.Step{s}}, Queue: calmKinds[0].queue, Customer: p.customers[0],
	}, job.Progress{}, false, age, p.now)
}

// couldRun says that a job's customer and the pool have less than half in use, and that the workers allowed have twice
// the room for what is to start at once.
func (p *calmPool) couldRun(j *jobState) bool {
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
		if allowed(s.id(), w.info.ID) < p.allowed[j.queue.Name] && p.pool.isEligible(s, w, p.now) {
			room += roomFor(s, w)
		}
	}
	return room >= 2*atOnce
}

// A wide gang needs most of its customer's quota at once. While it waited, its customer's other jobs waited for it or
// took its room, with more than half of the quota and of the pool free.
func TestGangsStandStillBehindTheirCustomersQuota(t *testing.T) {
	for _, age := range []time.Duration{0, time.Minute} { // in time, and past what it is worth
		for _, members := range []int{18, 24} {
			for _, load := range []float64{0.35, 0.5, 0.75} {
				for seed := range uint64(2) {
					t.Run(fmt.Sprintf("%d members accepted %s ago at a load of %.2f, seed %d", members, age, load, seed), func(t *testing.T) {
						p := newCalmPool(seed, load)
						p.watch(10 * time.Second)
						p.handInWideGang(members, age)
						p.watch(25 * time.Second)
						NewWithT(t).Expect(p.lost).To(BeEmpty())
					})
				}
			}
		}
	}
}
