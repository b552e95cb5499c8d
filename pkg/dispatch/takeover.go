package dispatch

import (
	"fmt"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/takeover"
)

// maxClockDrift is how much slower than ours a worker's clock may run.
const maxClockDrift = 0.02

// takeoverState tells which jobs have to wait until the runs of former owners are known.
//
// A former owner goes on for at most AuthorityTerm after most workers were fenced. What it
// starts until then on a worker that has not been fenced lapses within MaxHold. A job that
// was accepted under a former term is free when all workers have reported that may run it (package
// takeover), or when everything has lapsed. One that was accepted under our own term is free at once: a
// former owner that is told of it ends.
type takeoverState struct {
	pending      bool
	runsExpireAt clock.Time // everything of former owners has ended
	ordersUntil  clock.Time // until when former owners may give orders to workers that have not answered here
	// silentWorkers are the workers that have not reported, and holds what they hold back; nil before that was worked out.
	silentWorkers []takeover.SilentWorker
	blockedJobs   *takeover.BlockedJobs
	// onlyRetiredLogged says that only retired workers were silent once.
	onlyRetiredLogged bool
	// hasUncountedCrash says that a worker may have crashed under a start of a former owner that nobody has counted.
	hasUncountedCrash bool
	// unknown says that a worker may run something that can't be asked, since the roster's record of it can't be read.
	hasUnreadableWorker bool
}

func newTakeover(cfg Config, now clock.Time) takeoverState {
	orders := now.Add(cfg.AuthorityTerm)
	return takeoverState{pending: cfg.HasPreviousOwner, ordersUntil: orders, runsExpireAt: orders.Add(leaseExpiryTime(cfg.MaxLeaseDuration))}
}

// leaseExpiryTime is the time by our clock after which a lease of a duration by a worker's clock
// has certainly ended.
func leaseExpiryTime(hold time.Duration) time.Duration {
	const slack = 20 * time.Millisecond
	return time.Duration(float64(hold)*(1+2*maxClockDrift)) + slack
}

// maxLeaseOn is the longest lease that orders of others, or for another life, may have given on a worker. A deadline by
// the clock of another life may be far ahead.
func (p *Pool) maxLeaseOn(w *worker) time.Duration {
	if w.info.ID.StartedAt() != 0 {
		return max(p.cfg.WorkerMaxLease, p.cfg.MaxLeaseDuration)
	}
	return p.cfg.MaxLeaseDuration
}

// RestartTakeoverTimers begins anew to count the terms of a takeover: most workers are fenced only now.
func (p *Pool) RestartTakeoverTimers(now clock.Time) {
	if p.takeover.pending {
		t := newTakeover(p.cfg, now)
		p.takeover.ordersUntil, p.takeover.runsExpireAt = t.ordersUntil, t.runsExpireAt
	}
}

// updateTakeover frees the jobs whose runs are all known, and ends the waiting when nothing is left to be known.
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
	p.cfg.Log(Event{Name: "takeover_settled"})
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

// silentWorkers lists the lives of workers that have not told what they run, by id.
func (p *Pool) silentWorkers() []takeover.SilentWorker {
	var out []takeover.SilentWorker
	for _, w := range p.workersByID() {
		if !w.reported && !w.terminated {
			out = append(out, takeover.SilentWorker{Worker: w.info.ID.Name(), Retired: w.retired, Jobs: w.retiredJobs})
		}
	}
	return out
}

// updateBlockedJobs holds back the jobs that may have runs on silent workers, and frees the others.
func (p *Pool) updateBlockedJobs(silent []takeover.SilentWorker) {
	t := &p.takeover
	if t.hasUnreadableWorker || t.blockedJobs != nil && slices.EqualFunc(silent, t.silentWorkers, takeover.SilentWorker.Equal) {
		return
	}
	t.silentWorkers, t.blockedJobs = silent, takeover.NewBlockedJobs(silent)
	held := 0
	for _, j := range p.jobsByID() {
		if !j.blockedByTakeover {
			continue
		}
		if p.mayHaveUnknownRuns(j) {
			held++
			continue
		}
		p.unblockJob(j)
		p.forgetJobIfIdle(j)
	}
	p.updateUnreportedUse()
	if !t.onlyRetiredLogged && !t.mayRunAnyJob() {
		t.onlyRetiredLogged = true
		p.cfg.Log(Event{Name: "takeover_open_settled", Detail: fmt.Sprintf("jobs_held=%d retired_workers=%d", held, len(silent))})
	}
}

// unblockJob takes in that all runs of former owners are known of a job.
func (p *Pool) unblockJob(j *jobState) {
	j.blockedByTakeover = false
	p.needsPlan = true
	p.stopPartialGangs(j)
}

// mayHaveUnknownRuns says that silent workers may have runs of a job.
func (p *Pool) mayHaveUnknownRuns(j *jobState) bool {
	if !p.takeover.pending || p.isUnknownToPreviousOwners(j) {
		return false
	}
	return p.takeover.blockedJobs == nil || p.takeover.blockedJobs.IsBlocked(j.job.ID, p.storedWorkers(j))
}

// RecordUnreadableWorker takes in that a worker may run something of former owners and can't be asked, so that all of theirs has to lapse.
func (p *Pool) RecordUnreadableWorker() {
	p.takeover.hasUnreadableWorker = true
}

// previousRunsExpireAt is when nothing of former owners runs any more that no worker has told of. A worker that answers without lists that count is
// held on by this owner.
func (p *Pool) previousRunsExpireAt() clock.Time {
	at := p.takeover.runsExpireAt
	for _, w := range p.workers {
		if w.fenced && !w.reported && !w.terminated {
			at = max(at, w.leasesExpireAt())
		}
	}
	return at
}

// mayRunAnyJob says that there may be a worker with runs of any job.
func (t *takeoverState) mayRunAnyJob() bool {
	return t.pending && (t.hasUnreadableWorker || t.blockedJobs == nil || t.blockedJobs.UnrestrictedWorkers() > 0)
}

// isBlockedByTakeover says that a former owner may have started tasks of the job that we don't know of.
func (p *Pool) isBlockedByTakeover(j *jobState) bool {
	return p.takeover.pending && j.blockedByTakeover
}

// isUnknownToPreviousOwners says that no former owner can have started the job.
func (p *Pool) isUnknownToPreviousOwners(j *jobState) bool {
	return !p.cfg.HasPreviousOwner || j.acceptedInCurrentTerm
}
