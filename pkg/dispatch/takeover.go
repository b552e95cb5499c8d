package dispatch

import (
	"fmt"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/takeover"
)

// maxClockDrift is how much slower than the owner's clock a worker's clock may run, as a share.
const maxClockDrift = 0.02

// takeoverState determines which jobs have to wait until the runs of previous owners are known.
//
// A previous owner goes on for at most AuthorityTerm after most workers were fenced. The leases of what
// it starts until then on a worker that is not fenced expire within the time of maxLeaseOn. A job that was
// accepted in an earlier term is unblocked when all workers that may run it have reported (package
// takeover), or when all leases given by previous owners have expired. A job that was accepted in this
// owner's term is never blocked: a previous owner that learns of the job stops giving orders.
type takeoverState struct {
	pending bool
	// ordersUntil is until when previous owners may give orders to workers that have not answered this
	// one.
	ordersUntil clock.Time
	// silentWorkers are the workers that have not reported, and blockedJobs the jobs that these block;
	// nil before they are first computed.
	silentWorkers []takeover.SilentWorker
	blockedJobs   *takeover.BlockedJobs
	// onlyRetiredLogged says that it was logged when all remaining silent workers were retired ones.
	onlyRetiredLogged bool
	// hasUncountedCrash says that a worker may have crashed after a start of a previous owner without
	// the crash being counted against a task.
	hasUncountedCrash bool
	// hasUnreadableWorker says that a worker may run something but can't be polled, since its record in
	// the roster can't be read.
	hasUnreadableWorker bool
}

func newTakeover(cfg Config, now clock.Time) takeoverState {
	return takeoverState{pending: cfg.HasPreviousOwner, ordersUntil: now.Add(cfg.AuthorityTerm)}
}

// leaseExpiryTime returns the time by the owner's clock after which a lease of the given duration by a
// worker's clock has certainly expired.
func leaseExpiryTime(lease time.Duration) time.Duration {
	const slack = 20 * time.Millisecond
	return time.Duration(float64(lease)*(1+2*maxClockDrift)) + slack
}

// maxLeaseOn returns the longest lease on a worker that other owners, or orders for another
// incarnation, may have given. A deadline by the clock of another incarnation may be far in the future,
// so for workers with incarnations the worker's own limit counts.
func (p *Pool) maxLeaseOn(w *worker) time.Duration {
	if w.info.ID.StartedAt() != 0 {
		return max(p.cfg.WorkerMaxLease, p.cfg.MaxLeaseDuration)
	}
	return p.cfg.MaxLeaseDuration
}

// previousLeasesExpireAt returns when all leases that previous owners have given on a worker have expired, if
// the worker has not answered this owner.
func (p *Pool) previousLeasesExpireAt(w *worker) clock.Time {
	return p.takeover.ordersUntil.Add(leaseExpiryTime(p.maxLeaseOn(w)))
}

// RestartTakeoverTimers restarts the time limits of a takeover. The caller invokes it when most workers have
// accepted this owner's token for the first time, since orders of the previous owner may have taken effect
// until then.
func (p *Pool) RestartTakeoverTimers(now clock.Time) {
	if p.takeover.pending {
		p.takeover.ordersUntil = now.Add(p.cfg.AuthorityTerm)
	}
}

// updateTakeover unblocks the jobs whose runs are all known, and ends the takeover when no unknown runs
// are left.
func (p *Pool) updateTakeover(now clock.Time) {
	if !p.takeover.pending || !p.jobsLoaded {
		return
	}
	silent := p.silentWorkers()
	presumed := false
	if len(silent) > 0 || p.takeover.hasUnreadableWorker {
		if at := p.previousRunsExpireAt(); now < at || !p.isOwnershipConfirmedSince(at) {
			p.updateBlockedJobs(silent)
			return
		}
		presumed = true
	}
	p.takeover.pending = false
	p.cfg.Log(Event{Name: "takeover_settled", Detail: fmt.Sprintf("by_time=%t silent_workers=%d", presumed, len(silent))})
	p.clearRemainingUse()
	p.updateUnreportedUse()
	for _, j := range p.jobsByID() {
		if j.blockedByTakeover {
			j.runsPresumedEnded = presumed
			p.unblockJob(j)
		}
		p.forgetJobIfIdle(j)
	}
}

