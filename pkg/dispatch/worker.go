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
	// answerTimeout is how long ago a worker may have answered to be given a task.
	answerTimeout = 1700 * time.Millisecond
	// leaseExtensionTimeout is how long ago a worker may have answered for its leases to be extended.
	// A silent one is only asked, so that what it runs lapses at a time that we know.
	leaseExtensionTimeout = 900 * time.Millisecond
	// entryRewriteTimeout is how long after its entry was found gone a worker that answers is still
	// given tasks. One that lives and reaches the store writes its entry again in that time.
	entryRewriteTimeout = 2500 * time.Millisecond
	// A worker is left out for suspendFor after suspendAfter failures in a row that are not
	// all of one job.
	suspendAfter = 2
	suspendFor   = 4 * time.Second
)

type runKey struct {
	task job.TaskID
	run  int
}

// worker is one life of a worker.
type worker struct {
	info           WorkerInfo
	incarnationSeq int64 // in the order in which lives were taken in
	history        *workerHistory
	hasEntry       bool // its entry stands in the store
	// entryRemovedAt is when its entry was found gone; 0 when that is not known.
	entryRemovedAt clock.Time
	// entryReplaced says that it went since another life's, which may be of one before, was written in its place.
	entryReplaced bool
	// inRoster says that the roster has it, so that a later owner will ask it.
	inRoster bool
	// retired says that it gets no start any more, and retiredJobs are those that may have had a run there by then (retirement.go).
	retired          bool
	retiredJobs      []job.ID
	discoveredAt     clock.Time // since when this owner knows of it
	leavesAt         clock.Time // when a draining worker may end; 0 when it stays
	evacuated        bool       // its data hall is being evacuated
	terminated       bool       // the life has ended, or can't run anything any more
	fenced           bool       // it has answered this owner
	reported         bool       // its lists were taken in
	reportIncomplete bool       // its last report does not tell all that it runs
	hasPredecessor   bool       // on a life that has ended while this owner knew of it

	clock          int64 // its clock when it answered last …
	clockAt        clock.Time
	lastAnsweredAt clock.Time
	// lastAnsweredPollSentAt is when the last hold was sent that was answered: the worker knew of no later owner at some time
	// after that. lastAnsweredAt may be later than that time, since answers are held up on their way.
	lastAnsweredPollSentAt clock.Time
	// pendingPolls counts the holds on their way, and lastPollEndedAt is when the last of them was over; unwatched says that none was on its way for so
	// long that the worker may have started again unseen (ackWithin).
	pendingPolls    int
	lastPollEndedAt clock.Time
	pollGap         bool
	latestDeadline  int64 // latest deadline sent, on its clock
	// inheritedLeasesUntil is when the leases that a former owner gave have ended; 0 without any.
	inheritedLeasesUntil clock.Time

	used           cell.Resources
	runs           map[runKey]*run
	orphanRuns     int // runs there of which nothing is known
	unparsableRuns int // of these, runs whose names can't be read
	// orphanAccounts are the customers of foreign runs, one for each run.
	orphanAccounts []*account.Account
	// unknownJobRuns are the runs of jobs that may become known, by the last report.
	unknownJobRuns []ActiveRun
	// lastLoggedUnknownJob is the last job that was logged as not known when a run of it was listed.
	lastLoggedUnknownJob job.ID

	// unresolvedStarts are starts before it went silent, or of former owners, that it may not have survived.
	unresolvedStarts crash.Starts
	// unansweredAt is when the first call got no answer since the worker was heard of; 0 for none.
	unansweredAt clock.Time
	claim        claim

	lastReadEnd      int64               // highest number of an end that was read
	deferredEnds     []FinishedRun       // of these, ends of jobs that may become known, by number
	ackDelays        latestart.AckDelays // ends that are not to be noted yet (delayAck)
	lastCommittedEnd int64               // highest number up to which all ends are taken in and the job changes are committed

	pacing         pace.Control
	suspendedUntil clock.Time // not to be given tasks before
	failures       int        // in a row
	failedJob      job.ID     // of the last failure
	probation      bool
}

