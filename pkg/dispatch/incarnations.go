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
//   - Numbers of ends mean nothing to the next life, which would forget ends that nobody has read (mayAcknowledge).

const (
	// ackWithin is how long ago a worker may have answered to be told which ends are noted while starts are on their way to it. A
	// process takes longer to end, to start again, to take a start and to end it.
	ackWithin = 500 * time.Millisecond
	// maxEndedIncarnations is how many lives that have ended are remembered of a worker: one a second for as long as an
	// entry may be late (30 s, the longest wait of a watch).
	maxEndedIncarnations = 30
)

// workerHistory is what is kept of a worker over all its lives.
type workerHistory struct {
	name string
	// token is the highest fencing token that any of them was given. They share it, since an order for one may reach the next.
	token int64
	// lives are those that are known, also ended ones until they are forgotten.
	incarnations []*worker
	// listed is the life whose entry stands in the store; empty for none.
	currentEntry WorkerID
	// lastEntry is the life whose entry was read last, at lastEntryAt, whether it still stands or not.
	lastEntry   WorkerID
	lastEntryAt clock.Time
	// endedIncarnations are lives after which another one was heard of, the latest last, and forgotten those that were taken for
	// gone without that: one that was only cut off for long comes back.
	endedIncarnations, forgottenIncarnations []WorkerID
	// lateStartsExpireAt is until when a next life may carry out a start that is void on the one before; 0 for none.
	lateStartsExpireAt clock.Time
	cordoned           bool // the machine is being emptied
}

// historyOf returns what is kept of a worker by name.
func (p *Pool) historyOf(name string) *workerHistory {
	l, ok := p.workerHistories[name]
	if !ok {
		l = &workerHistory{name: name, token: p.cfg.Token}
		p.workerHistories[name] = l
	}
	return l
}

// addWorker takes in a life of a worker that was not known.
func (p *Pool) addWorker(info WorkerInfo, now clock.Time) *worker {
	l := p.historyOf(info.ID.Name())
	if len(l.incarnations)+len(l.endedIncarnations)+len(l.forgottenIncarnations) > 0 {
		l.raiseToken(p.cfg.Token) // orders for another life may still be on their way
	}
	if slices.Contains(l.forgottenIncarnations, info.ID) {
		l.forgottenIncarnations = slices.DeleteFunc(l.forgottenIncarnations, func(id WorkerID) bool { return id == info.ID })
		p.removeCrashesOf(info.ID)
	}
	p.incarnationCount++
	w := &worker{info: info, incarnationSeq: p.incarnationCount, history: l, runs: map[runKey]*run{}, discoveredAt: now}
	w.evacuated = p.isInEvacuatedHall(w)
	l.incarnations = append(l.incarnations, w)
	p.workers[info.ID] = w
	p.sortedWorkers = nil
	p.markRosterChanged(info.ID)
	return w
}

// raiseToken makes the token higher than that of all orders that were given, so that those do nothing any more where the next one was taken.
// An owner's own tokens begin at first.
func (l *workerHistory) raiseToken(first int64) {
	if l.token < first+MaxTokenIncrements {
		l.token++
	}
}

// removeOtherEntries takes in that only one life has an entry.
func (l *workerHistory) removeOtherEntries(now clock.Time) {
	for _, w := range l.incarnations {
		if w.info.ID != l.currentEntry {
			w.entryReplaced = w.entryReplaced || w.hasEntry
			w.markEntryRemoved(now)
		}
	}
}

// lastAnsweredPollSentAt is when the last hold was sent to the worker that a life of it has answered.
func (l *workerHistory) lastAnsweredPollSentAt() clock.Time {
	var at clock.Time
	for _, w := range l.incarnations {
		at = max(at, w.lastAnsweredPollSentAt)
	}
	return at
}

// usable says whether a life of the worker may be given a task now.
func (l *workerHistory) isUsable(now clock.Time) bool {
	return slices.ContainsFunc(l.incarnations, func(w *worker) bool { return w.isUsable(now) })
}

func (l *workerHistory) hasEnded(id WorkerID) bool {
	return slices.Contains(l.endedIncarnations, id)
}

func (l *workerHistory) markEnded(w *worker) {
	l.endedIncarnations = append(l.endedIncarnations, w.info.ID)
	if len(l.endedIncarnations) > maxEndedIncarnations {
		l.endedIncarnations = l.endedIncarnations[1:]
	}
}

// forget drops a life that has gone. One that comes back would take the first token of this owner for that of a former one,
// so the token stays.
func (l *workerHistory) forget(w *worker) {
	l.incarnations = slices.DeleteFunc(l.incarnations, func(o *worker) bool { return o == w })
	if !l.hasEnded(w.info.ID) {
		l.forgottenIncarnations = append(l.forgottenIncarnations, w.info.ID)
	}
}

