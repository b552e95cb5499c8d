package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

const (
	// informedOwnerElectionChance is the probability that the owner changes at a tick.
	informedOwnerElectionChance = 0.005
	// jobsBeforeElection is how many jobs are submitted just before the owner changes, so that tasks of
	// jobs that the next owner knows run at that moment. jobsAfterElection is how many are submitted soon
	// after the change, up to maxInformedOwnerJobs in all.
	jobsBeforeElection   = 1
	jobsAfterElection    = 3
	maxInformedOwnerJobs = historyJobCount * 3 / 2
	// previousOwnerAcceptChance is the probability that one of the latter is accepted by a host that
	// takes the previous owner for the present one.
	previousOwnerAcceptChance = 0.8
	shortRunChance            = 0.4
	// jobScanInterval is the time between two scans of the store for jobs that no host has announced, and
	// maxJobScanDelay how long each way of the call takes at most.
	jobScanInterval = 500 * time.Millisecond
	maxJobScanDelay = 100 * time.Millisecond
	// jobScanOutageChance is the probability that the store does not answer the scans of a new owner for
	// some seconds.
	jobScanOutageChance = 0.2
	// previousOwnerUnawareChance is the probability that the previous owner does not learn from the store
	// that it has been replaced.
	previousOwnerUnawareChance = 0.7
	// newOwnerDelayChance is the probability that a new owner reaches no worker in its first moments, and
	// lateFirstPollChance that it reaches a given worker late.
	newOwnerDelayChance = 0.6
	lateFirstPollChance = 0.15
	// informedOwnerIsolationChance is the probability that a worker becomes unreachable at a tick. While
	// one is, no takeover is completed.
	informedOwnerIsolationChance = 0.0005
)

// electionProbability is the probability that the owner changes at a tick.
func (w *world) electionProbability() float64 {
	if w.informedOwner {
		return informedOwnerElectionChance
	}
	if w.longLeases {
		return 0
	}
	return 0.003
}

// isolationProbability is the probability that a worker becomes unreachable at a tick.
func (w *world) isolationProbability() float64 {
	if w.informedOwner {
		return informedOwnerIsolationChance
	}
	if w.longLeases {
		return 0
	}
	return 0.002
}

// changeOwner elects another owner; with informedOwner it does so soon after jobs were submitted.
func (w *world) changeOwner() {
	if !w.informedOwner {
		w.elect()
		return
	}
	for range jobsBeforeElection {
		if w.submittedJobs < w.maxJobs() {
			w.submitJob()
		}
	}
	w.schedule(w.drawDuration(historyTick, 300*time.Millisecond), w.elect)
}

func (w *world) drawRunTime(longest time.Duration) time.Duration {
	if w.informedOwner && w.chance(shortRunChance) {
		return w.drawDuration(20*time.Millisecond, 200*time.Millisecond)
	}
	if w.longLeases {
		longest = longRunTime
	}
	return w.drawDuration(200*time.Millisecond, longest)
}

// hasAuthority reports whether an owner may still act.
func (o *modelOwner) hasAuthority(now clock.Time) bool {
	return !o.ended && (o.authorityEnd == 0 || now < o.authorityEnd)
}

// announceJob has a host announce to an owner a job that it has accepted. A previous owner that has ended
// receives nothing.
func (w *world) announceJob(o *modelOwner, r job.Record) {
	if !o.loading && (o == w.presentOwner() || o.hasAuthority(w.now)) {
		o.pool.AddJob(r, job.Progress{}, false, 0, w.now)
	}
}

// afterElection has hosts take the previous owner for the present one, in histories with informedOwner.
func (w *world) afterElection(o *modelOwner) {
	if !w.informedOwner {
		return
	}
	w.scheduleJobScans(o, w.drawScanStart(o))
	if len(w.owners) == 1 {
		return
	}
	previous := w.owners[len(w.owners)-2]
	w.extendAuthority(previous)
	w.delayFirstPolls(o)
	for range jobsAfterElection {
		w.submitAfterElection(previous)
	}
}

