package dispatch

import (
	"fmt"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/customer"
	"foldarch.dev/foldarch/pkg/job"
)

// backlogSteps are the sizes of the backlog that the benchmark measures.
var backlogSteps = []int{0, 500, 1000, 2000, 4000, 8000}

// hotCustomers share the backlog, and otherCustomers what arrives besides.
const (
	hotCustomers   = 2
	otherCustomers = 18
)

// newBacklogPool returns a busy pool of 20 customers in which a number of steps wait, of two of them.
func newBacklogPool(steps int, without DisabledMechanisms) *busyPool {
	p := newBusyPool(busyKinds, without)
	var hot []customer.Customer
	for n := range hotCustomers + otherCustomers {
		c := customer.Customer{Name: fmt.Sprintf("c%d", n), Weight: 10, Quota: cell.Resources{CPUMillis: busyWorkers * 16000 / 4}}
		if n < hotCustomers {
			hot = append(hot, c)
		} else {
			p.customers = append(p.customers, c)
		}
	}
	for n := range steps {
		k := busyKinds[n%len(busyKinds)]
		s := k.step
		s.Count, s.Gang = 7, false
		p.add(job.Record{
			Job: job.Job{ID: job.ID(fmt.Sprintf("b%015x", n)), Spec: "spec", Steps: []job.Step{s}}, Queue: k.queue, Customer: hot[n%len(hot)],
		})
	}
	return p
}

// BenchmarkBusyPoolWithBacklog plays a second of 200 plans of a busy pool in which steps wait: what waits and can't start should cost next to nothing.
func BenchmarkBusyPoolWithBacklog(b *testing.B) {
	for _, steps := range backlogSteps {
		b.Run(fmt.Sprintf("steps=%d", steps), func(b *testing.B) {
			p := newBacklogPool(steps, nil)
			p.play(time.Second)
			b.ResetTimer()
			began := p.started
			for b.Loop() {
				p.play(time.Second)
			}
			b.ReportMetric(float64(p.started-began)/float64(b.N), "starts/op")
			b.ReportMetric(float64(p.pool.waitingSteps.stepCount), "ready")
		})
	}
}