func (w *worker) free() cell.Resources {
	return w.info.Capacity.Sub(w.used)
}

// usable says whether the worker may be given a task now.
func (w *worker) isUsable(now clock.Time) bool {
	return w.isPresent(now) && w.isAnswering(now) && w.inRoster && !w.terminated && !w.mayBeReplaced() &&
		!w.isLeaving() && !w.history.cordoned && w.orphanRuns == 0 && now >= w.suspendedUntil
}

// isAnswering says that the worker has answered lately, and the last call, too, and that it was asked again soon after. One that has not may
// have ended, and the life that is there next may hold less.
func (w *worker) isAnswering(now clock.Time) bool {
	return w.reported && w.unansweredAt == 0 && now.Sub(w.lastAnsweredAt) < answerTimeout && !w.pollGap && !w.hasPollGap(now)
}

// hasPollGap says that no hold is on its way to the worker and none was for so long that it may have started again
// under its ID.
func (w *worker) hasPollGap(now clock.Time) bool {
	return w.info.ID.StartedAt() != 0 && w.pendingPolls == 0 && now.Sub(w.lastPollEndedAt) >= ackWithin
}

// recordPollSent takes in that a hold is sent.
func (w *worker) recordPollSent(now clock.Time) {
	w.pollGap = w.pollGap || w.hasPollGap(now)
	w.pendingPolls++
}

// recordPollEnded takes in that a hold was answered, or that it failed.
func (w *worker) recordPollEnded(now clock.Time) {
	w.pendingPolls = max(w.pendingPolls-1, 0)
	w.lastPollEndedAt = now
}

// isPresent says that the worker's entry stands, or went so lately that the worker may still
// write it anew: entries lapse while the store is away.
func (w *worker) isPresent(now clock.Time) bool {
	return w.hasEntry || w.entryRemovedAt != 0 && now.Sub(w.entryRemovedAt) < entryRewriteTimeout
}

// leaseDeadline is the time on the worker's clock up to which a lease is given now.
func (w *worker) leaseDeadline(now clock.Time, hold time.Duration) int64 {
	return w.clock + now.Sub(w.clockAt).Milliseconds() + hold.Milliseconds()
}

// leasesExpireAt is when everything on the worker has ended, by our clock.
func (w *worker) leasesExpireAt() clock.Time {
	left := time.Duration(w.latestDeadline-w.clock) * time.Millisecond
	return max(w.clockAt.Add(leaseExpiryTime(max(left, 0))), w.inheritedLeasesUntil)
}

// updateClock takes in the clock of an answer that has just arrived.
func (w *worker) updateClock(workerClock int64, now clock.Time) {
	if workerClock >= w.clock && workerClock > 0 {
		w.clock, w.clockAt = workerClock, now
		w.unansweredAt = 0
	}
}

