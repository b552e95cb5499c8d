package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/customer"
	"foldarch.dev/foldarch/pkg/job"
)

const (
	// maxStopTime is the longest time that the stop of a run takes on a worker that answers, if one
	// stop order is lost.
	maxStopTime = 2 * time.Second
	// maxWallClockSkew is the maximum difference between the wall clocks of two owners: the clocks of
	// hosts may be stepped by seconds.
	maxWallClockSkew = 5 * time.Second
)

// backlogTasks is how many tasks of each step a previous owner is assumed to have started of occurrences that
// this owner has not created yet: more than any worker has room for.
const backlogTasks = 1 << 20

// remainingUse returns what is stored with a job for runs that may go on although they are no longer
// needed: the surplus runs of done tasks and, if the job has ended, all of its runs. The members of a
// gang end together, so the counted runs of a finished gang have ended.
func (p *Pool) remainingUse(j *jobState) job.RemainingUse {
	if j.customer.Name == "" {
		return job.RemainingUse{} // only customers' quotas use it
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
		return job.RemainingUse{}
	}
	return job.RemainingUse{Need: need, WrittenAt: p.cfg.WallClock()}
}

// unfinishedTasksWithRuns counts the tasks that are not done and have a known run.
func (s *step) unfinishedTasksWithRuns() int {
	n := 0
	for _, t := range s.tasks {
		if !t.done && t.current != nil {
			n++
		}
	}
	return n
}

// unexpiredUse returns what may still run of the use that a previous owner stored: all of it until the
// runs have been stopped or their leases have expired, and then nothing.
func (p *Pool) unexpiredUse(u job.RemainingUse) cell.Resources {
	limit := leaseExpiryTime(p.cfg.WorkerMaxLease) + maxStopTime + maxWallClockSkew
	if !p.cfg.HasPreviousOwner || p.cfg.WallClock().Sub(u.WrittenAt) > limit {
		return cell.Resources{}
	}
	return u.Need
}

// addEndedJobUse counts what may still run of a job that has ended.
func (p *Pool) addEndedJobUse(ended job.Record) {
	need := p.unexpiredUse(ended.RemainingUse)
	if need == (cell.Resources{}) {
		return
	}
	if a := p.openAccount(customer.Customer{Name: ended.Customer.Name}); a != nil {
		a.AddEndedJobUse(need)
	}
}

// clearRemainingUse records that all runs of previous owners are known.
func (p *Pool) clearRemainingUse() {
	for _, j := range p.jobs {
		j.remainingUse = cell.Resources{}
	}
	for _, a := range p.accounts {
		a.ClearEndedJobUse()
	}
}

// updateUnreportedUse computes what each customer may have running on workers that have not reported to
// this owner. It counts against the customer's quota until these workers have reported or all leases
// there have expired. It is the sum over all jobs that a previous owner can have started:
//
//   - for a job that goes on, the tasks that wait here, or those of the next step if the previous owner
//     may have begun it;
//   - for a job that has ended, and for done tasks, what the previous owner stored when it committed
//     the end (job.RemainingUse). Without this a customer had 4500 running of a quota of 2000 after its job
//     was cancelled 40 ms before an owner change (randomized test).
//
// The sum is limited to the capacity of these workers.
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

// unfencedCapacity returns the capacity of the workers to which a previous owner may still give orders
// for jobs that are not known here. It is zero if previous owners record the workers of their jobs:
// such an owner starts no job that the store did not have when this owner read it.
func (p *Pool) unfencedCapacity() cell.Resources {
	var room cell.Resources
	previousOwnersRecord := p.cfg.RecordWorkersFromTerm > 0 && p.cfg.RecordWorkersFromTerm < p.cfg.Term
	if p.now >= p.takeover.ordersUntil || previousOwnersRecord {
		return room
	}
	for _, w := range p.workers {
		if !w.fenced && !w.terminated && !w.retired {
			room = room.Add(w.info.Capacity)
		}
	}
	return room
}

// maxUnreportedUse returns the resources for which a previous owner may have started runs of the job
// that are not known here, including what may still run for done tasks.
func (j *jobState) maxUnreportedUse() cell.Resources {
	sum := j.remainingUse
	for _, occ := range j.occurrences {
		sum = sum.Add(occ.maxUnreportedUse())
	}
	if j.hasBacklog {
		for i := range j.job.Steps {
			sum = sum.Add(j.job.Steps[i].Resources.Times(backlogTasks))
		}
	}
	return sum
}

// maxUnreportedUse returns the resources for which a previous owner may have started runs of one occurrence
// that are not known here. A previous owner may have begun the next step before the end of the previous one
// was in the store. As the two steps don't run at the same time, the larger one counts.
func (t *occurrence) maxUnreportedUse() cell.Resources {
	var sum cell.Resources
	perStep := t.unreportedUsePerStep(t.possiblyBegunSteps())
	for i, s := range t.steps {
		if s.dependenciesDone() {
			sum = sum.Add(perStep[i])
		}
	}
	return sum
}

// possiblyBegunSteps reports for each step whether a previous owner may have begun it: all steps that
// it depends on are finished, or may be finished without this owner knowing.
func (t *occurrence) possiblyBegunSteps() []bool {
	begun := make([]bool, len(t.steps))
	for i, s := range t.steps { // steps depend only on earlier ones
		begun[i] = true
		for _, a := range s.spec.After {
			begun[i] = begun[i] && begun[a] && t.steps[a].mayBeFinished()
		}
	}
	return begun
}

// mayBeFinished reports whether a step that may have begun is finished, or all its unfinished tasks may
// have ended without this owner knowing.
func (s *step) mayBeFinished() bool {
	return s.finished() || !s.spec.LongRunning && s.unfinishedTasksWithRuns() == 0
}

// unreportedUsePerStep returns for each step the most that it and the steps after it may have running
// at the same time without this owner knowing.
func (t *occurrence) unreportedUsePerStep(begun []bool) []cell.Resources {
	later := make([]cell.Resources, len(t.steps))
	use := make([]cell.Resources, len(t.steps))
	for i := len(t.steps) - 1; i >= 0; i-- {
		s := t.steps[i]
		if !begun[i] || s.finished() {
			continue
		}
		use[i] = s.quotaNeed().Times(int64(s.idleTasks)).Max(later[i])
		for _, a := range s.spec.After {
			later[a] = later[a].Add(use[i])
		}
	}
	return use
}
