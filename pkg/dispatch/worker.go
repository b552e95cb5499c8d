package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/account"
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/crash"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/latestart"
	"foldarch.dev/foldarch/pkg/pace"
)

const (
	// answerTimeout is the time since its last answer after which a worker is given no more tasks.
	answerTimeout = 1700 * time.Millisecond
	// leaseExtensionTimeout is the time since its last answer after which a worker's leases are no
	// longer extended. The worker is still polled, but its runs expire at a known time.
	leaseExtensionTimeout = 900 * time.Millisecond
	// entryRewriteTimeout is how long a worker that answers is still given tasks after its entry was
	// found to be gone. A worker that runs and reaches the store writes its entry again within that
	// time.
	entryRewriteTimeout = 2500 * time.Millisecond
)

type runKey struct {
	task job.TaskID
	run  int
}

// worker is one incarnation of a worker.
type worker struct {
	info           WorkerInfo
	incarnationSeq int64 // numbers the incarnations in the order in which they became known
	history        *workerHistory
	hasEntry       bool // its entry is in the store
	// entryRemovedAt is when its entry was found to be gone; 0 when that is not known.
	entryRemovedAt clock.Time
	// entryReplaced says that its entry was replaced by that of another incarnation, which may be an
	// earlier one.
	entryReplaced bool
	// inRoster says that the roster has the worker, so that a later owner will poll it.
	inRoster bool
	// retired says that the worker gets no more starts; retiredJobs are the jobs that may have had a
	// run there when it was retired (retirement.go).
	retired          bool
	retiredJobs      []job.ID
	discoveredAt     clock.Time // when this owner discovered it
	succeedsAnother  bool       // another incarnation of its name was known before
	leavesAt         clock.Time // when a draining worker may leave; 0 if it is not draining
	evacuated        bool       // its data hall is being evacuated
	terminated       bool       // the incarnation has ended, or can't run anything any more
	terminatedAt     clock.Time // when it was found to have ended; 0 if another incarnation replaced it
	fenced           bool       // it has answered this owner, so it rejects orders of previous owners
	reported         bool       // a complete report has been applied
	reportIncomplete bool       // its last report may not list all its runs

	clock          int64      // the worker's clock in its last answer, …
	clockAt        clock.Time // … and when that answer arrived
	lastAnsweredAt clock.Time
	// lastAnsweredPollSentAt is when the last answered poll was sent: at some time after that, the
	// worker had not seen the token of a later owner. lastAnsweredAt may be later than that time, since
	// answers may be delayed.
	lastAnsweredPollSentAt clock.Time
	// pendingPolls counts the polls in flight, and lastPollEndedAt is when the last of them ended.
	// pollGap says that none was in flight for so long that the worker may have been restarted
	// unnoticed (minRestartTime).
	pendingPolls    int
	lastPollEndedAt clock.Time
	pollGap         bool
	// extensionPending says that a poll which extends leases may be in flight.
	extensionPending bool
	latestDeadline   int64 // the latest lease deadline that was sent, by the worker's clock
	// inheritedLeasesUntil is when the leases given by a previous owner have expired; 0 if there are
	// none.
	inheritedLeasesUntil clock.Time

	used           cell.Resources
	runs           map[runKey]*run
	orphanRuns     int // listed runs of which nothing else is known
	unparsableRuns int // those of them whose names can't be parsed
	// orphanAccounts are the accounts in which orphans of this worker are counted, one entry for each
	// run.
	orphanAccounts []*account.Account
	// unknownJobRuns are the runs in the last report whose jobs are not known yet (isJobUnresolved).
	unknownJobRuns []ActiveRun
	// lastLoggedUnknownJob is the job of the last listed run that was logged as unknown.
	lastLoggedUnknownJob job.ID

	// unresolvedStarts are starts from before the worker became unresponsive, or by previous owners, of
	// which it is not known whether they crashed the worker.
	unresolvedStarts crash.Starts
	// unansweredAt is when the first call failed since the worker's last answer; 0 if none did.
	unansweredAt clock.Time
	claim        claim

	lastReadEnd  int64               // highest number of an end that was read from a report
	deferredEnds []FinishedRun       // those of these ends whose jobs may become known, by number
	ackDelays    latestart.AckDelays // ends that must not be acknowledged yet (delayAck)
	// lastCommittedEnd is the number up to which all ends are applied and the changes to their jobs
	// committed.
	lastCommittedEnd int64

	pacing              pace.Control
	suspendedUntil      clock.Time // gets no tasks before this time
	distrustedUntil     clock.Time // gets tasks only when no other worker can (distrustWorker)
	consecutiveFailures int        // not counting further ones of the same job
	lastFailedJob       job.ID     // the job of the last failure
	onProbation         bool       // it was distrusted for failures, and no run has succeeded since
}

