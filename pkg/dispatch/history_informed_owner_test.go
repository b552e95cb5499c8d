package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

const (
	// informedOwnerElectionChance is the probability that the owner changes at a tick.
	toldElects = 0.005
	// jobsBeforeElection is how many jobs are submitted just before the owner changes, so that tasks of
	// jobs that the next owner knows run at that moment. jobsAfterElection is how many are submitted soon
	// after the change, up to maxInformedOwnerJobs in all.
	toldBefore = 1
	toldJobs   = 3
	toldMost   = historyJobs * 3 / 2
	// previousOwnerAcceptChance is the probability that one of the latter is accepted by a host that
	// takes the previous owner for the present one.
	toldFormer = 0.8
	toldShort  = 0.4
	// jobScanInterval is the time between two scans of the store for jobs that no host has announced, and
	// maxJobScanDelay how long each way of the call takes at most.
	lookEvery = 500 * time.Millisecond
	lookTakes = 100 * time.Millisecond
	// jobScanOutageChance is the probability that the store does not answer the scans of a new owner for
	// some seconds.
	lookAway = 0.2
	// previousOwnerUnawareChance is the probability that the previous owner does not learn from the store
	// that it has been replaced.
	toldSlow = 0.7
	// newOwnerDelayChance is the probability that a new owner reaches no worker in its first moments, and
	// lateFirstPollChance that it reaches a given worker late.
	toldUnreached = 0.6
	toldLate      = 0.15
	// informedOwnerIsolationChance is the probability that a worker becomes unreachable at a tick. While
	// one is, no takeover is completed.
	toldCut = 0.0005
)

// electionProbability is the probability that the owner changes at a tick.
func (w *world) electChance() float64 {
	if w.told {
		return toldElects
	}
	return 0.003
}

// isolationProbability is the probability that a worker becomes unreachable at a tick.
func (w *world) cutChance() float64 {
	if w.told {
		return toldCut
	}
	return 0.002
}

// change changes the owner; with informedOwner it does so soon after jobs were submitted.
func (w *world) change() {
	if !w.told {
		w.elect()
		return
	}
	for range toldBefore {
		if w.handed < w.jobsInAll() {
			w.handIn()
		}
	}
	w.later(w.between(historyTick, 300*time.Millisecond), w.elect)
}

func (w *world) runTime(longest time.Duration) time.Duration {
	if w.told && w.chance(toldShort) {
		return w.between(20*time.Millisecond, 200*time.Millisecond)
	}
	return w.between(200*time.Millisecond, longest)
}

// hasAuthority reports whether an owner may still act.
func (o *modelOwner) atWork(now clock.Time) bool {
	return !o.ended && (o.until == 0 || now < o.until)
}

// announceJob has a host announce to an owner a job that it has accepted. A previous owner that has ended
// receives nothing.
func (w *world) tell(o *modelOwner, r job.Record) {
	if !o.loading && (o == w.present() || o.atWork(w.now)) {
		o.pool.AddJob(r, job.Progress{}, false, 0, w.now)
	}
}

// afterElection has hosts take the previous owner for the present one, in histories with informedOwner.
func (w *world) elected(o *modelOwner) {
	if !w.told {
		return
	}
	w.lookAfter(o, w.looksFrom(o))
	if len(w.owners) == 1 {
		return
	}
	previous := w.owners[len(w.owners)-2]
	w.linger(previous)
	w.reachLate(o)
	for range toldJobs {
		w.handInSoon(previous)
	}
}

// drawScanStart draws from when on the store answers the scans of a new owner; it may answer other calls
// meanwhile.
func (w *world) looksFrom(o *modelOwner) clock.Time {
	if !w.chance(lookAway) {
		return w.now
	}
	from := w.now.Add(w.between(time.Second, 6*time.Second))
	if w.chance(0.5) {
		o.storeAwayUntil = from
	}
	w.note("owner %d can't scan for jobs until %d", o.term, from)
	return from
}

// extendAuthority has a previous owner act for longer than usual.
func (w *world) linger(previous *modelOwner) {
	if previous.ended || !w.chance(toldSlow) {
		return
	}
	previous.until = w.now.Add(w.between(ownerTerm/2, ownerTerm))
	previous.storeAwayUntil = previous.until
}

// delayFirstPolls has a new owner poll workers only some time after its election.
func (w *world) reachLate(o *modelOwner) {
	var first time.Duration
	if w.chance(toldUnreached) {
		first = w.between(100*time.Millisecond, 800*time.Millisecond)
	}
	for _, id := range w.sessions(o) {
		from := w.now.Add(first)
		if w.chance(toldLate) {
			from = w.now.Add(w.between(first, ownerTerm))
		}
		o.holding[id] = from
	}
}

// submitAfterElection submits a job soon after the owner has changed.
func (w *world) handInSoon(previous *modelOwner) {
	most := 2 * time.Second
	if w.chance(0.5) {
		most /= 4
	}
	w.later(w.between(100*time.Millisecond, most), func() {
		if w.handed >= w.jobsInAll() {
			return
		}
		if !w.chance(toldFormer) || w.conditional {
			w.handIn()
			return
		}
		w.note("%016d is accepted for owner %d, has authority: %t", w.handed, previous.term, previous.atWork(w.now))
		w.handInFor(previous)
	})
}

