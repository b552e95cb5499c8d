package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// Histories in which hosts take the former owner for the owner for a while after it has changed. The record of a job that such a host accepts has the
// former owner's term, the former owner is told of it while it is still at work, and starts it on workers that the present one has not reached. The
// present owner had listed the jobs of the store before; it finds this one with its next look at the store. Many tasks are short, and a hold
// follows at once on a report with an end, so that ends of a job are often reported twice before the owner knows the job.

const (
	// toldElects is the probability that the owner changes at a tick.
	toldElects = 0.005
	// toldBefore is how many jobs are handed in just before the owner changes, so that tasks of jobs that the next one knows run as it does, and
	// toldJobs how many soon after that, up to toldMost in all.
	toldBefore = 1
	toldJobs   = 3
	toldMost   = historyJobs * 3 / 2
	// toldFormer is the probability that one of these is accepted by a host that takes the former owner for the owner.
	toldFormer = 0.8
	// toldShort is the probability that a run is short.
	toldShort = 0.4
	// lookEvery is the time between two looks for jobs of which no host has told, and lookTakes how long each way of the call takes at most.
	lookEvery = 500 * time.Millisecond
	lookTakes = 100 * time.Millisecond
	// lookAway is the probability that the store does not answer the looks of a new owner for some seconds.
	lookAway = 0.2
	// toldSlow is the probability that the former owner does not learn from the store that it is none any more.
	toldSlow = 0.7
	// toldUnreached is the probability that a new owner reaches no worker in its first moments, and toldLate that it reaches one of them late.
	toldUnreached = 0.6
	toldLate      = 0.15
	// toldCut is the probability that a worker is cut off at a tick. While one is, no takeover from an owner is settled.
	toldCut = 0.0005
)

// electChance is the probability that the owner changes at a tick.
func (w *world) electChance() float64 {
	if w.told {
		return toldElects
	}
	return 0.003
}

// cutChance is the probability that a worker is cut off at a tick.
func (w *world) cutChance() float64 {
	if w.told {
		return toldCut
	}
	return 0.002
}

// change changes the owner, in histories about that soon after jobs were handed in.
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

// runTime draws how long a run takes.
func (w *world) runTime(most time.Duration) time.Duration {
	if w.told && w.chance(toldShort) {
		return w.between(20*time.Millisecond, 200*time.Millisecond)
	}
	return w.between(200*time.Millisecond, most)
}

// atWork says that an owner still decides.
func (o *modelOwner) atWork(now clock.Time) bool {
	return !o.ended && (o.until == 0 || now < o.until)
}

// tell has a host tell an owner of a job that it has accepted. A former owner that has ended hears nothing.
func (w *world) tell(o *modelOwner, r job.Record) {
	if !o.loading && (o == w.present() || o.atWork(w.now)) {
		o.pool.AddJob(r, job.Progress{}, false, 0, w.now)
	}
}

// elected has hosts take the former owner for the owner, in histories about that.
func (w *world) elected(o *modelOwner) {
	if !w.told {
		return
	}
	w.lookAfter(o, w.looksFrom(o))
	if len(w.owners) == 1 {
		return
	}
	former := w.owners[len(w.owners)-2]
	w.linger(former)
	w.reachLate(o)
	for range toldJobs {
		w.handInSoon(former)
	}
}

// looksFrom draws from when on the store answers the looks of a new owner; it may answer other calls meanwhile.
func (w *world) looksFrom(o *modelOwner) clock.Time {
	if !w.chance(lookAway) {
		return w.now
	}
	from := w.now.Add(w.between(time.Second, 6*time.Second))
	if w.chance(0.5) {
		o.storeAwayUntil = from
	}
	w.note("owner %d can't look for jobs until %d", o.term, from)
	return from
}

// linger has a former owner go on for longer than most do.
func (w *world) linger(former *modelOwner) {
	if former.ended || !w.chance(toldSlow) {
		return
	}
	former.until = w.now.Add(w.between(ownerTerm/2, ownerTerm))
	former.storeAwayUntil = former.until
}

