package dispatch

import (
	"fmt"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/advice"
	"foldarch.dev/foldarch/pkg/cell"
)

// BenchmarkPlan measures a plan for 48 busy workers with 200 steps that wait for room or advice.
func BenchmarkPlan(b *testing.B) {
	f := newFixture(&testing.T{}, 48, nil)
	f.reportAll(48)
	f.pool.AddAdviser("host")
	for n := range 400 {
		s := testStep(8)
		s.Resources = cell.Resources{CPUMillis: 900, MemoryMB: 900}
		f.add(advisedJob(fmt.Sprintf("%016d", n), s))
	}
	for range 100 {
		for _, a := range f.plan().AdviceCalls {
			var tickets []Ticket
			for _, w := range a.Workers[:(len(a.Workers)+1)/2] {
				tickets = append(tickets, Ticket{Worker: w, Text: "t"})
			}
			f.pool.HandleAdviceAnswer(a.Number, tickets, true, f.now)
		}
		for _, s := range f.plan().Starts {
			f.accept(s)
		}
		f.advance(10 * time.Millisecond)
	}
	b.Logf("%+v", f.pool.Status(f.now))
	b.ResetTimer()
	for b.Loop() {
		f.pool.Plan(f.now, true)
	}
}

// BenchmarkSelectAdviceTargets measures the selection of the workers for a call for advice, for a gang in a
// pool of 3,000 workers.
func BenchmarkSelectAdviceTargets(b *testing.B) {
	f := newFixture(&testing.T{}, 3000, nil)
	f.reportAll(3000)
	s := testStep(30)
	s.Gang = true
	f.add(advisedJob("a", s))
	waiting := f.pool.jobs["a"].occurrences[0].steps[0]
	for b.Loop() {
		f.pool.selectAdviceTargets(waiting, newReservations(), advice.Prices{Cost: *waiting.occurrence.job.queue.Advice, IdleAdvisers: 1, MaxCalls: 1}, f.now)
	}
}
