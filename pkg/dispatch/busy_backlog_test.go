package dispatch

import (
	"fmt"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/customer"
	"foldarch.dev/foldarch/pkg/job"
)

// backlogSizes are the numbers of waiting steps that the benchmark measures.
var backlogSizes = []int{0, 500, 1000, 2000, 4000, 8000}

// The backlog is of backlogCustomers customers, and the jobs that arrive later are of arrivalCustomers
// others.
const (
	backlogCustomers = 2
	arrivalCustomers = 18
)

// newBusyPoolWithBacklog returns a busy pool of 20 customers, two of which have the given number of steps
// waiting.
func newBusyPoolWithBacklog(steps int, disabled DisabledMechanisms) *busyPool {
	p := newBusyPool(busyJobKinds, disabled)
	var hot []customer.Customer
	for n := range backlogCustomers + arrivalCustomers {
		c := customer.Customer{Name: fmt.Sprintf("c%d", n), Weight: 10, Quota: cell.Resources{CPUMillis: busyWorkers * 16000 / 4}}
		if n < backlogCustomers {
			hot = append(hot, c)
		} else {
			p.customers = append(p.customers, c)
		}
	}
	for n := range steps {
		k := busyJobKinds[n%len(busyJobKinds)]
		s := k.step
		s.Count, s.Gang = 7, false
		p.add(job.Record{
			Job: job.Job{ID: job.ID(fmt.Sprintf("b%015x", n)), Spec: "spec", Steps: []job.Step{s}}, Queue: k.queue, Customer: hot[n%len(hot)],
		})
	}
	return p
}

// BenchmarkBusyPoolWithBacklog simulates one second, which is 200 plans, of a busy pool with a backlog.
// Waiting steps that can't start should take next to no processor time.
func BenchmarkBusyPoolWithBacklog(b *testing.B) {
	for _, steps := range backlogSizes {
		b.Run(fmt.Sprintf("steps=%d", steps), func(b *testing.B) {
			p := newBusyPoolWithBacklog(steps, nil)
			p.simulate(time.Second)
			b.ResetTimer()
			startsBefore := p.startCount
			for b.Loop() {
				p.simulate(time.Second)
			}
			b.ReportMetric(float64(p.startCount-startsBefore)/float64(b.N), "starts/op")
			b.ReportMetric(float64(p.pool.waitingSteps.stepCount), "ready")
		})
	}
}