// free returns the capacity that no run uses.
func (w *worker) free() cell.Resources {
	return w.info.Capacity.Sub(w.used)
}

// isUsable reports whether the worker may be given a task now.
func (w *worker) isUsable(now clock.Time) bool {
	return w.isHealthy(now) && now >= w.suspendedUntil
}

// isHealthy reports whether nothing but a suspension speaks against giving the worker a task now.
func (w *worker) isHealthy(now clock.Time) bool {
	return w.isPresent(now) && w.isAnswering(now) && w.inRoster && !w.terminated && !w.mayBeReplaced() &&
		!w.isLeaving() && !w.history.cordoned && w.orphanRuns == 0
}

// isSuspended reports whether the worker is suspended (suspendWorker) or distrusted (distrustWorker).
func (w *worker) isSuspended(now clock.Time) bool {
	return now < w.suspendedUntil || w.isDistrusted(now)
}

// isAnswering reports whether the worker has answered recently, including the last call, and was polled
// again soon after. A worker that has not may have ended, and the incarnation that replaces it may have
// less capacity.
func (w *worker) isAnswering(now clock.Time) bool {
	return w.reported && w.unansweredAt == 0 && now.Sub(w.lastAnsweredAt) < answerTimeout && !w.pollGap && !w.hasPollGap(now)
}

// hasPollGap reports whether no poll is in flight to the worker and none was for so long that its next
// incarnation may have replaced it unnoticed. This can't happen where IDs have no start time: a
// restarted worker then has another name.
func (w *worker) hasPollGap(now clock.Time) bool {
	return w.info.ID.StartedAt() != 0 && w.pendingPolls == 0 && now.Sub(w.lastPollEndedAt) >= minRestartTime
}

// recordPollSent records that a poll is sent.
func (w *worker) recordPollSent(now clock.Time) {
	w.pollGap = w.pollGap || w.hasPollGap(now)
	w.pendingPolls++
}

// recordPollEnded records that a poll was answered or failed.
func (w *worker) recordPollEnded(now clock.Time) {
	w.pendingPolls = max(w.pendingPolls-1, 0)
	w.lastPollEndedAt = now
	w.extensionPending = w.extensionPending && w.pendingPolls > 0
}

// isPresent reports whether the worker's entry exists, or was removed so recently that the worker may
// still write it again: entries expire while the store is down.
func (w *worker) isPresent(now clock.Time) bool {
	return w.hasEntry || w.entryRemovedAt != 0 && now.Sub(w.entryRemovedAt) < entryRewriteTimeout
}

// leaseDeadline returns the end, by the worker's clock, of a lease that is given now.
func (w *worker) leaseDeadline(now clock.Time, lease time.Duration) int64 {
	return w.clock + now.Sub(w.clockAt).Milliseconds() + lease.Milliseconds()
}

// leasesExpireAt returns when all leases on the worker have expired, by the owner's clock.
func (w *worker) leasesExpireAt() clock.Time {
	left := time.Duration(w.latestDeadline-w.clock) * time.Millisecond
	return max(w.clockAt.Add(leaseExpiryTime(max(left, 0))), w.inheritedLeasesUntil)
}

// updateClock records the worker's clock in an answer that has just arrived.
func (w *worker) updateClock(workerClock int64, now clock.Time) {
	if workerClock >= w.clock && workerClock > 0 {
		w.clock, w.clockAt = workerClock, now
		w.unansweredAt = 0
	}
}

