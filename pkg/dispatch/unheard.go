package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/customer"
	"foldarch.dev/foldarch/pkg/job"
)

// A new owner does not know what former ones have started on workers that it has not heard of. What a customer may have running there counts
// against its quota until they have told, or everything there has lapsed. It is the sum over all jobs that a former owner can have started:
//
//   - of a job that goes on, the tasks that wait here;
//   - of a job that had ended, and of done tasks, what its former owner counted when it told the store so (job.Unended). Otherwise a
//     customer had 4500 running of 2000 when its job was cancelled 40 ms before a new owner came (random history).
//
// What these workers hold in all is the most.

const (
	// stopTime is how long the stop of a run takes at most, with an order that is lost once, on a worker that answers.
	stopTime = 2 * time.Second
	// clocksApart is how far the times of day of two owners may be apart: those of hosts are stepped by seconds.
	clocksApart = 5 * time.Second
)

// unended is what the store is told of a job that may still run though nobody waits for it: for tasks that are done, and of a job that has
// ended all. The members of a gang end together, so what is counted of one that is done has ended.
func (p *Pool) unended(j *jobState) job.Unended {
	need := j.unended
	for s := range j.steps() {
		if s.spec.Gang && s.finished() {
			continue
		}
		n := s.counted
		if j.outcome == "" {
			n -= s.running()
		}
		need = need.Add(s.accountNeed().Times(int64(n)))
	}
	if j.outcome != "" && p.blocked(j) {
		need = need.Add(j.mayRunUnheard()).Sub(j.unended)
	}
	if need == (cell.Resources{}) {
		return job.Unended{}
	}
	return job.Unended{Need: need, At: p.cfg.Wall()}
}

// running counts the runs of tasks that are not done.
func (s *step) running() int {
	n := 0
	for i := range s.tasks {
		if t := &s.tasks[i]; !t.done && t.current != nil {
			n++
		}
	}
	return n
}

// mayGoOn is what may run yet of what a former owner counted: it is stopped, or lapses.
func (p *Pool) mayGoOn(u job.Unended) cell.Resources {
	limit := lapseTime(p.cfg.LongestLease) + stopTime + clocksApart
	if !p.cfg.Takeover || p.cfg.Wall().Sub(u.At) > limit {
		return cell.Resources{}
	}
	return u.Need
}

// countUnended takes in what may still run of a job that had ended.
func (p *Pool) countUnended(ended job.Record) {
	need := p.mayGoOn(ended.Unended)
	if ended.Customer.Name == "" || need == (cell.Resources{}) {
		return
	}
	p.openAccount(customer.Customer{Name: ended.Customer.Name})
	a := p.accounts[ended.Customer.Name]
	a.ended = a.ended.Add(need)
}

// sumUnheard works out what customers may have running on workers that a new owner has not heard of.
func (p *Pool) sumUnheard() {
	for _, a := range p.accounts {
		a.unheard = cell.Resources{}
	}
	if !p.takeover.pending {
		return
	}
	var room cell.Resources
	for _, w := range p.workers {
		if !w.reported && !w.gone {
			room = room.Add(w.info.Capacity)
		}
	}
	if room == (cell.Resources{}) {
		return
	}
	for _, a := range p.accounts {
		a.unheard = a.ended
	}
	for _, j := range p.jobs {
		if a := p.account(j); a != nil && !p.unknownToFormer(j) {
			a.unheard = a.unheard.Add(j.mayRunUnheard())
		}
	}
	for _, a := range p.accounts {
		a.unheard = cell.Resources{
			CPUMillis: min(a.unheard.CPUMillis, room.CPUMillis), MemoryMB: min(a.unheard.MemoryMB, room.MemoryMB),
			Accelerators: min(a.unheard.Accelerators, room.Accelerators),
		}
	}
}

// mayRunUnheard is what the tasks of a job need of which a former owner may have started a run that is not known here, with what may run for
// tasks that are done.
func (j *jobState) mayRunUnheard() cell.Resources {
	sum := j.unended
	for s := range j.steps() {
		if !s.turnHasCome() {
			continue
		}
		sum = sum.Add(s.accountNeed().Times(int64(s.waitingTasks())))
	}
	return sum
}

// waitingTasks counts the tasks of which no run is known.
func (s *step) waitingTasks() int {
	n := 0
	for i := range s.tasks {
		if s.tasks[i].waiting() {
			n++
		}
	}
	return n
}
