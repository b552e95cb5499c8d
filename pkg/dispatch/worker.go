package dispatch

import (
	"cmp"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
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
	line   *lineage
	listed bool // its entry stands in the store
	// unlistedAt is when its entry was found gone; 0 when that is not known.
	unlistedAt clock.Time
	// rostered says that the roster has it, so that a later owner will ask it.
	rostered bool
	knownAt  clock.Time // since when this owner knows of it
	leavesAt clock.Time // when a draining worker may end; 0 when it stays
	gone     bool       // the life has ended, or can't run anything any more
	fenced   bool       // it has answered this owner
	reported bool       // its lists were taken in
	follows  bool       // on a life that has ended while this owner knew of it

	clock      int64 // its clock when it answered last …
	clockAt    clock.Time
	lastAnswer clock.Time
	// provenAt is when the last hold was sent that was answered: the worker knew of no later owner at some time
	// after that. lastAnswer may be later than that time, since answers are held up on their way.
	provenAt clock.Time
	bound    int64 // latest deadline sent, on its clock
	// inherited is when the leases that a former owner gave have ended; 0 without any.
	inherited clock.Time

	used    cell.Resources
	runs    map[runKey]*run
	foreign int // runs there of which nothing is known
	strange int // of these, runs whose names can't be read
	// strangerAt is when a job was first listed of which nothing was known; 0 for never.
	strangerAt clock.Time

	// doubts are starts before it went silent, or of former owners, that it may not have survived.
	doubts suspectStarts
	// unansweredAt is when the first call got no answer since the worker was heard of; 0 for none.
	unansweredAt clock.Time
	claim        claim

	seen  int64 // highest number of an end taken in
	noted int64 // highest number whose job changes are committed

	pacing    pacing
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
		!w.info.Draining && !w.line.closed && w.foreign == 0 && now >= w.suspended
}

