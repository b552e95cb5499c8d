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
	// usableWithin is how long ago a worker may have answered to be given a task.
	usableWithin = 1700 * time.Millisecond
	// extendWithin is how long ago a worker may have answered for its leases to be extended.
	// A silent one is only asked, so that what it runs lapses at a time that we know.
	extendWithin = 900 * time.Millisecond
	// relistWithin is how long after its entry was found gone a worker that answers is still
	// given tasks. One that lives and reaches the store writes its entry again in that time.
	relistWithin = 2500 * time.Millisecond
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
	info   WorkerInfo
	number int64 // in the order in which lives were taken in
	line   *lineage
	listed bool // its entry stands in the store
	// unlistedAt is when its entry was found gone; 0 when that is not known.
	unlistedAt clock.Time
	// entryReplaced says that it went since another life's, which may be of one before, was written in its place.
	entryReplaced bool
	// rostered says that the roster has it, so that a later owner will ask it.
	rostered bool
	// retired says that it gets no start any more, and retiredJobs are those that may have had a run there by then (retirement.go).
	retired     bool
	retiredJobs []job.ID
	knownAt     clock.Time // since when this owner knows of it
	leavesAt    clock.Time // when a draining worker may end; 0 when it stays
	evacuated   bool       // its data hall is being evacuated
	gone        bool       // the life has ended, or can't run anything any more
	fenced      bool       // it has answered this owner
	reported    bool       // its lists were taken in
	partial     bool       // its last report does not tell all that it runs
	follows     bool       // on a life that has ended while this owner knew of it

	clock      int64 // its clock when it answered last …
	clockAt    clock.Time
	lastAnswer clock.Time
	// provenAt is when the last hold was sent that was answered: the worker knew of no later owner at some time
	// after that. lastAnswer may be later than that time, since answers are held up on their way.
	provenAt clock.Time
	// asking counts the holds on their way, and restedAt is when the last of them was over; unwatched says that none was on its way for so
	// long that the worker may have started again unseen (noteWithin).
	asking    int
	restedAt  clock.Time
	unwatched bool
	bound     int64 // latest deadline sent, on its clock
	// inherited is when the leases that a former owner gave have ended; 0 without any.
	inherited clock.Time

	used    cell.Resources
	runs    map[runKey]*run
	foreign int // runs there of which nothing is known
	strange int // of these, runs whose names can't be read
	// foreignOf are the customers of foreign runs, one for each run.
	foreignOf []*account.Account
	// unknownRuns are the runs of jobs that may become known, by the last report.
	unknownRuns []Active
	// unknownLogged is the last job that was logged as not known when a run of it was listed.
	unknownLogged job.ID

	// doubts are starts before it went silent, or of former owners, that it may not have survived.
	doubts crash.Starts
	// unansweredAt is when the first call got no answer since the worker was heard of; 0 for none.
	unansweredAt clock.Time
	claim        claim

	read   int64           // highest number of an end that was read
	unread []Finished      // of these, ends of jobs that may become known, by number
	notes  latestart.Notes // ends that are not to be noted yet (holdNote)
	noted  int64           // highest number up to which all ends are taken in and the job changes are committed

	pacing    pace.Control
	suspended clock.Time // not to be given tasks before
	failures  int        // in a row
	failedJob job.ID     // of the last failure
	probation bool
}

func (w *worker) free() cell.Resources {
	return w.info.Capacity.Sub(w.used)
}

// usable says whether the worker may be given a task now.
func (w *worker) usable(now clock.Time) bool {
	return w.present(now) && w.answers(now) && w.rostered && !w.gone && !w.doubted() &&
		!w.leaving() && !w.line.closed && w.foreign == 0 && now >= w.suspended
}

// answers says that the worker has answered lately, and the last call, too, and that it was asked again soon after. One that has not may
// have ended, and the life that is there next may hold less.
func (w *worker) answers(now clock.Time) bool {
	return w.reported && w.unansweredAt == 0 && now.Sub(w.lastAnswer) < usableWithin && !w.unwatched && !w.restedTooLong(now)
}

// restedTooLong says that no hold is on its way to the worker and none was for so long that it may have started again
// under its ID.
func (w *worker) restedTooLong(now clock.Time) bool {
	return w.info.ID.Born() != 0 && w.asking == 0 && now.Sub(w.restedAt) >= noteWithin
}

// asked takes in that a hold is sent.
func (w *worker) asked(now clock.Time) {
	w.unwatched = w.unwatched || w.restedTooLong(now)
	w.asking++
}

// askOver takes in that a hold was answered, or that it failed.
func (w *worker) askOver(now clock.Time) {
	w.asking = max(w.asking-1, 0)
	w.restedAt = now
}

// present says that the worker's entry stands, or went so lately that the worker may still
// write it anew: entries lapse while the store is away.
func (w *worker) present(now clock.Time) bool {
	return w.listed || w.unlistedAt != 0 && now.Sub(w.unlistedAt) < relistWithin
}

// deadline is the time on the worker's clock up to which a lease is given now.
func (w *worker) deadline(now clock.Time, hold time.Duration) int64 {
	return w.clock + now.Sub(w.clockAt).Milliseconds() + hold.Milliseconds()
}