// maxJobs is the total number of jobs submitted. It is smaller with customers and with crashing tasks,
// since those jobs take longer.
func (w *world) jobsInAll() int {
	if w.quotas != nil || w.crashing {
		return historyJobs
	}
	return toldMost
}

// scheduleJobScans has an owner periodically scan the store for jobs that no host has announced to it;
// the store answers from the time from on.
func (w *world) lookAfter(o *modelOwner, from clock.Time) {
	w.later(lookEvery, func() {
		switch {
		case !o.atWork(w.now):
		case w.now < max(from, o.storeAwayUntil):
			w.lookAfter(o, from)
		default:
			w.look(o, from)
		}
	})
}

// scanJobs finds the jobs that were in the store when the call arrived there.
func (w *world) look(o *modelOwner, from clock.Time) {
	w.later(w.between(time.Millisecond, lookTakes), func() {
		found := w.jobs()
		w.later(w.between(time.Millisecond, lookTakes), func() {
			if !o.atWork(w.now) {
				return
			}
			w.findAll(o, found)
			w.lookAfter(o, from)
		})
	})
}

// addFoundJobs adds the found jobs that an owner does not know.
func (w *world) findAll(o *modelOwner, found []job.ID) {
	for _, id := range found {
		s := w.store[id]
		switch {
		case o.pool.isJobKnown(id):
		case s.record.Term > o.term:
			o.ended = true
			return
		case s.outcome != "":
			o.pool.AddOutcome(id, job.Record{Outcome: s.outcome, Customer: s.record.Customer, Unended: s.unended}, w.now)
		default:
			w.note("owner %d finds %s", o.term, id)
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
func (w *world) holdAnswered(o *modelOwner, id WorkerID, report Report) {
	if !w.told || len(report.Finished) == 0 {
		return
	}
	o.holding[id] = w.now
	if !o.counts(id) || id.StartedAt() != report.IncarnationStart {
		return // the owner ignores this report
	}
	for _, f := range report.Finished {
		if f.Reason == EndDone && !o.restarted(f) {
			o.doneAt[f.Task] = modelLife{id, report.IncarnationStart}
		}
	}
}

// modelIncarnation identifies an incarnation of a worker.
type modelLife struct {
	id   WorkerID
	born int64
}

// hasLiveWorker reports whether an owner knows a worker and has not terminated it.
func (o *modelOwner) counts(id WorkerID) bool {
	x, known := o.pool.workers[id]
	return known && !x.terminated
}

// isGangRestarted reports whether an owner has restarted a gang, since a member's worker seemed lost,
// when the worker reports an end of the previous run. That end does not count then.
func (o *modelOwner) restarted(f FinishedRun) bool {
	t := o.pool.task(f.Task)
	return t != nil && t.step.spec.Gang && t.current != nil && t.current.number != f.Run
}

// checkNotOrderedAgain checks that an owner does not order a task again after a worker has reported its
// end as done to that owner. It may do so if that worker has crashed since, or was terminated for the
// owner.
func (w *world) checkOrdered(o *modelOwner, s StartOrder) {
	at, reported := o.doneAt[s.Task]
	if !reported || !o.counts(at.id) {
		return
	}
	if m := w.worker[numberOf(at.id)]; !m.dead && m.born == at.born {
		w.broken("owner %d orders %s again as run %d on %s, though %s has reported its end", o.term, s.Task, s.Run, s.Worker, at.id)
	}
}

// informedOwner has hosts take the previous owner for the present one for a while after a change,
// beside what else a kind of history has. The record of a job that such a host accepts has the previous
// owner's term. The previous owner is informed of the job while it still acts, and starts it on workers
// that the present owner has not reached. The present owner had listed the jobs of the store before; it
// finds this one with its next scan of the store. Many tasks are short, and a poll follows at once on a
// report with an end, so that ends of a job are often reported twice before the owner knows the job.
func told(change func(*world)) func(*world) {
	return func(w *world) {
		w.told = true
		change(w)
	}
}

func TestPromisesHoldWhenTheFormerOwnerIsTold(t *testing.T) {
	t.Run("on their own", func(t *testing.T) { playDrawn(t, fifth, told(func(*world) {})) })
	t.Run("behind relays", func(t *testing.T) { playDrawn(t, fifth, told(func(w *world) { w.relayed = true })) })
	t.Run("with workers that restart", func(t *testing.T) { playDrawn(t, fifth, told(func(w *world) { w.reborn = true })) })
	t.Run("with quotas", func(t *testing.T) { playDrawn(t, fifth, told(withQuotas)) })
	// Hosts store jobs only on condition of the owner's record (package jobhost).
	t.Run("with quotas, conditional accepts", func(t *testing.T) {
		playDrawn(t, fifth, told(func(w *world) { withQuotas(w); w.conditional = true }))
	})
	t.Run("with quotas and workers that restart", func(t *testing.T) { playDrawn(t, fifth, told(rebornAnd(withQuotas))) })
	t.Run("with tasks that crash workers", func(t *testing.T) { playDrawn(t, fifth, told(crashingWorld)) })
	t.Run("with early takeovers", func(t *testing.T) { playDrawn(t, fifth, told(func(w *world) { w.soon = true })) })
}