// silentWorkers lists the incarnations of workers that have not reported their runs, sorted by ID.
func (p *Pool) silentWorkers() []takeover.SilentWorker {
	var out []takeover.SilentWorker
	for _, w := range p.workersByID() {
		if !w.reported && !w.terminated {
			out = append(out, takeover.SilentWorker{Worker: w.info.ID.Name(), Retired: w.retired, Jobs: w.retiredJobs})
		}
	}
	return out
}

// updateBlockedJobs keeps jobs blocked that may have runs on silent workers, and unblocks the others.
func (p *Pool) updateBlockedJobs(silent []takeover.SilentWorker) {
	t := &p.takeover
	if t.hasUnreadableWorker || t.blockedJobs != nil && slices.EqualFunc(silent, t.silentWorkers, takeover.SilentWorker.Equal) {
		return
	}
	t.silentWorkers, t.blockedJobs = silent, takeover.NewBlockedJobs(silent)
	blocked := 0
	for _, j := range p.jobsByID() {
		if !j.blockedByTakeover {
			continue
		}
		if p.mayHaveUnknownRuns(j) {
			blocked++
			continue
		}
		p.unblockJob(j)
		p.forgetJobIfIdle(j)
	}
	p.updateUnreportedUse()
	if !t.onlyRetiredLogged && !t.mayRunAnyJob() {
		t.onlyRetiredLogged = true
		p.cfg.Log(Event{Name: "takeover_open_settled", Detail: fmt.Sprintf("jobs_held=%d retired_workers=%d", blocked, len(silent))})
	}
}

// unblockJob records that all runs of previous owners are known for a job.
func (p *Pool) unblockJob(j *jobState) {
	j.blockedByTakeover = false
	p.needsPlan = true
	p.stopPartialGangs(j)
}

// mayHaveUnknownRuns reports whether silent workers may have runs of a job.
func (p *Pool) mayHaveUnknownRuns(j *jobState) bool {
	if !p.takeover.pending || p.isUnknownToPreviousOwners(j) {
		return false
	}
	return p.takeover.blockedJobs == nil || p.takeover.blockedJobs.IsBlocked(j.job.ID, p.storedWorkers(j))
}

// RecordUnreadableWorker records that a worker may have runs of previous owners but can't be polled.
// The takeover then lasts until all leases of previous owners have expired.
func (p *Pool) RecordUnreadableWorker() {
	p.takeover.hasUnreadableWorker = true
}

// previousRunsExpireAt returns when all runs of previous owners have ended that no worker has reported.
// For a worker that answers without complete reports, this owner's own polls go on extending the
// leases.
func (p *Pool) previousRunsExpireAt() clock.Time {
	lease := p.cfg.MaxLeaseDuration
	if p.takeover.hasUnreadableWorker {
		lease = max(lease, p.cfg.WorkerMaxLease) // it may have incarnations
	}
	at := p.takeover.ordersUntil.Add(leaseExpiryTime(lease))
	for _, w := range p.workers {
		if w.reported || w.terminated {
			continue
		}
		at = max(at, p.previousLeasesExpireAt(w))
		if w.fenced {
			at = max(at, w.leasesExpireAt())
		}
	}
	return at
}

// mayRunAnyJob reports whether there may be a worker with runs of any job.
func (t *takeoverState) mayRunAnyJob() bool {
	return t.pending && (t.hasUnreadableWorker || t.blockedJobs == nil || t.blockedJobs.UnrestrictedWorkers() > 0)
}

