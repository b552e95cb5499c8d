package dispatch

import (
	"cmp"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/account"
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
)

// A gang that needs more than half of its customer's quota may have to wait for the last of the runs that were there
// before it, while nothing else of the customer starts. Those that still take long are stopped, so that the quota is not
// left unused.

const (
	// lowQuotaShare is the part of a quota below which the platform counts a job as lost that waits.
	lowQuotaShare = 0.5
	// maxLowQuotaTime is how long a quota may be little used while a gang waits for it: the platform allows 3 s, of which a
	// stop takes up to 0.9 s.
	maxLowQuotaTime = time.Second
)

// preemptForQuota stops runs of a gang's customer when its quota has been little used for too long while the gang lacks
// nothing but room in it.
func (p *Pool) preemptForQuota(s *step, reserved *reservations, now clock.Time) {
	a := s.occurrence.job.account
	if a.Used().DominantShare(a.Customer().Quota) >= lowQuotaShare {
		s.awaitsLowQuotaSince = 0
		return
	}
	if s.awaitsLowQuotaSince == 0 {
		s.awaitsLowQuotaSince = now
	}
	if now.Sub(s.awaitsLowQuotaSince) < maxLowQuotaTime || p.isDisabled(Preemption) {
		return
	}
	if p.gangWorkers(s, p.gangCandidates(s, reserved, now)) == nil {
		return
	}
	for _, r := range p.selectQuotaVictims(a, s.spec.AtOnce(), now) {
		p.preemptRun(r, s)
	}
}

// selectQuotaVictims chooses runs whose ends give an account room for an amount, those first that throw least away; none when
// their ends don't suffice.
func (p *Pool) selectQuotaVictims(a *account.Account, need cell.Resources, now clock.Time) []*run {
	running := a.Used().Add(a.Unreported()).Add(need)
	var options []*run
	for _, r := range p.activeRunsOf(a) {
		if r.stopRequested {
			running = running.Sub(r.task.step.quotaNeed())
		} else if r.isQuotaPreemptable(now) {
			options = append(options, r)
		}
	}
	slices.SortFunc(options, func(x, y *run) int {
		less := cmp.Compare(x.workLostByStop(p.cfg.RestoreTime, now), y.workLostByStop(p.cfg.RestoreTime, now))
		return cmp.Or(less, compareTasks(x.task, y.task))
	})
	var stops []*run
	for _, r := range options {
		if a.Customer().Allows(running) {
			break
		}
		stops = append(stops, r)
		running = running.Sub(r.releasedQuota())
	}
	if !a.Customer().Allows(running) {
		return nil
	}
	return stops
}

// activeRunsOf lists the runs of a customer's tasks that have begun.
func (p *Pool) activeRunsOf(a *account.Account) []*run {
	var out []*run
	for _, j := range p.jobsByID() {
		if j.account != a {
			continue
		}
		for s := range j.steps() {
			for i := range s.tasks {
				if r := s.tasks[i].current; r != nil && r.state == runActive {
					out = append(out, r)
				}
			}
		}
	}
	return out
}

// isQuotaPreemptable says that a run may be stopped for another job of its customer. A gang is stopped as a whole, at its
// first member.
func (r *run) isQuotaPreemptable(now clock.Time) bool {
	s := r.task.step
	if s.spec.LongRunning || s.spec.Gang && (r.task.index > 0 || s.runningTasks < len(s.tasks)) {
		return false
	}
	return r.timeLeft(now) > endsSoonWithin
}

// releasedQuota is what the end of a run gives back of its customer's quota; of a gang, what all members take.
func (r *run) releasedQuota() cell.Resources {
	s := r.task.step
	if s.spec.Gang {
		return s.quotaNeed().Times(int64(s.runningTasks))
	}
	return s.quotaNeed()
}