// workersByID lists all workers, sorted by ID.
func (p *Pool) workersByID() []*worker {
	if p.sortedWorkers == nil {
		for _, w := range p.workers {
			p.sortedWorkers = append(p.sortedWorkers, w)
		}
		slices.SortFunc(p.sortedWorkers, func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	}
	return p.sortedWorkers
}

// HandlePollFailure records that a poll got no answer.
func (p *Pool) HandlePollFailure(id WorkerID, now clock.Time) {
	if w, ok := p.workers[id]; ok {
		if w.extensionPending {
			w.history.leasesExtendedBy = now // the poll may have waited until now to be sent
		}
		w.recordPollEnded(now)
		w.recordUnanswered(now)
	}
}

// recordUnanswered records that a call got no answer.
func (w *worker) recordUnanswered(now clock.Time) {
	if w.unansweredAt == 0 {
		w.unansweredAt = now
	}
}

// terminateWorker records that an incarnation of a worker has ended and nothing runs on it any more.
func (p *Pool) terminateWorker(w *worker, reason string, now clock.Time) {
	if w.terminated {
		return
	}
	w.terminated, w.terminatedAt = true, now
	p.markRosterChanged(w.info.ID)
	w.clearOrphans()
	w.history.raiseToken(p.cfg.Token) // as in replaceIncarnation: another incarnation may already be known
	p.cfg.Log(Event{Name: "worker_gone", Worker: w.info.ID, Detail: reason})
	p.handleWorkerCrash(w, now)
	p.loseRuns(w, now)
}

// loseExpiredRuns ends the runs of an unresponsive worker whose leases have expired. Runs that the worker's
// next incarnation may have started still count until their own expiry.
func (p *Pool) loseExpiredRuns(w *worker, expiredAt, now clock.Time) {
	var lost []*run
	for _, r := range sortedRuns(w) {
		if until := max(expiredAt, p.transferredRunExpiresAt(w, r)); now >= until && p.isOwnershipConfirmedSince(until) {
			lost = append(lost, r)
		}
	}
	if len(lost) == 0 {
		return
	}
	p.cfg.Log(Event{Name: "worker_lapsed", Worker: w.info.ID, Detail: fmt.Sprintf(
		"unheard_ms=%d runs=%d may_have_gone_over=%d", now.Sub(w.lastAnsweredAt).Milliseconds(), len(lost), len(w.runs)-len(lost))})
	w.keepUnresolvedStarts()
	for _, r := range lost {
		r.task.presumedLost = true
		p.loseRun(w, r, now)
	}
}

// loseRuns ends all runs of a worker whose ends were not reported. Stored starts are dropped, except
// for unresolved ones.
func (p *Pool) loseRuns(w *worker, now clock.Time) {
	for _, r := range sortedRuns(w) {
		p.loseRun(w, r, now)
	}
}

// loseRun ends one run of a worker as lost.
func (p *Pool) loseRun(w *worker, r *run, now clock.Time) {
	if !w.unresolvedStarts.HasRun(r.task.id(), r.number) {
		p.removeAttempt(r.task, r.number)
	}
	p.addLateStart(r, "")
	p.handleRunEnd(r, EndLost, "", now)
}

// sortedRuns lists the runs on a worker, sorted by task and run number.
func sortedRuns(w *worker) []*run {
	out := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *run) int {
		return cmp.Or(compareTasks(a.task, b.task), cmp.Compare(a.number, b.number))
	})
	return out
}

// expireWorker ends the runs of a worker that has not answered for so long that all its leases have
// expired, and forgets a worker that has left.
func (p *Pool) expireWorker(w *worker, now clock.Time) {
	if w.terminated {
		if !w.hasEntry {
			p.forgetWorker(w)
		}
		return
	}
	expiresAt := w.leasesExpireAt()
	if now.Sub(w.lastAnsweredAt) < answerTimeout || now < expiresAt {
		return
	}
	if len(w.runs) > 0 {
		p.loseExpiredRuns(w, expiresAt, now)
	}
	if len(w.orphanAccounts) > 0 && p.isOwnershipConfirmedSince(expiresAt) {
		w.clearOrphans()
	}
	if !w.reported {
		expiresAt = max(expiresAt, p.previousLeasesExpireAt(w))
	}
	for _, r := range w.runs {
		expiresAt = max(expiresAt, p.transferredRunExpiresAt(w, r))
	}
	if !w.hasEntry && now >= expiresAt && p.isOwnershipConfirmedSince(expiresAt) {
		p.terminateWorker(w, "left", now)
	}
}

// forgetWorker drops a terminated worker.
func (p *Pool) forgetWorker(w *worker) {
	delete(p.workers, w.info.ID)
	w.history.forget(w)
	p.sortedWorkers = nil
}
