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
	// quotaLittleUsed is the part of a quota below which the platform counts a job as lost that waits.
	quotaLittleUsed = 0.5
	// littleUsedFor is how long a quota may be little used while a gang waits for it: the platform allows 3 s, of which a
	// stop takes up to 0.9 s.
	littleUsedFor = time.Second
)

// stopForQuota stops runs of a gang's customer when its quota has been little used for too long while the gang lacks
// nothing but room in it.
func (p *Pool) stopForQuota(s *step, reserved *reservations, now clock.Time) {
	a := s.time.job.account
	if a.Used().DominantShare(a.Customer().Quota) >= quotaLittleUsed {
		s.quotaIdleSince = 0
		return
	}
	if s.quotaIdleSince == 0 {
		s.quotaIdleSince = now
	}
	if now.Sub(s.quotaIdleSince) < littleUsedFor || p.without(Preemption) {
		return
	}
	if p.gangWorkers(s, p.gangCandidates(s, reserved, now)) == nil {
		return
	}
	for _, r := range p.stopsForQuota(a, s.spec.AtOnce(), now) {
		p.stopForStep(r, s)
	}
}

// stopsForQuota chooses runs whose ends give an account room for an amount, those first that throw least away; none when
// their ends don't suffice.
func (p *Pool) stopsForQuota(a *account.Account, need cell.Resources, now clock.Time) []*run {
	running := a.Used().Add(a.Unheard()).Add(need)
	var options []*run
	for _, r := range p.runsOf(a) {
		if r.stopAsked {
			running = running.Sub(r.task.step.accountNeed())
		} else if r.mayYieldQuota(now) {
			options = append(options, r)
		}
	}
	slices.SortFunc(options, func(x, y *run) int {
		less := cmp.Compare(x.lostByStop(p.cfg.Restore, now), y.lostByStop(p.cfg.Restore, now))
		return cmp.Or(less, compareTasks(x.task, y.task))
	})
	var stops []*run
	for _, r := range options {
		if a.Customer().Allows(running) {
			break
		}
		stops = append(stops, r)
		running = running.Sub(r.givesBack())
	}
	if !a.Customer().Allows(running) {
		return nil
	}
	return stops
}

// runsOf lists the runs of a customer's tasks that have begun.
func (p *Pool) runsOf(a *account.Account) []*run {
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

// mayYieldQuota says that a run may be stopped for another job of its customer. A gang is stopped as a whole, at its
// first member.
func (r *run) mayYieldQuota(now clock.Time) bool {
	s := r.task.step
	if s.spec.LongRunning || s.spec.Gang && (r.task.index > 0 || s.runs < len(s.tasks)) {
		return false
	}
	return r.left(now) > soonOver
}

// givesBack is what the end of a run gives back of its customer's quota; of a gang, what all members take.
func (r *run) givesBack() cell.Resources {
	s := r.task.step
	if s.spec.Gang {
		return s.accountNeed().Times(int64(s.runs))
	}
	return s.accountNeed()
}