// answers says that the worker has answered lately, and the last call, too. One that has not may have ended, and
// the life that is there next may hold less.
func (w *worker) answers(now clock.Time) bool {
	return w.reported && w.unansweredAt == 0 && now.Sub(w.lastAnswer) < usableWithin
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

// PutWorker takes in a worker's entry, or that the roster names it. It says whether the worker is new, so that the
// roster has to be written before it is used (Rostered).
func (p *Pool) PutWorker(info WorkerInfo, listed bool, now clock.Time) bool {
	l := p.lineageOf(info.ID.Name())
	if listed {
		l.listed, l.listedAt = info.ID, now
		l.unlistOthers(now)
	}
	if l.hasEnded(info.ID) {
		return false
	}
	w, known := p.workers[info.ID]
	if !known {
		w = p.newWorker(info, now)
	}
	w.info, w.listed = info, listed
	if listed {
		w.unlistedAt = 0
	}
	if info.Draining && w.leavesAt == 0 {
		w.leavesAt = now.Add(max(info.Remaining, p.cfg.Drain))
		p.cfg.Log(Event{Name: "worker_draining", Worker: info.ID, Detail: w.leavesAt.Sub(now).String()})
	}
	return !known
}

// Rostered takes in that the roster of the store names workers.
func (p *Pool) Rostered(ids []WorkerID) {
	for _, id := range ids {
		if w, ok := p.workers[id]; ok {
			w.rostered = true
		}
	}
}

// UnlistWorker takes in that a worker's entry is gone. What runs there may go on, unless the
// entry was fresh, that is, written too lately to have gone for want of heartbeats, and the
// worker was to leave by now.
func (p *Pool) UnlistWorker(id WorkerID, fresh bool, now clock.Time) {
	w, ok := p.workers[id]
	if !ok {
		return
	}
	w.unlist(now)
	if w.line.listed == id {
		w.line.listed = ""
	}
	if fresh && w.leavesAt != 0 && now >= w.leavesAt.Add(-leaveSlack) {
		p.workerGone(w, "left as it said", now)
	}
}

// EntryGone takes in that the entry of a worker is gone, whichever life had written it; fresh is as in UnlistWorker.
func (p *Pool) EntryGone(name string, fresh bool, now clock.Time) {
	l, ok := p.lineages[name]
	if !ok {
		return
	}
	id := l.listed
	l.listed = ""
	p.UnlistWorker(id, fresh, now)
}

// EntryUnusable takes in that the entry of a worker does not name one any more, whoever wrote it. What runs there goes on.
// Unlike one whose entry has gone, it gets no task even if it answers: its own next heartbeat makes the entry good again.
func (p *Pool) EntryUnusable(name string) {
	l, ok := p.lineages[name]
	if !ok {
		return
	}
	l.listed = ""
	for _, w := range l.lives {
		w.listed, w.unlistedAt = false, 0
	}
}

// Listed says that the entry of a worker stands in the store.
func (p *Pool) Listed(id WorkerID) bool {
	w, ok := p.workers[id]
	return ok && w.listed
}

func (w *worker) unlist(now clock.Time) {
	if w.listed {
		w.listed, w.unlistedAt = false, now
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

// Workers lists the workers that have not gone, by id.
func (p *Pool) Workers() []WorkerInfo {
	var out []WorkerInfo
	for _, w := range p.workersByID() {
		if !w.gone {
			out = append(out, w.info)
		}
	}
	return out
}

// Roster lists the workers that a later owner has to know of, by id: those that have not gone, and those that
// crashed under starts that the store may not tell.
func (p *Pool) Roster() []WorkerInfo {
	out := p.Workers()
	for _, info := range p.parting {
		out = append(out, info.crashed())
	}
	if p.takeover.missed && p.anyKnownToFormer() {
		out = append(out, p.missedWorker.crashed())
	}
	slices.SortFunc(out, func(a, b WorkerInfo) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// crashed returns what the roster tells of a worker that has crashed.
func (i WorkerInfo) crashed() WorkerInfo {
	i.Crashed = true
	return i
}

// HoldFailed takes in that a hold got no answer.
func (p *Pool) HoldFailed(id WorkerID, now clock.Time) {
	if w, ok := p.workers[id]; ok {
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

// The waits of holds: how long a worker lets a hold wait for an end. They grow with the pool,
// so that the calls to workers don't grow as it does, and stay below usableWithin and the
// term of an owner's authority.
const (
	holdWait     = 600 * time.Millisecond  // in pools of up to usualPool workers
	longHoldWait = time.Second             // at most, while something runs there
	idleHoldWait = 1500 * time.Millisecond // at most, while nothing does
	usualPool    = 400
	// probeWait is the wait while a task that was started alone is not proven: other tasks wait for the worker. With it and a
	// provenAfter of 0.3 s in place of 0.5 s jobs earn 0.024 more in a pool of 48 workers of which two crash each second (12 plays each).
	probeWait = 100 * time.Millisecond
)

// HoldWait is how long a worker is to let its next hold wait for an end.
func (p *Pool) HoldWait(id WorkerID) time.Duration {
	most := idleHoldWait
	w, known := p.workers[id]
	if known && len(w.runs) > 0 {
		most = longHoldWait
	}
	if known && w.claim.step != nil {
		return probeWait
	}
	scaled := holdWait * time.Duration(len(p.workers)) / usualPool
	return min(max(scaled, holdWait), most)
}

// HoldFor returns the next hold for a worker; ok is false when there is none to be sent any
// more. raise asks for a higher token, which settles lost answers.
func (p *Pool) HoldFor(id WorkerID, raise, extend bool, now clock.Time) (h Hold, ok bool) {
	w, known := p.workers[id]
	if !known || w.gone {
		return Hold{}, false
	}
	if raise {
		w.line.raise(p.cfg.Token)
	}
	h = Hold{Worker: id, Address: w.info.Address, Token: w.line.token, SentAt: now}
	if w.doubted() {
		return h, true // the life that takes it may be another one, also seconds later: it is only asked
	}
	if w.mayNote(now) {
		h.LastSeen = w.noted
	}
	if w.fenced && extend && now.Sub(w.lastAnswer) < extendWithin {
		h.Deadline = w.deadline(now, p.cfg.Hold)
		w.bound = max(w.bound, h.Deadline)
	}
	return h, true
}

// workerGone takes in that nothing of a worker runs any more.
func (p *Pool) workerGone(w *worker, why string, now clock.Time) {
	if w.gone {
		return
	}
	w.gone = true
	p.cfg.Log(Event{Name: "worker_gone", Worker: w.info.ID, Detail: why})
	p.crashed(w, now)
	p.loseRuns(w, now)
}

// loseRuns ends all runs of a worker without a word of it. What is kept in the store of their starts stays only for those in doubt.
func (p *Pool) loseRuns(w *worker, now clock.Time) {
	for _, r := range sortedRuns(w) {
		if !w.doubts.has(r) {
			p.dropAttempt(r.task, r.number)
		}
		p.runEnded(r, EndLost, "", now)
	}
}

func sortedRuns(w *worker) []*run {
	out := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *run) int {
		return compareTasks(a.task, b.task)
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
	if len(w.runs) > 0 && (w.reported || w.follows) && p.confirmedSince(lapsed) {
		p.cfg.Log(Event{Name: "worker_lapsed", Worker: w.info.ID, Detail: now.Sub(w.lastAnswer).String()})
		for _, r := range w.runs {
			r.task.presumedLost = true
		}
		w.doubtRuns()
		p.loseRuns(w, now)
	}
	if !w.reported {
		lapsed = max(lapsed, p.takeover.lapsed)
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
