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
	// maxStopTime is how long the stop of a run takes at most, with an order that is lost once, on a worker that answers.
	maxStopTime = 2 * time.Second
	// maxWallClockSkew is how far the times of day of two owners may be apart: those of hosts are stepped by seconds.
	maxWallClockSkew = 5 * time.Second
)

// remainingUse is what the store is told of a job that may still run though nobody waits for it: for tasks that are done, and of a job that has
// ended all. The members of a gang end together, so what is counted of one that is done has ended.
func (p *Pool) remainingUse(j *jobState) job.Unended {
	if j.customer.Name == "" {
		return job.Unended{} // only quotas ask for it
	}
	need := j.remainingUse
	for s := range j.steps() {
		if s.spec.Gang && s.finished() {
			continue
		}
		n := s.countedRuns
		if j.outcome == "" {
			n -= s.unfinishedTasksWithRuns()
		}
		need = need.Add(s.quotaNeed().Times(int64(n)))
	}
	if j.outcome != "" && p.isBlockedByTakeover(j) {
		need = need.Add(j.maxUnreportedUse()).Sub(j.remainingUse)
	}
	if need == (cell.Resources{}) {
		return job.Unended{}
	}
	return job.Unended{Need: need, At: p.cfg.WallClock()}
}

// unfinishedTasksWithRuns counts the tasks that are not done and of which a run is known.
func (s *step) unfinishedTasksWithRuns() int {
	n := 0
	for i := range s.tasks {
		if t := &s.tasks[i]; !t.done && t.current != nil {
			n++
		}
	}
	return n
}

// unexpiredUse is what may run yet of what a former owner counted: it is stopped, or lapses.
func (p *Pool) unexpiredUse(u job.Unended) cell.Resources {
	limit := leaseExpiryTime(p.cfg.WorkerMaxLease) + maxStopTime + maxWallClockSkew
	if !p.cfg.HasPreviousOwner || p.cfg.WallClock().Sub(u.At) > limit {
		return cell.Resources{}
	}
	return u.Need
}

// addEndedJobUse takes in what may still run of a job that had ended.
func (p *Pool) addEndedJobUse(ended job.Record) {
	need := p.unexpiredUse(ended.Unended)
	if need == (cell.Resources{}) {
		return
	}
	if a := p.openAccount(customer.Customer{Name: ended.Customer.Name}); a != nil {
		a.AddEndedJobUse(need)
	}
}

// clearRemainingUse takes in that nothing of former owners runs that is not known.
func (p *Pool) clearRemainingUse() {
	for _, j := range p.jobs {
		j.remainingUse = cell.Resources{}
	}
	for _, a := range p.accounts {
		a.ClearEndedJobUse()
	}
}

// updateUnreportedUse works out what customers may have running on workers that a new owner has not heard of.
func (p *Pool) updateUnreportedUse() {
	for _, a := range p.accounts {
		a.ClearUnreported()
	}
	if !p.takeover.pending {
		return
	}
	var room cell.Resources
	for _, w := range p.workers {
		if !w.reported && !w.terminated {
			room = room.Add(w.info.Capacity)
		}
	}
	if room == (cell.Resources{}) {
		return
	}
	for _, a := range p.accounts {
		a.ResetUnreported()
	}
	for _, j := range p.jobs {
		switch a := j.account; {
		case a == nil || p.isUnknownToPreviousOwners(j):
		case j.blockedByTakeover:
			a.AddUnreported(j.maxUnreportedUse())
		default:
			a.AddUnreported(j.remainingUse)
		}
	}
	unfenced := p.unfencedCapacity()
	for _, a := range p.accounts {
		a.CapUnreported(room)
		a.RaiseUnreported(unfenced)
	}
}

// unfencedCapacity is what the workers hold to which a former owner may still give orders for jobs that are not known here. One that names
// the workers of its jobs starts none that the store did not have when this owner read it.
func (p *Pool) unfencedCapacity() cell.Resources {
	var room cell.Resources
	formerNames := p.cfg.RecordWorkersFromTerm > 0 && p.cfg.RecordWorkersFromTerm < p.cfg.Term
	if p.now >= p.takeover.ordersUntil || formerNames {
		return room
	}
	for _, w := range p.workers {
		if !w.fenced && !w.terminated && !w.retired {
			room = room.Add(w.info.Capacity)
		}
	}
	return room
}

// maxUnreportedUse is what the tasks of a job need of which a former owner may have started a run that is not known here, with what may run for
// tasks that are done.
func (j *jobState) maxUnreportedUse() cell.Resources {
	sum := j.remainingUse
	for _, t := range j.occurrences {
		if t != nil {
			sum = sum.Add(t.maxUnreportedUse())
		}
	}
	return sum
}

// maxUnreportedUse is the same of one time. A former owner may have begun the next step before the end of the one before was in the store. Since
// the two don't run at the same time, the larger of them counts.
func (t *occurrence) maxUnreportedUse() cell.Resources {
	var sum cell.Resources
	most := t.unreportedUsePerStep(t.possiblyBegunSteps())
	for i, s := range t.steps {
		if s.dependenciesDone() {
			sum = sum.Add(most[i])
		}
	}
	return sum
}

// possiblyBegunSteps says of each step whether a former owner may have begun it: all steps before it are finished, or may be without a word of it.
func (t *occurrence) possiblyBegunSteps() []bool {
	begun := make([]bool, len(t.steps))
	for i, s := range t.steps { // steps name only earlier ones
		begun[i] = true
		for _, a := range s.spec.After {
			begun[i] = begun[i] && begun[a] && t.steps[a].mayBeFinished()
		}
	}
	return begun
}

// mayBeFinished says that a step that has begun is finished, or that all its tasks that are not done may have ended unheard.
func (s *step) mayBeFinished() bool {
	return s.finished() || !s.spec.LongRunning && s.unfinishedTasksWithRuns() == 0
}

// unreportedUsePerStep is for each step what it and those after it may have running unheard, at the same time.
func (t *occurrence) unreportedUsePerStep(begun []bool) []cell.Resources {
	later := make([]cell.Resources, len(t.steps))
	most := make([]cell.Resources, len(t.steps))
	for i := len(t.steps) - 1; i >= 0; i-- {
		s := t.steps[i]
		if !begun[i] || s.finished() {
			continue
		}
		most[i] = s.quotaNeed().Times(int64(s.idleTasks)).Max(later[i])
		for _, a := range s.spec.After {
			later[a] = later[a].Add(most[i])
		}
	}
	return most
}