// workersByID lists all workers, by id.
func (p *Pool) workersByID() []*worker {
	if p.sortedWorkers == nil {
		for _, w := range p.workers {
			p.sortedWorkers = append(p.sortedWorkers, w)
		}
		slices.SortFunc(p.sortedWorkers, func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	}
	return p.sortedWorkers
}

// HandlePollFailure takes in that a hold got no answer.
func (p *Pool) HandlePollFailure(id WorkerID, now clock.Time) {
	if w, ok := p.workers[id]; ok {
		w.recordPollEnded(now)
		w.recordUnanswered(now)
	}
}

// recordUnanswered takes in that a call got no answer.
func (w *worker) recordUnanswered(now clock.Time) {
	if w.unansweredAt == 0 {
		w.unansweredAt = now
	}
}

// AnsweringCount counts the workers that have answered a hold that was sent within a time, and all that are
// listed or may run something.
func (p *Pool) AnsweringCount(now clock.Time, within time.Duration) (answering, all int) {
	for _, w := range p.workers {
		if w.terminated || !w.hasEntry && len(w.runs) == 0 && w.fenced {
			continue
		}
		all++
		if w.fenced && now.Sub(w.lastAnsweredPollSentAt) < within {
			answering++
		}
	}
	return answering, all
}

// terminateWorker takes in that nothing of a worker runs any more.
func (p *Pool) terminateWorker(w *worker, why string, now clock.Time) {
	if w.terminated {
		return
	}
	w.terminated = true
	p.markRosterChanged(w.info.ID)
	w.clearOrphans()
	w.history.raiseToken(p.cfg.Token) // as in succeed: another life may be known by now
	p.cfg.Log(Event{Name: "worker_gone", Worker: w.info.ID, Detail: why})
	p.handleWorkerCrash(w, now)
	p.loseRuns(w, now)
}

// loseExpiredRuns ends the runs of a silent worker whose leases have lapsed at a time. What its next life may have taken goes on to count.
func (p *Pool) loseExpiredRuns(w *worker, lapsed, now clock.Time) {
	var lost []*run
	for _, r := range sortedRuns(w) {
		if until := max(lapsed, p.transferredRunExpiresAt(w, r)); now >= until && p.isOwnershipConfirmedSince(until) {
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

// loseRuns ends all runs of a worker without a word of it. What is kept in the store of their starts stays only for those in doubt.
func (p *Pool) loseRuns(w *worker, now clock.Time) {
	for _, r := range sortedRuns(w) {
		p.loseRun(w, r, now)
	}
}

func (p *Pool) loseRun(w *worker, r *run, now clock.Time) {
	if !w.unresolvedStarts.HasRun(r.task.id(), r.number) {
		p.removeAttempt(r.task, r.number)
	}
	p.addLateStart(r, "")
	p.handleRunEnd(r, EndLost, "", now)
}

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

// expireWorker ends the runs of a worker that has been silent for so long that all its leases
// have lapsed, and forgets one that left.
func (p *Pool) expireWorker(w *worker, now clock.Time) {
	if w.terminated {
		if !w.hasEntry {
			p.forgetWorker(w)
		}
		return
	}
	lapsed := w.leasesExpireAt()
	if now.Sub(w.lastAnsweredAt) < answerTimeout || now < lapsed {
		return
	}
	if len(w.runs) > 0 {
		p.loseExpiredRuns(w, lapsed, now)
	}
	if len(w.orphanAccounts) > 0 && p.isOwnershipConfirmedSince(lapsed) {
		w.clearOrphans()
	}
	if !w.reported {
		lapsed = max(lapsed, p.takeover.runsExpireAt)
	}
	for _, r := range w.runs {
		lapsed = max(lapsed, p.transferredRunExpiresAt(w, r))
	}
	if !w.hasEntry && now >= lapsed && p.isOwnershipConfirmedSince(lapsed) {
		p.terminateWorker(w, "left", now)
	}
}

// forgetWorker drops a worker that has gone.
func (p *Pool) forgetWorker(w *worker) {
	delete(p.workers, w.info.ID)
	w.history.forget(w)
	p.sortedWorkers = nil
}

// recordWorkerResult counts the ends on a worker to leave out one that fails whatever it is given.
func (p *Pool) recordWorkerResult(w *worker, r *run, how EndReason, now clock.Time) {
	switch how {
	case EndDone:
		w.failures, w.probation = 0, false
	case EndFailed:
		id := r.task.step.occurrence.job.job.ID
		if w.failures == 0 || w.failedJob != id {
			w.failures++
		}
		w.failedJob = id
		if p.isDisabled(Suspension) {
			return
		}
		if w.failures >= suspendAfter || w.probation && w.failures > 0 {
			p.suspendWorker(w, suspendFor, "failures", now)
			w.failures, w.probation = 0, true
		}
	}
}

// suspendWorker leaves a worker out for a time.
func (p *Pool) suspendWorker(w *worker, d time.Duration, why string, now clock.Time) {
	w.suspendedUntil = max(w.suspendedUntil, now.Add(d))
	p.cfg.Log(Event{Name: "worker_suspended", Worker: w.info.ID, Detail: why})
}