// mayBeReplaced says that the entry of another life was read, and that this one has not answered a hold that was sent after that. It may
// have ended.
func (w *worker) mayBeReplaced() bool {
	l := w.history
	return l.lastEntry != "" && l.lastEntry != w.info.ID && !l.hasEnded(l.lastEntry) && w.lastAnsweredPollSentAt <= l.lastEntryAt
}

// recordAnsweringIncarnation takes in which life has answered a hold with its lists, and ends those that were there before it: all that were known
// when the hold was sent. It says whether the answer is of the life that was asked.
func (p *Pool) recordAnsweringIncarnation(w *worker, h PollOrder, born int64, now clock.Time) bool {
	x := w
	if born != 0 && born != w.info.ID.StartedAt() {
		x = p.otherIncarnation(w, born, now)
	}
	if x == nil {
		return false
	}
	for _, o := range slices.Clone(w.history.incarnations) {
		if o != x && !o.terminated && o.discoveredAt <= h.SentAt {
			p.replaceIncarnation(o, x, now)
		}
	}
	return x == w
}

// otherIncarnation returns the life that has answered in place of the one that was asked; nil when it was taken for gone.
func (p *Pool) otherIncarnation(w *worker, born int64, now clock.Time) *worker {
	id := NewWorkerID(w.info.ID.Name(), born)
	if x, known := p.workers[id]; known {
		if x.terminated {
			return nil // it is forgotten before it is taken in again
		}
		return x
	}
	// Nobody has read its entry, so it gets no tasks: it may hold less than the life before.
	x := p.addWorker(WorkerInfo{ID: id, Pool: w.info.Pool, Address: w.info.Address, Zone: w.info.Zone, Rack: w.info.Rack}, now)
	p.newWorkers = append(p.newWorkers, x)
	p.needsPlan = true
	return x
}

// replaceIncarnation takes in that a life has ended and the next one is there.
func (p *Pool) replaceIncarnation(former, next *worker, now clock.Time) {
	former.terminated = true
	p.markRosterChanged(former.info.ID)
	former.clearOrphans()
	former.history.raiseToken(p.cfg.Token) // a hold for the former life that comes late would have the next one forget its ends
	former.history.markEnded(former)
	former.markEntryRemoved(now)
	carried := former.transferableRuns()
	p.cfg.Log(Event{Name: "worker_started_again", Worker: next.info.ID, Detail: fmt.Sprintf(
		"before=%s runs=%d may_have_gone_over=%d", former.info.ID, len(former.runs), len(carried))})
	p.handleWorkerCrash(former, now)
	for _, r := range carried {
		p.transferRun(r, next)
	}
	p.loseRuns(former, now)
	next.hasPredecessor = true
	next.inheritedLeasesUntil = max(next.inheritedLeasesUntil, now.Add(leaseExpiryTime(p.cfg.WorkerMaxLease)))
}

// transferableRuns lists the runs whose starts may have been taken by the next life.
func (w *worker) transferableRuns() []*run {
	var out []*run
	for _, r := range sortedRuns(w) {
		if r.isTransferable() {
			out = append(out, r)
		}
	}
	return out
}

// isTransferable says that the next life of its worker may have taken a run's start: no list has shown the run, or one that may tell of an earlier start. An answer
// to a start does not tell whose it is.
func (r *run) isTransferable() bool {
	return (!r.reported || r.startCall.ReusesNumber) && !r.adopted && r.state != runStoring
}

// transferredRunExpiresAt is until when the next life of a worker may run what was meant for the one before: it may take the order late, and the
// deadline in it is by another clock. It is 0 for a run that can't have gone over, and for one that was answered and whose worker is not thought to have ended.
func (p *Pool) transferredRunExpiresAt(w *worker, r *run) clock.Time {
	kept := r.mayStartLater()
	if !r.isTransferable() || !w.mayBeReplaced() && !kept {
		return 0
	}
	sentBy := r.startCall.OrderedAt
	if kept {
		sentBy = r.startCall.LastEventAt()
	}
	return sentBy.Add(maxOrderDelay + leaseExpiryTime(p.cfg.WorkerMaxLease))
}

// mayStartLater says that a worker may hold back the start of a run for its next life, though none is known of. A task that lasts does not wait for that.
func (r *run) mayStartLater() bool {
	return r.startCall.Stored && r.mayStartLate() && !r.task.step.spec.LongRunning
}

// transferRun counts a run on the next life of its worker, until that has told whether it is there.
func (p *Pool) transferRun(r *run, next *worker) {
	p.removeRun(r)
	r.worker, r.state, r.stopSentAt = next, runUnconfirmed, 0
	p.addRun(r)
	p.storeUnansweredStart(r, p.now)
}

// mayAcknowledge says whether a worker may be told which of its ends are noted. The next life, if it is there by now, would forget as many of its own:
// ends of starts that were meant for this one, those that are void included.
func (w *worker) mayAcknowledge(now clock.Time) bool {
	return now.Sub(w.lastAnsweredAt) < ackWithin || len(w.transferableRuns()) == 0 && now >= w.history.lateStartsExpireAt
}
