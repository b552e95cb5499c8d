package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// takeTicketedRoom has other tasks take all room of workers for which a step has tickets, one worker at each interval
// and each for the time of a task. All other workers have room.
func (b *busyPool) takeTicketedRoom(s *step, interval, runTime time.Duration) {
	b.at(interval, func() { b.takeTicketedRoom(s, interval, runTime) })
	ids := s.advice.workersWithTickets(b.now)
	slices.Sort(ids)
	ids = slices.DeleteFunc(ids, func(id WorkerID) bool { return roomFor(s, b.pool.workers[id]) == 0 })
	if len(ids) == 0 {
		return
	}
	w := b.pool.workers[ids[b.rand.IntN(len(ids))]]
	free := w.info.Capacity
	w.info.Capacity = cell.Resources{}
	b.at(runTime, func() { w.info.Capacity = free })
}

// Guards against gangs that never have all their tickets at once, since a few of the workers lose their room during
// each round of calls, although most of the pool is free.
func TestGangStartsWhileOtherTasksTakeRoomOfItsTickets(t *testing.T) {
	const members, runTime = 45, 4 * time.Second
	gangs := busyJobKinds[0]
	gangs.perSecond = 0.01
	for _, perSecond := range []int{5, 10, 20, 30, 40, 60} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d workers each second, seed %d", perSecond, seed), func(t *testing.T) {
				b := newBusyPoolWithSize([]busyJobKind{gangs}, busyWorkers, busyAdvisers, seed, nil)
				for _, w := range b.pool.workers {
					w.info.Capacity.CPUMillis = 8000
				}
				x := gangs.step
				x.Count, x.Resources.CPUMillis = members, 7600
				r := job.Record{Job: job.Job{ID: "00000000000000a1", Steps: []job.Step{x}}, Queue: gangs.queue}
				b.pool.AddJob(r, job.Progress{}, false, time.Minute, b.now)
				s := b.pool.jobs[r.Job.ID].occurrences[0].steps[0]
				b.takeTicketedRoom(s, time.Second/time.Duration(perSecond), runTime)
				added := b.now
				for b.startCount == 0 && b.now.Sub(added) < 10*time.Second {
					b.simulate(10 * time.Millisecond)
				}
				NewWithT(t).Expect(b.now.Sub(added)).To(BeNumerically("<", maxIdleJobTime))
			})
		}
	}
}
