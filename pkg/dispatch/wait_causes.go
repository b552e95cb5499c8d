package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// WaitCause is what the waiting tasks of a step wait for.
type WaitCause string

// The causes for which steps wait.
const (
	WaitsForSteps     WaitCause = "steps"      // that it depends on
	WaitsForTakeover  WaitCause = "takeover"   // until the runs of previous owners are known
	WaitsForQuota     WaitCause = "quota"      // of its customer
	WaitsForProbe     WaitCause = "probe"      // of a task that may crash workers
	WaitsForLateStart WaitCause = "late_start" // an earlier start may still be carried out
	WaitsForAdvice    WaitCause = "advice"     // an advice call is pending
	WaitsForAdviser   WaitCause = "adviser"    // no worker is known to be allowed, and no call is pending
	WaitsForTickets   WaitCause = "tickets"    // for all members of a gang, and room
	WaitsForTurn      WaitCause = "turn"       // it could start
	WaitsForSuspended WaitCause = "suspended"  // all workers with room that may run it are suspended
	WaitsForRoom      WaitCause = "room"
)

// waitCause returns what the waiting tasks of a step wait for; empty when none waits.
func (p *Pool) waitCause(s *step, now clock.Time) WaitCause {
	switch {
	case s.finished():
		return ""
	case !s.dependenciesDone():
		return WaitsForSteps
	case s.waitingTasks() == 0:
		return ""
	case p.isStepBlockedByTakeover(s):
		return WaitsForTakeover
	case p.awaitsQuota(s):
		return WaitsForQuota
	case s.awaitsProbe(now):
		return WaitsForProbe
	case s.blockedUntil() != 0:
		return WaitsForLateStart
	case len(s.advice.pendingCalls) > 0:
		return WaitsForAdvice
	case p.hasRoomOnlyOnSuspended(s, now):
		return WaitsForSuspended
	case s.spec.Gang && len(s.advice.allowed) > 0:
		return WaitsForTickets
	case len(p.candidates(s, newReservations(), now)) > 0:
		return WaitsForTurn
	case s.occurrence.job.queue.Advice != nil && len(s.advice.allowed) == 0:
		return WaitsForAdviser
	}
	return WaitsForRoom
}

// hasRoomOnlyOnSuspended reports whether a step could start on a suspended worker and on no other.
func (p *Pool) hasRoomOnlyOnSuspended(s *step, now clock.Time) bool {
	found := false
	for _, w := range p.workers {
		if !p.isFit(s, w) || !w.isHealthy(now) || s.advice.denied[w.info.ID] || roomFor(s, w) == 0 {
			continue
		}
		if !w.isSuspended(now) {
			return false
		}
		found = true
	}
	return found
}

// WorkerCounts counts the workers of all pools by whether they get tasks, and if not, for what cause.
type WorkerCounts struct {
	Usable      int
	Suspended   int
	Silent      int // have not answered recently
	NotInRoster int // the store does not have them in the roster yet
	NoEntry     int // their entry is gone from the store
	Other       int // are leaving, cordoned, being replaced, or run something unknown
}

// maxStepsWithCause is for how many steps IdleJobs finds out what they wait for, which goes over all workers.
const maxStepsWithCause = 100

// IdleJobs sums up the jobs without runs that have waited for some time while their pool is not mostly used.
type IdleJobs struct {
	Jobs    int
	Causes  map[WaitCause]int // steps of these jobs, at most maxStepsWithCause, by what they wait for
	Workers WorkerCounts
}

// IdleJobs returns the jobs without runs whose steps have waited for minWait while their pool is not mostly
// used.
func (p *Pool) IdleJobs(minWait time.Duration, now clock.Time) IdleJobs {
	x := IdleJobs{Causes: map[WaitCause]int{}, Workers: p.countWorkers(now)}
	counted := map[*jobState]bool{}
	for n, s := range p.idleSteps(minWait, now) {
		if n < maxStepsWithCause {
			x.Causes[p.waitCause(s, now)]++
		}
		counted[s.occurrence.job] = true
	}
	x.Jobs = len(counted)
	return x
}

// idleSteps lists the waiting steps of jobs without runs that have waited for minWait while their pool is not
// mostly used.
func (p *Pool) idleSteps(minWait time.Duration, now clock.Time) []*step {
	var waiting []*step
	for s := range p.waitingSteps.all() {
		j := s.occurrence.job
		if now.Sub(s.readySince) >= minWait && !j.hasRuns() && !p.poolLoad(j.queue.Pool).isMostlyUsed() {
			waiting = append(waiting, s)
		}
	}
	return waiting
}

// countWorkers counts the workers by whether they get tasks.
func (p *Pool) countWorkers(now clock.Time) WorkerCounts {
	var c WorkerCounts
	for _, w := range p.workers {
		switch {
		case w.terminated:
		case w.isUsable(now) && !w.isDistrusted(now):
			c.Usable++
		case !w.isAnswering(now):
			c.Silent++
		case !w.inRoster:
			c.NotInRoster++
		case !w.isPresent(now):
			c.NoEntry++
		case w.isSuspended(now):
			c.Suspended++
		default:
			c.Other++
		}
	}
	return c
}
