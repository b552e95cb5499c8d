package dispatch

import (
	"fmt"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// A worker may start again under its name. What is kept of the life before is void then, since the two have
// different IDs (WorkerID). What follows is what that does not settle:
//
//   - Which life is there now? A list tells: lives don't overlap, so all that were known when its hold was sent, and of which
//     there was a sign before, have ended. Entries may be old, so they end none.
//   - An order names the worker only, so the next life may have taken one that was meant for the life before. A
//     start that no list of the life before has shown goes over to the next one, where it counts until a hold with a higher
//     token has been answered.
//   - Numbers of ends mean nothing to the next life, which would forget ends that nobody has read (mayNote).

const (
	// noteWithin is how long ago a worker may have answered to be told which ends are noted while starts are on their way to it. A
	// process takes longer to end, to start again, to take a start and to end it.
	noteWithin = 500 * time.Millisecond
	// endedKept is how many lives that have ended are remembered of a worker: one a second for as long as an
	// entry may be late (30 s, the longest wait of a watch).
	endedKept = 30
)

// lineage is what is kept of a worker over all its lives.
type lineage struct {
	name string
	// token is the highest fencing token that any of them was given. They share it, since an order for one may reach the next.
	token int64
	// lives are those that are known, also ended ones until they are forgotten.
	lives []*worker
	// listed is the life whose entry stands in the store; empty for none.
	listed WorkerID
	// lastListed is the life whose entry was read last, at listedAt, whether it still stands or not.
	lastListed WorkerID
	listedAt   clock.Time
	// ended are lives after which another one was heard of, the latest last, and forgotten those that were taken for
	// gone without that: one that was only cut off for long comes back.
	ended, forgotten []WorkerID
	// lateUntil is until when a next life may carry out a start that is void on the one before; 0 for none.
	lateUntil clock.Time
	closed    bool // the machine is being emptied
}

// lineageOf returns what is kept of a worker by name.
func (p *Pool) lineageOf(name string) *lineage {
	l, ok := p.lineages[name]
	if !ok {
		l = &lineage{name: name, token: p.cfg.Token}
		p.lineages[name] = l
	}
	return l
}

// newWorker takes in a life of a worker that was not known.
func (p *Pool) newWorker(info WorkerInfo, now clock.Time) *worker {
	l := p.lineageOf(info.ID.Name())
	if len(l.lives)+len(l.ended)+len(l.forgotten) > 0 {
		l.raise(p.cfg.Token) // orders for another life may still be on their way
	}
	if slices.Contains(l.forgotten, info.ID) {
		l.forgotten = slices.DeleteFunc(l.forgotten, func(id WorkerID) bool { return id == info.ID })
		p.withdrawCrashes(info.ID)
	}
	p.lives++
	w := &worker{info: info, number: p.lives, line: l, runs: map[runKey]*run{}, knownAt: now}
	w.evacuated = p.inEvacuatedHall(w)
	l.lives = append(l.lives, w)
	p.workers[info.ID] = w
	p.sorted = nil
	p.rosterChanged(info.ID)
	return w
}

// raise makes the token higher than that of all orders that were given, so that those do nothing any more where the next one was taken.
// An owner's own tokens begin at first.
func (l *lineage) raise(first int64) {
	if l.token < first+MaxBumps {
		l.token++
	}
}

// unlistOthers takes in that only one life has an entry.
func (l *lineage) unlistOthers(now clock.Time) {
	for _, w := range l.lives {
		if w.info.ID != l.listed {
			w.entryReplaced = w.entryReplaced || w.listed
			w.unlist(now)
		}
	}
}

// provenAt is when the last hold was sent to the worker that a life of it has answered.
func (l *lineage) provenAt() clock.Time {
	var at clock.Time
	for _, w := range l.lives {
		at = max(at, w.provenAt)
	}
	return at
}

// usable says whether a life of the worker may be given a task now.
func (l *lineage) usable(now clock.Time) bool {
	return slices.ContainsFunc(l.lives, func(w *worker) bool { return w.usable(now) })
}

func (l *lineage) hasEnded(id WorkerID) bool {
	return slices.Contains(l.ended, id)
}

func (l *lineage) end(w *worker) {
	l.ended = append(l.ended, w.info.ID)
	if len(l.ended) > endedKept {
		l.ended = l.ended[1:]
	}
}

// forget drops a life that has gone. One that comes back would take the first token of this owner for that of a former one,
// so the token stays.
func (l *lineage) forget(w *worker) {
	l.lives = slices.DeleteFunc(l.lives, func(o *worker) bool { return o == w })
	if !l.hasEnded(w.info.ID) {
		l.forgotten = append(l.forgotten, w.info.ID)
	}
}

// doubted says that the entry of another life was read, and that this one has not answered a hold that was sent after that. It may
// have ended.
func (w *worker) doubted() bool {
	l := w.line
	return l.lastListed != "" && l.lastListed != w.info.ID && !l.hasEnded(l.lastListed) && w.provenAt <= l.listedAt
}

// heardOf takes in which life has answered a hold with its lists, and ends those that were there before it: all that were known
// when the hold was sent. It says whether the answer is of the life that was asked.
func (p *Pool) heardOf(w *worker, h Hold, born int64, now clock.Time) bool {
	x := w
	if born != 0 && born != w.info.ID.Born() {
		x = p.otherLife(w, born, now)
	}
	if x == nil {
		return false
	}
	for _, o := range slices.Clone(w.line.lives) {
		if o != x && !o.gone && o.knownAt <= h.SentAt {
			p.succeed(o, x, now)
		}
	}
	return x == w
}

// otherLife returns the life that has answered in place of the one that was asked; nil when it was taken for gone.
func (p *Pool) otherLife(w *worker, born int64, now clock.Time) *worker {
	id := NewWorkerID(w.info.ID.Name(), born)
	if x, known := p.workers[id]; known {
		if x.gone {
			return nil // it is forgotten before it is taken in again
		}
		return x
	}
	// Nobody has read its entry, so it gets no tasks: it may hold less than the life before.
	x := p.newWorker(WorkerInfo{ID: id, Pool: w.info.Pool, Address: w.info.Address, Zone: w.info.Zone, Rack: w.info.Rack}, now)
	p.meets = append(p.meets, x)
	p.news = true
	return x
}

// succeed takes in that a life has ended and the next one is there.
func (p *Pool) succeed(former, next *worker, now clock.Time) {
	former.gone = true
	p.rosterChanged(former.info.ID)
	former.clearForeign()
	former.line.raise(p.cfg.Token) // a hold for the former life that comes late would have the next one forget its ends
	former.line.end(former)
	former.unlist(now)
	carried := former.notListedYet()
	p.cfg.Log(Event{Name: "worker_started_again", Worker: next.info.ID, Detail: fmt.Sprintf(
		"before=%s runs=%d may_have_gone_over=%d", former.info.ID, len(former.runs), len(carried))})
	p.crashed(former, now)
	for _, r := range carried {
		p.carryOver(r, next)
	}
	p.loseRuns(former, now)
	next.follows = true
	next.inherited = max(next.inherited, now.Add(lapseTime(p.cfg.LongestLease)))
}

// notListedYet lists the runs whose starts may have been taken by the next life.
func (w *worker) notListedYet() []*run {
	var out []*run
	for _, r := range sortedRuns(w) {
		if r.mayGoOver() {
			out = append(out, r)
		}
	}
	return out
}

// mayGoOver says that the next life of its worker may have taken a run's start: no list has shown the run, or one that may tell of an earlier start. An answer
// to a start does not tell whose it is.
func (r *run) mayGoOver() bool {
	return (!r.observed || r.call.Repeated) && !r.adopted && r.state != runStoring
}

// goneOverUntil is until when the next life of a worker may run what was meant for the one before: it may take the order late, and the
// deadline in it is by another clock. It is 0 for a run that can't have gone over, and for one that was answered and whose worker is not thought to have ended.
func (p *Pool) goneOverUntil(w *worker, r *run) clock.Time {
	kept := r.mayBeKept()
	if !r.mayGoOver() || !w.doubted() && !kept {
		return 0
	}
	sentBy := r.call.OrderedAt
	if kept {
		sentBy = r.call.LastSign()
	}
	return sentBy.Add(latestOrder + lapseTime(p.cfg.LongestLease))
}

// mayBeKept says that a worker may hold back the start of a run for its next life, though none is known of. A task that lasts does not wait for that.
func (r *run) mayBeKept() bool {
	return r.call.Told && r.mayBeLate() && !r.task.step.spec.LongRunning
}

// carryOver counts a run on the next life of its worker, until that has told whether it is there.
func (p *Pool) carryOver(r *run, next *worker) {
	p.release(r)
	r.worker, r.state, r.stopSentAt = next, runUnsettled, 0
	p.count(r)
	p.storeUnanswered(r, p.now)
}

// mayNote says whether a worker may be told which of its ends are noted. The next life, if it is there by now, would forget as many of its own:
// ends of starts that were meant for this one, those that are void included.
func (w *worker) mayNote(now clock.Time) bool {
	return now.Sub(w.lastAnswer) < noteWithin || len(w.notListedYet()) == 0 && now >= w.line.lateUntil
}