// reachLate has a new owner call workers some time after its election.
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

// handInSoon hands a job in soon after the owner has changed.
func (w *world) handInSoon(former *modelOwner) {
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
		w.note("%016d is accepted for owner %d, at work: %t", w.handed, former.term, former.atWork(w.now))
		w.handInFor(former)
	})
}

// jobsInAll is how many jobs are handed in at most. Those of customers, and those that crash workers, take longer.
func (w *world) jobsInAll() int {
	if w.quotas != nil || w.crashing {
		return historyJobs
	}
	return toldMost
}

// lookAfter has an owner look for jobs of which no host has told it, again and again; the store answers from a moment on.
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

// look finds the jobs that were in the store when the call arrived there.
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

// findAll takes in those of the jobs of the store that an owner does not know.
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

// holdAnswered has a hold follow at once on a report with an end, in histories about that: it tells how far the ends are noted, and
// a worker answers it at once while it keeps others.
func (w *world) holdAnswered(o *modelOwner, id WorkerID, report Report) {
	if !w.told || len(report.Finished) == 0 {
		return
	}
	o.holding[id] = w.now
	if !o.counts(id) || id.StartedAt() != report.IncarnationStart {
		return // the owner takes nothing from it
	}
	for _, f := range report.Finished {
		if f.Reason == EndDone && !o.restarted(f) {
			o.doneAt[f.Task] = modelLife{id, report.IncarnationStart}
		}
	}
}

// modelLife is a life of a worker.
type modelLife struct {
	id   WorkerID
	born int64
}

// counts says that an owner knows a worker and does not hold it for gone.
func (o *modelOwner) counts(id WorkerID) bool {
	x, known := o.pool.workers[id]
	return known && !x.terminated
}

// restarted says that an owner has begun a gang anew, since a member's worker seemed lost, when that lists an end of the run before. It does not
// count then.
func (o *modelOwner) restarted(f FinishedRun) bool {
	t := o.pool.task(f.Task)
	return t != nil && t.step.spec.Gang && t.current != nil && t.current.number != f.Run
}

// checkOrdered checks that an owner does not order a task again whose end as done a worker has listed to it. It may do so when that worker has
// crashed since, or is held for gone.
func (w *world) checkOrdered(o *modelOwner, s StartOrder) {
	at, listed := o.doneAt[s.Task]
	if !listed || !o.counts(at.id) {
		return
	}
	if m := w.worker[numberOf(at.id)]; !m.dead && m.born == at.born {
		w.broken("owner %d orders %s again as run %d on %s, though %s has listed its end", o.term, s.Task, s.Run, s.Worker, at.id)
	}
}

// told has hosts take the former owner for the owner, beside what else a kind of history is about.
func told(change func(*world)) func(*world) {
	return func(w *world) {
		w.told = true
		change(w)
	}
}

func TestPromisesHoldWhenTheFormerOwnerIsTold(t *testing.T) {
	t.Run("on their own", func(t *testing.T) { playDrawn(t, fifth, told(func(*world) {})) })
	t.Run("behind relays", func(t *testing.T) { playDrawn(t, fifth, told(func(w *world) { w.relayed = true })) })
	t.Run("with workers that start again", func(t *testing.T) { playDrawn(t, fifth, told(func(w *world) { w.reborn = true })) })
	t.Run("with quotas", func(t *testing.T) { playDrawn(t, fifth, told(withQuotas)) })
	// Hosts keep jobs on condition of the owner's record (package jobhost).
	t.Run("with quotas, on condition", func(t *testing.T) {
		playDrawn(t, fifth, told(func(w *world) { withQuotas(w); w.conditional = true }))
	})
	t.Run("with quotas and workers that start again", func(t *testing.T) { playDrawn(t, fifth, told(rebornAnd(withQuotas))) })
	t.Run("with tasks that crash workers", func(t *testing.T) { playDrawn(t, fifth, told(crashingWorld)) })
	t.Run("soon after an end", func(t *testing.T) { playDrawn(t, fifth, told(func(w *world) { w.soon = true })) })
}