// lapsedAt is when everything on the worker has ended, by our clock.
func (w *worker) lapsedAt() clock.Time {
	left := time.Duration(w.bound-w.clock) * time.Millisecond
	return max(w.clockAt.Add(lapseTime(max(left, 0))), w.inherited)
}

// heard takes in the clock of an answer that has just arrived.
func (w *worker) heard(workerClock int64, now clock.Time) {
	if workerClock >= w.clock && workerClock > 0 {
		w.clock, w.clockAt = workerClock, now
		w.unansweredAt = 0
	}
}

// workersByID lists all workers, by id.
func (p *Pool) workersByID() []*worker {
	if p.sorted == nil {
		for _, w := range p.workers {
			p.sorted = append(p.sorted, w)
		}
		slices.SortFunc(p.sorted, func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	}
	return p.sorted
}

// HoldFailed takes in that a hold got no answer.
func (p *Pool) HoldFailed(id WorkerID, now clock.Time) {
	if w, ok := p.workers[id]; ok {
		w.askOver(now)
		w.unanswered(now)
	}
}

// unanswered takes in that a call got no answer.
func (w *worker) unanswered(now clock.Time) {
	if w.unansweredAt == 0 {
		w.unansweredAt = now
	}
}

// Answering counts the workers that have answered a hold that was sent within a time, and all that are
// listed or may run something.
func (p *Pool) Answering(now clock.Time, within time.Duration) (answering, all int) {
	for _, w := range p.workers {
		if w.gone || !w.listed && len(w.runs) == 0 && w.fenced {
			continue
		}
		all++
		if w.fenced && now.Sub(w.provenAt) < within {
			answering++
		}
	}
	return answering, all
}

// workerGone takes in that nothing of a worker runs any more.
func (p *Pool) workerGone(w *worker, why string, now clock.Time) {
	if w.gone {
		return
	}
	w.gone = true
	p.rosterChanged(w.info.ID)
	w.clearForeign()
	w.line.raise(p.cfg.Token) // as in succeed: another life may be known by now
	p.cfg.Log(Event{Name: "worker_gone", Worker: w.info.ID, Detail: why})
	p.crashed(w, now)
	p.loseRuns(w, now)
}

// loseLapsed ends the runs of a silent worker whose leases have lapsed at a time. What its next life may have taken goes on to count.
func (p *Pool) loseLapsed(w *worker, lapsed, now clock.Time) {
	var lost []*run
	for _, r := range sortedRuns(w) {
		if until := max(lapsed, p.goneOverUntil(w, r)); now >= until && p.confirmedSince(until) {
			lost = append(lost, r)
		}
	}
	if len(lost) == 0 {
		return
	}
	p.cfg.Log(Event{Name: "worker_lapsed", Worker: w.info.ID, Detail: fmt.Sprintf(
		"unheard_ms=%d runs=%d may_have_gone_over=%d", now.Sub(w.lastAnswer).Milliseconds(), len(lost), len(w.runs)-len(lost))})
	w.doubtRuns()
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
	if !w.doubts.Has(r.task.id(), r.number) {
		p.dropAttempt(r.task, r.number)
	}
	p.mayComeLate(r, "")
	p.runEnded(r, EndLost, "", now)
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
	if w.gone {
		if !w.listed {
			p.forgetWorker(w)
		}
		return
	}
	lapsed := w.lapsedAt()
	if now.Sub(w.lastAnswer) < usableWithin || now < lapsed {
		return
	}
	if len(w.runs) > 0 {
		p.loseLapsed(w, lapsed, now)
	}
	if len(w.foreignOf) > 0 && p.confirmedSince(lapsed) {
		w.clearForeign()
	}
	if !w.reported {
		lapsed = max(lapsed, p.takeover.lapsed)
	}
	for _, r := range w.runs {
		lapsed = max(lapsed, p.goneOverUntil(w, r))
	}
	if !w.listed && now >= lapsed && p.confirmedSince(lapsed) {
		p.workerGone(w, "left", now)
	}
}

// forgetWorker drops a worker that has gone.
func (p *Pool) forgetWorker(w *worker) {
	delete(p.workers, w.info.ID)
	w.line.forget(w)
	p.sorted = nil
}

// judge counts the ends on a worker to leave out one that fails whatever it is given.
func (p *Pool) judge(w *worker, r *run, how End, now clock.Time) {
	switch how {
	case EndDone:
		w.failures, w.probation = 0, false
	case EndFailed:
		id := r.task.step.time.job.job.ID
		if w.failures == 0 || w.failedJob != id {
			w.failures++
		}
		w.failedJob = id
		if p.without(Suspension) {
			return
		}
		if w.failures >= suspendAfter || w.probation && w.failures > 0 {
			p.suspend(w, suspendFor, "failures", now)
			w.failures, w.probation = 0, true
		}
	}
}

// suspend leaves a worker out for a time.
func (p *Pool) suspend(w *worker, d time.Duration, why string, now clock.Time) {
	w.suspended = max(w.suspended, now.Add(d))
	p.cfg.Log(Event{Name: "worker_suspended", Worker: w.info.ID, Detail: why})
}