// drawScanStart draws from when on the store answers the scans of a new owner; it may answer other calls
// meanwhile.
func (w *world) drawScanStart(o *modelOwner) clock.Time {
	if !w.chance(jobScanOutageChance) {
		return w.now
	}
	from := w.now.Add(w.drawDuration(time.Second, 6*time.Second))
	if w.chance(0.5) {
		o.storeUnreachableUntil = from
	}
	w.logf("owner %d can't scan for jobs until %d", o.term, from)
	return from
}

// extendAuthority has a previous owner act for longer than usual.
func (w *world) extendAuthority(previous *modelOwner) {
	if previous.ended || !w.chance(previousOwnerUnawareChance) {
		return
	}
	previous.authorityEnd = w.now.Add(w.drawDuration(ownerTerm/2, ownerTerm))
	previous.storeUnreachableUntil = previous.authorityEnd
}

// delayFirstPolls has a new owner poll workers only some time after its election.
func (w *world) delayFirstPolls(o *modelOwner) {
	var first time.Duration
	if w.chance(newOwnerDelayChance) {
		first = w.drawDuration(100*time.Millisecond, 800*time.Millisecond)
	}
	for _, id := range w.polledWorkers(o) {
		from := w.now.Add(first)
		if w.chance(lateFirstPollChance) {
			from = w.now.Add(w.drawDuration(first, ownerTerm))
		}
		o.nextPollAt[id] = from
	}
}

// submitAfterElection submits a job soon after the owner has changed.
func (w *world) submitAfterElection(previous *modelOwner) {
	most := 2 * time.Second
	if w.chance(0.5) {
		most /= 4
	}
	w.schedule(w.drawDuration(100*time.Millisecond, most), func() {
		if w.submittedJobs >= w.maxJobs() {
			return
		}
		if !w.chance(previousOwnerAcceptChance) || w.conditionalAccept {
			w.submitJob()
			return
		}
		w.logf("%016d is accepted for owner %d, has authority: %t", w.submittedJobs, previous.term, previous.hasAuthority(w.now))
		w.submitJobVia(previous)
	})
}

// maxJobs is the total number of jobs submitted. It is smaller with customers and with crashing tasks,
// since those jobs take longer.
func (w *world) maxJobs() int {
	if w.quotas != nil || w.tasksCrash {
		return historyJobCount
	}
	return maxInformedOwnerJobs
}

// scheduleJobScans has an owner periodically scan the store for jobs that no host has announced to it;
// the store answers from the time from on.
func (w *world) scheduleJobScans(o *modelOwner, from clock.Time) {
	w.schedule(jobScanInterval, func() {
		switch {
		case !o.hasAuthority(w.now):
		case w.now < max(from, o.storeUnreachableUntil):
			w.scheduleJobScans(o, from)
		default:
			w.scanJobs(o, from)
		}
	})
}

// scanJobs finds the jobs that were in the store when the call arrived there.
func (w *world) scanJobs(o *modelOwner, from clock.Time) {
	w.schedule(w.drawDuration(time.Millisecond, maxJobScanDelay), func() {
		found := w.jobs()
		w.schedule(w.drawDuration(time.Millisecond, maxJobScanDelay), func() {
			if !o.hasAuthority(w.now) {
				return
			}
			w.addFoundJobs(o, found)
			w.scheduleJobScans(o, from)
		})
	})
}

// addFoundJobs adds the found jobs that an owner does not know.
func (w *world) addFoundJobs(o *modelOwner, found []job.ID) {
	for _, id := range found {
		s := w.store[id]
		switch {
		case o.pool.isJobKnown(id):
		case s.record.Term > o.term:
			o.ended = true
			return
		case s.outcome != "":
			o.pool.AddOutcome(id, job.Record{Outcome: s.outcome, Customer: s.record.Customer, RemainingUse: s.remainingUse}, w.now)
		default:
			w.logf("owner %d finds %s", o.term, id)
			o.pool.AddJob(s.record, job.Progress{}, false, 0, w.now)
			if s.cancelled {
				o.pool.Cancel(id)
			}
		}
	}
}