// isBlockedByTakeover reports whether a previous owner may have started tasks of the job that this
// owner does not know of.
func (p *Pool) isBlockedByTakeover(j *jobState) bool {
	return p.takeover.pending && j.blockedByTakeover
}

// hasTasksBlockedByTakeover reports whether a previous owner may have started tasks of a step that this owner does
// not know of.
func (p *Pool) hasTasksBlockedByTakeover(s *step) bool {
	return p.isBlockedByTakeover(s.occurrence.job) && !s.isUnknownToPreviousOwners()
}

// isTaskBlockedByTakeover is hasTasksBlockedByTakeover for one waiting task.
func (p *Pool) isTaskBlockedByTakeover(t *task) bool {
	return p.hasTasksBlockedByTakeover(t.step) && (t.seenActiveRun == 0 || t.mayHaveExhaustedAttempts())
}

// isStepBlockedByTakeover reports whether all waiting tasks of a step are blocked.
func (p *Pool) isStepBlockedByTakeover(s *step) bool {
	return p.hasTasksBlockedByTakeover(s) && !slices.ContainsFunc(s.tasks, func(t *task) bool { return t.waiting() && !p.isTaskBlockedByTakeover(t) })
}

// mayHaveExhaustedAttempts reports whether a task whose run was seen active may have failed too often to start again:
// silent workers may not have reported the failures of runs between the one that the store has as the last and the
// one that was seen. Numbers that were not assigned count as well, since those of a later term begin higher.
func (t *task) mayHaveExhaustedAttempts() bool {
	unread, failuresBefore := t.seenActiveRun-1-t.storedLastRun, 0
	for _, n := range t.failures {
		if n >= t.seenActiveRun {
			continue
		}
		failuresBefore++
		if n > t.storedLastRun {
			unread--
		}
	}
	switch {
	case unread <= 0 || t.step.spec.LongRunning:
		return false
	case t.lastEndedRun > t.seenActiveRun:
		// The store may have a later last run by now, so the next owner would not count the unread failures.
		return true
	}
	limit := t.step.occurrence.job.maxAttempts()
	failuresSince := len(t.failures) - failuresBefore
	return min(failuresBefore+unread, limit-1)+failuresSince >= limit // a previous owner has started the run that was seen
}

// isUnknownToPreviousOwners reports whether no previous owner can have started a step, since it can't have heard
// that all tasks of a step before it were done.
func (s *step) isUnknownToPreviousOwners() bool {
	for _, n := range s.spec.After {
		if before := s.occurrence.steps[n]; before.seenActive || before.isUnknownToPreviousOwners() {
			return true
		}
	}
	return false
}

// recordSeenActive records that a report shows a run of a previous owner as active. The worker rejects previous
// owners by then, so that none of them hears of the end of the run, and none has started the task again. This
// does not hold for a run that the next incarnation of its worker may have started late.
func (p *Pool) recordSeenActive(r *run) {
	switch s := r.task.step; {
	case !p.takeover.pending || r.worker.info.ID.StartedAt() != 0:
	case !s.spec.Gang:
		r.task.seenActiveRun, s.seenActive = r.number, true
	case s.isGangSeenActive(r.number):
		s.seenActive = true
	}
}

// isGangSeenActive reports whether reports have shown all members of a gang as active, and none as ended. The worker
// of a member that was not seen might tell a previous owner that the gang is done.
func (s *step) isGangSeenActive(number int) bool {
	return len(s.tasks) == s.spec.Count && !slices.ContainsFunc(s.tasks, func(t *task) bool {
		r := t.current
		return r == nil || !r.adopted || r.number != number || r.worker.info.ID.StartedAt() != 0
	})
}

// isUnknownToPreviousOwners reports whether no previous owner can have started the job.
func (p *Pool) isUnknownToPreviousOwners(j *jobState) bool {
	return !p.cfg.HasPreviousOwner || j.acceptedInCurrentTerm
}
