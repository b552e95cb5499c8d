package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/customer"
	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// surgePool has jobs of customers that use the pool by a half or more, until more arrive than it gets through.
type surgePool struct {
	*busyPool
	kinds []busyKind
	waits map[job.ID]time.Duration // of the calm customers' jobs, until the first start
}

// newSurgePool returns a pool of 350 workers whose calls for advice are made by a number of processes.
func newSurgePool(processes int, load float64) *surgePool {
	kinds := slices.Clone(sharedKinds)
	for i, perSecond := range []float64{2.8, 12.8, 103} {
		kinds[i].perSecond = load * perSecond
	}
	p := &surgePool{newBusyPoolOf(kinds, 350, processes, 1, nil), kinds, map[job.ID]time.Duration{}}
	p.planned = func(a Actions) {
		for _, s := range a.Starts {
			j := p.pool.jobs[s.Task.Job]
			if _, began := p.waits[j.job.ID]; !began && j.customer.Name != hotCustomer.Name {
				p.waits[j.job.ID] = p.now.Sub(j.accepted)
			}
		}
	}
	return p
}

// surge has jobs arrive beside the others, of which a customer sends most.
func (p *surgePool) surge(factor float64) {
	for _, k := range p.kinds {
		k.perSecond *= factor
		p.arrive(k)
	}
}

// Guards against the work of a hot customer that takes the calls for advice of others, while few processes make calls.
func TestCallsOfCalmCustomersInTheSurgeOfAHotOne(t *testing.T) {
	meanWait := func(hot bool) time.Duration {
		p := newSurgePool(12, 0.7)
		for n := range 20 {
			p.customers = append(p.customers, customer.Customer{Name: fmt.Sprint("calm ", n), Weight: 5, Quota: cell.Resources{CPUMillis: 900_000}})
		}
		p.play(4 * time.Second)
		clear(p.waits)
		if hot {
			p.customers = append(p.customers, slices.Repeat([]customer.Customer{hotCustomer}, 40)...)
			p.surge(2)
		}
		p.play(6 * time.Second)
		sum := time.Duration(0)
		for _, w := range p.waits {
			sum += w
		}
		return sum / time.Duration(len(p.waits))
	}
	NewWithT(t).Expect(meanWait(true)).To(BeNumerically("<", meanWait(false)+100*time.Millisecond), "no other customer's jobs may get slower by more")
}