// handleReportedEnds has the next poll follow at once on a report with an end, in histories with
// informedOwner: that poll acknowledges ends, and a worker answers it at once while it still keeps
// others.
func (w *world) handleReportedEnds(o *modelOwner, id WorkerID, report Report) {
	if !w.informedOwner || len(report.Finished) == 0 {
		return
	}
	o.nextPollAt[id] = w.now
	if !o.hasLiveWorker(id) || id.StartedAt() != report.IncarnationStart {
		return // the owner ignores this report
	}
	for _, f := range report.Finished {
		if f.Reason == EndDone && !o.isGangRestarted(f) {
			o.reportedDone[f.Task] = modelIncarnation{id, report.IncarnationStart}
		}
	}
}

// modelIncarnation identifies an incarnation of a worker.
type modelIncarnation struct {
	id        WorkerID
	startedAt int64
}

// hasLiveWorker reports whether an owner knows a worker and has not terminated it.
func (o *modelOwner) hasLiveWorker(id WorkerID) bool {
	x, known := o.pool.workers[id]
	return known && !x.terminated
}

// isGangRestarted reports whether an owner has restarted a gang, since a member's worker seemed lost,
// when the worker reports an end of the previous run. That end does not count then.
func (o *modelOwner) isGangRestarted(f FinishedRun) bool {
	t := o.pool.task(f.Task)
	return t != nil && t.step.spec.Gang && t.current != nil && t.current.number != f.Run
}

// checkNotOrderedAgain checks that an owner does not order a task again after a worker has reported its
// end as done to that owner. It may do so if that worker has crashed since, or was terminated for the
// owner.
func (w *world) checkNotOrderedAgain(o *modelOwner, s StartOrder) {
	at, reported := o.reportedDone[s.Task]
	if !reported || !o.hasLiveWorker(at.id) {
		return
	}
	if m := w.workers[workerNumber(at.id)]; !m.dead && m.startedAt == at.startedAt {
		w.reportViolation("owner %d orders %s again as run %d on %s, though %s has reported its end", o.term, s.Task, s.Run, s.Worker, at.id)
	}
}

// informedOwner has hosts take the previous owner for the present one for a while after a change,
// beside what else a kind of history has. The record of a job that such a host accepts has the previous
// owner's term. The previous owner is informed of the job while it still acts, and starts it on workers
// that the present owner has not reached. The present owner had listed the jobs of the store before; it
// finds this one with its next scan of the store. Many tasks are short, and a poll follows at once on a
// report with an end, so that ends of a job are often reported twice before the owner knows the job.
func informedOwner(change func(*world)) func(*world) {
	return func(w *world) {
		w.informedOwner = true
		change(w)
	}
}

func TestInvariantsHoldWhenHostsInformThePreviousOwner(t *testing.T) {
	t.Run("on their own", func(t *testing.T) { simulateShare(t, fifthOfSeeds, informedOwner(func(*world) {})) })
	t.Run("behind relays", func(t *testing.T) {
		simulateShare(t, fifthOfSeeds, informedOwner(func(w *world) { w.slowRelays = true }))
	})
	t.Run("with workers that restart", func(t *testing.T) {
		simulateShare(t, fifthOfSeeds, informedOwner(func(w *world) { w.workersRestart = true }))
	})
	t.Run("with quotas", func(t *testing.T) { simulateShare(t, fifthOfSeeds, informedOwner(withQuotas)) })
	// Hosts store jobs only on condition of the owner's record (package jobhost).
	t.Run("with quotas, conditional accepts", func(t *testing.T) {
		simulateShare(t, fifthOfSeeds, informedOwner(func(w *world) { withQuotas(w); w.conditionalAccept = true }))
	})
	t.Run("with quotas and workers that restart", func(t *testing.T) { simulateShare(t, fifthOfSeeds, informedOwner(withRestarts(withQuotas))) })
	t.Run("with tasks that crash workers", func(t *testing.T) { simulateShare(t, fifthOfSeeds, informedOwner(withCrashingTasks)) })
	t.Run("with early takeovers", func(t *testing.T) {
		simulateShare(t, fifthOfSeeds, informedOwner(func(w *world) { w.earlyTakeover = true }))
	})
}
