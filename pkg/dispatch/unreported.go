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
//   - of a job that goes on, the tasks that wait here, or those of the next step, which the former owner may have begun;
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
	if j.customer.Name == "" {
		return job.Unended{} // only quotas ask for it
	}
	need := j.unended
	for s := range j.steps() {
		if s.spec.Gang && s.finished() {
			continue
		}
		n := s.counted
		if j.outcome == "" {
			n -= s.tasksThatRun()
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

// tasksThatRun counts the tasks that are not done and of which a run is known.
func (s *step) tasksThatRun() int {
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
	if need == (cell.Resources{}) {
		return
	}
	if a := p.openAccount(customer.Customer{Name: ended.Customer.Name}); a != nil {
		a.CountEnded(need)
	}
}

// forgetUnended takes in that nothing of former owners runs that is not known.
func (p *Pool) forgetUnended() {
	for _, j := range p.jobs {
		j.unended = cell.Resources{}
	}
	for _, a := range p.accounts {
		a.ForgetEnded()
	}
}

// sumUnheard works out what customers may have running on workers that a new owner has not heard of.
func (p *Pool) sumUnheard() {
	for _, a := range p.accounts {
		a.ClearUnheard()
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
		a.BeginUnheard()
	}
	for _, j := range p.jobs {
		switch a := j.account; {
		case a == nil || p.unknownToFormer(j):
		case j.held:
			a.AddUnheard(j.mayRunUnheard())
		default:
			a.AddUnheard(j.unended)
		}
	}
	unfenced := p.roomOfUnfenced()
	for _, a := range p.accounts {
		a.CapUnheard(room)
		a.RaiseUnheard(unfenced)
	}
}

// roomOfUnfenced is what the workers hold to which a former owner may still give orders for jobs that are not known here. One that names
// the workers of its jobs starts none that the store did not have when this owner read it.
func (p *Pool) roomOfUnfenced() cell.Resources {
	var room cell.Resources
	formerNames := p.cfg.NamedFrom > 0 && p.cfg.NamedFrom < p.cfg.Term
	if p.now >= p.takeover.orders || formerNames {
		return room
	}
	for _, w := range p.workers {
		if !w.fenced && !w.gone && !w.retired {
			room = room.Add(w.info.Capacity)
		}
	}
	return room
}

// mayRunUnheard is what the tasks of a job need of which a former owner may have started a run that is not known here, with what may run for
// tasks that are done.
func (j *jobState) mayRunUnheard() cell.Resources {
	sum := j.unended
	for _, t := range j.times {
		if t != nil {
			sum = sum.Add(t.mayRunUnheard())
		}
	}
	return sum
}

// mayRunUnheard is the same of one time. A former owner may have begun the next step before the end of the one before was in the store. Since
// the two don't run at the same time, the larger of them counts.
func (t *timeState) mayRunUnheard() cell.Resources {
	var sum cell.Resources
	most := t.mostUnheard(t.mayHaveBegun())
	for i, s := range t.steps {
		if s.turnHasCome() {
			sum = sum.Add(most[i])
		}
	}
	return sum
}

// mayHaveBegun says of each step whether a former owner may have begun it: all steps before it are finished, or may be without a word of it.
func (t *timeState) mayHaveBegun() []bool {
	begun := make([]bool, len(t.steps))
	for i, s := range t.steps { // steps name only earlier ones
		begun[i] = true
		for _, a := range s.spec.After {
			begun[i] = begun[i] && begun[a] && t.steps[a].mayHaveEnded()
		}
	}
	return begun
}

// mayHaveEnded says that a step that has begun is finished, or that all its tasks that are not done may have ended unheard.
func (s *step) mayHaveEnded() bool {
	return s.finished() || !s.spec.LongRunning && s.tasksThatRun() == 0
}

// mostUnheard is for each step what it and those after it may have running unheard, at the same time.
func (t *timeState) mostUnheard(begun []bool) []cell.Resources {
	later := make([]cell.Resources, len(t.steps))
	most := make([]cell.Resources, len(t.steps))
	for i := len(t.steps) - 1; i >= 0; i-- {
		s := t.steps[i]
		if !begun[i] || s.finished() {
			continue
		}
		most[i] = s.accountNeed().Times(int64(s.idle)).Max(later[i])
		for _, a := range s.spec.After {
			later[a] = later[a].Add(most[i])
		}
	}
	return most
}
