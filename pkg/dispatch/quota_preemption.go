package dispatch

import (
	"cmp"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/account"
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
)

const (
	// lowQuotaShare is the share of a quota in use below which the platform counts a waiting job as
	// lost.
	lowQuotaShare = 0.5
	// maxLowQuotaTime is how long less than lowQuotaShare of a quota may be in use while a gang waits
	// for it. The platform allows 3 s, of which a stop takes up to 0.9 s.
	maxLowQuotaTime = time.Second
)

// preemptForQuota stops runs of a gang's customer when little of its quota has been in use for too long
// and the gang lacks nothing but quota. A gang that needs more than half of the quota may have to wait
// for the last of the customer's earlier runs, while nothing else of the customer starts. Stopping
// those runs that still take long keeps the quota from standing unused.
func (p *Pool) preemptForQuota(s *step, reserved *reservations, now clock.Time) {
	a := s.occurrence.job.account
	if a.Used().DominantShare(a.Customer().Quota) >= lowQuotaShare {
		s.lowQuotaWaitSince = 0
		return
	}
	if s.lowQuotaWaitSince == 0 {
		s.lowQuotaWaitSince = now
	}
	if now.Sub(s.lowQuotaWaitSince) < maxLowQuotaTime || p.isDisabled(Preemption) {
		return
	}
	if p.gangWorkers(s, p.gangCandidates(s, reserved, now)) == nil {
		return
	}
	for _, r := range p.selectQuotaVictims(a, s.spec.MinResources(), now) {
		p.preemptRun(r, s)
	}
}

// selectQuotaVictims selects runs whose ends make room for the given need in a customer's quota, those
// first that lose the least work. It returns none when their ends would not make enough room.
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
		order := cmp.Compare(x.workLostByStop(p.cfg.RestoreTime, now), y.workLostByStop(p.cfg.RestoreTime, now))
		return cmp.Or(order, compareTasks(x.task, y.task))
	})
	var victims []*run
	for _, r := range options {
		if a.Customer().WithinQuota(running) {
			break
		}
		victims = append(victims, r)
		running = running.Sub(r.releasedQuota())
	}
	if !a.Customer().WithinQuota(running) {
		return nil
	}
	return victims
}

// activeRunsOf lists the active runs of a customer's tasks.
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

// isQuotaPreemptable reports whether a run may be stopped for another job of its customer. A gang is
// stopped as a whole, so only its first member is eligible.
func (r *run) isQuotaPreemptable(now clock.Time) bool {
	s := r.task.step
	if s.spec.LongRunning || s.spec.Gang && (r.task.index > 0 || s.runningTasks < s.spec.Count) {
		return false
	}
	return r.timeLeft(now) > endsSoonWithin
}

// releasedQuota returns the quota that a stop of the run releases; for a gang this is the quota of all
// members.
func (r *run) releasedQuota() cell.Resources {
	s := r.task.step
	if s.spec.Gang {
		return s.quotaNeed().Times(int64(s.runningTasks))
	}
	return s.quotaNeed()
}
