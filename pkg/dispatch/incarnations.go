package dispatch

import (
	"fmt"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

const (
	// minRestartTime is less than the time that a worker's process takes to end, restart, receive a start and
	// finish it. Ends may be acknowledged to a worker that has answered within this time, even while starts are
	// on their way to it (mayAcknowledge).
	minRestartTime = 500 * time.Millisecond
	// maxEndedIncarnations is how many ended incarnations of a worker are remembered: one a second for as
	// long as an entry may be late (30 s, the longest wait of a store watch).
	maxEndedIncarnations = 30
)

// workerHistory is what is kept of a worker's name over all its incarnations.
//
// A worker may restart under its name. State of the earlier incarnation does not apply to the later one,
// since the two have different IDs (WorkerID). That alone leaves these questions open:
//
//   - Which incarnation is there now? Reports show it: incarnations don't overlap, so when one of them
//     reports, all others that were known when its poll was sent have ended. Entries may be out of date, so
//     they end no incarnation.
//   - An order names only the worker, so the next incarnation may have received one that was meant for the
//     incarnation before. A start that no report of the earlier incarnation has shown is transferred to the
//     next one, where it counts until a poll with a higher token has been answered.
//   - The numbers of run ends mean nothing to the next incarnation: an acknowledgement meant for the earlier
//     one would make it forget ends that nobody has read (mayAcknowledge).
type workerHistory struct {
	name string
	// token is the highest fencing token that any incarnation was given. All share it, since an order for
	// one may reach the next.
	token int64
	// incarnations are the known ones, including ended ones until they are forgotten.
	incarnations []*worker
	// currentEntry is the incarnation whose entry is in the store; empty for none.
	currentEntry WorkerID
	// lastEntry is the incarnation whose entry was read last, at lastEntryAt, whether the entry still exists
	// or not.
	lastEntry   WorkerID
	lastEntryAt clock.Time
	// endedIncarnations are those that were replaced by another one, the latest last. forgottenIncarnations
	// are those that were taken for terminated without that: one that was only unreachable for a long time
	// comes back.
	endedIncarnations, forgottenIncarnations []WorkerID
	// lateStartsExpireAt is until when a next incarnation may carry out a start that is invalidated for the
	// one before; 0 for none.
	lateStartsExpireAt clock.Time
	// leasesExtendedBy is when the last call that extends leases was sent to any incarnation, at the latest. The next
	// incarnation may carry it out late, after a late start, whose run then goes on for longer.
	leasesExtendedBy clock.Time
	cordoned         bool // the worker gets no new tasks, since its host is to be taken down
}

// historyOf returns the history of a worker's name, and creates it if needed.
func (p *Pool) historyOf(name string) *workerHistory {
	h, ok := p.workerHistories[name]
	if !ok {
		h = &workerHistory{name: name, token: p.cfg.Token}
		p.workerHistories[name] = h
	}
	return h
}

// addWorker adds an incarnation of a worker that was not known.
func (p *Pool) addWorker(info WorkerInfo, now clock.Time) *worker {
	h := p.historyOf(info.ID.Name())
	succeedsAnother := len(h.incarnations)+len(h.endedIncarnations)+len(h.forgottenIncarnations) > 0
	if succeedsAnother {
		h.raiseToken(p.cfg.Token) // orders for another incarnation may still be on their way
	}
	if slices.Contains(h.forgottenIncarnations, info.ID) {
		h.forgottenIncarnations = slices.DeleteFunc(h.forgottenIncarnations, func(id WorkerID) bool { return id == info.ID })
		p.removeCrashesOf(info.ID)
	}
	p.incarnationCount++
	w := &worker{info: info, incarnationSeq: p.incarnationCount, history: h, runs: map[runKey]*run{}, discoveredAt: now, succeedsAnother: succeedsAnother}
	w.evacuated = p.isInEvacuatedHall(w)
	h.incarnations = append(h.incarnations, w)
	p.workers[info.ID] = w
	p.sortedWorkers = nil
	p.markRosterChanged(info.ID)
	return w
}

// raiseToken raises the token above that of all earlier orders, so that these are rejected wherever an order
// with the new token has arrived. first is the lowest of this owner's tokens.
func (h *workerHistory) raiseToken(first int64) {
	if h.token < first+MaxTokenIncrements {
		h.token++
	}
}

// removeOtherEntries marks the entries of all other incarnations as removed, since a worker has only one
// entry.
func (h *workerHistory) removeOtherEntries(now clock.Time) {
	for _, w := range h.incarnations {
		if w.info.ID != h.currentEntry {
			w.entryReplaced = w.entryReplaced || w.hasEntry
			w.markEntryRemoved(now)
		}
	}
}

// lastAnsweredPollSentAt is when the latest poll that an incarnation of the worker has answered was sent.
func (h *workerHistory) lastAnsweredPollSentAt() clock.Time {
	var at clock.Time
	for _, w := range h.incarnations {
		at = max(at, w.lastAnsweredPollSentAt)
	}
	return at
}

// isUsable reports whether an incarnation of the worker may be given a task now.
func (h *workerHistory) isUsable(now clock.Time) bool {
	return slices.ContainsFunc(h.incarnations, func(w *worker) bool { return w.isUsable(now) })
}

func (h *workerHistory) hasEnded(id WorkerID) bool {
	return slices.Contains(h.endedIncarnations, id)
}

func (h *workerHistory) markEnded(w *worker) {
	h.endedIncarnations = append(h.endedIncarnations, w.info.ID)
	if len(h.endedIncarnations) > maxEndedIncarnations {
		h.endedIncarnations = h.endedIncarnations[1:]
	}
}

// forget drops a terminated incarnation. The history keeps the token: an incarnation that comes back has seen
// it, and would reject orders with a lower token as those of a previous owner.
func (h *workerHistory) forget(w *worker) {
	h.incarnations = slices.DeleteFunc(h.incarnations, func(o *worker) bool { return o == w })
	if !h.hasEnded(w.info.ID) {
		h.forgottenIncarnations = append(h.forgottenIncarnations, w.info.ID)
	}
}

// mayBeReplaced reports whether this incarnation may have ended: the entry of another incarnation has been
// read, and this one has answered no poll that was sent after that.
func (w *worker) mayBeReplaced() bool {
	h := w.history
	return h.lastEntry != "" && h.lastEntry != w.info.ID && !h.hasEnded(h.lastEntry) && w.lastAnsweredPollSentAt <= h.lastEntryAt
}

// recordAnsweringIncarnation records which incarnation, by its start time, answered a poll with its report,
// and ends all others that were known when the poll was sent. workerClock is the clock of the one that has
// answered. It reports whether the incarnation that was polled has answered.
func (p *Pool) recordAnsweringIncarnation(w *worker, poll PollOrder, startedAt, workerClock int64, now clock.Time) bool {
	answering := w
	if startedAt != 0 && startedAt != w.info.ID.StartedAt() {
		answering = p.otherIncarnation(w, startedAt, now)
	}
	if answering == nil {
		return false
	}
	for _, other := range slices.Clone(w.history.incarnations) {
		if other != answering && !other.terminated && other.discoveredAt <= poll.SentAt {
			p.replaceIncarnation(other, answering, workerClock, now)
		}
	}
	return answering == w
}

// otherIncarnation returns the incarnation that answered instead of the one that was polled; nil when that
// is known as terminated.
func (p *Pool) otherIncarnation(w *worker, startedAt int64, now clock.Time) *worker {
	id := NewWorkerID(w.info.ID.Name(), startedAt)
	if x, known := p.workers[id]; known {
		if x.terminated {
			return nil // it is forgotten before it can be added again
		}
		return x
	}
	// Its entry has not been read, so it gets no tasks: it may have less capacity than the incarnation
	// before.
	x := p.addWorker(WorkerInfo{ID: id, Pool: w.info.Pool, Address: w.info.Address, Zone: w.info.Zone, Rack: w.info.Rack}, now)
	p.newWorkers = append(p.newWorkers, x)
	p.needsPlan = true
	return x
}

// replaceIncarnation ends an incarnation that was replaced by the next one, whose clock is workerClock. It logs how
// far ahead on that clock the latest deadline is that was sent to the previous one: the next one may have received it.
func (p *Pool) replaceIncarnation(previous, next *worker, workerClock int64, now clock.Time) {
	previous.terminated = true
	p.markRosterChanged(previous.info.ID)
	previous.clearOrphans()
	previous.history.raiseToken(p.cfg.Token) // a late poll for the previous one must not ack ends of the next
	previous.history.markEnded(previous)
	previous.markEntryRemoved(now)
	transferable := previous.transferableRuns()
	p.cfg.Log(Event{Name: "worker_started_again", Worker: next.info.ID, Detail: fmt.Sprintf(
		"before=%s runs=%d may_have_gone_over=%d deadline_ahead_ms=%d", previous.info.ID, len(previous.runs), len(transferable), previous.latestDeadline-workerClock)})
	p.handleWorkerCrash(previous, now)
	for _, r := range transferable {
		p.transferRun(r, next)
	}
	p.loseRuns(previous, now)
	next.succeedsAnother = true
	next.inheritedLeasesUntil = max(next.inheritedLeasesUntil, now.Add(leaseExpiryTime(p.cfg.WorkerMaxLease)))
}

// transferableRuns lists the runs whose starts the next incarnation may have received.
func (w *worker) transferableRuns() []*run {
	var out []*run
	for _, r := range sortedRuns(w) {
		if r.isTransferable() {
			out = append(out, r)
		}
	}
	return out
}

// isTransferable reports whether the next incarnation of its worker may have received a run's start: no
// report has shown the run, or the report may have shown an earlier run of the same number. The answer to a
// start does not say which incarnation gave it.
func (r *run) isTransferable() bool {
	return (!r.reported || r.startCall.ReusesNumber) && !r.adopted && r.state != runStoring
}

// transferredRunExpiresAt is until when the next incarnation of a worker may run what was meant for this
// one: it may receive the order late, and later calls that extend leases as well, and the deadlines in them are by
// another clock. It is 0 for a run that can't have been transferred, and for one whose worker is not known to be
// replaced, unless its start may be carried out later (mayStartLater).
func (p *Pool) transferredRunExpiresAt(w *worker, r *run) clock.Time {
	startableLater := r.mayStartLater()
	if !r.isTransferable() || !w.mayBeReplaced() && !startableLater {
		return 0
	}
	sentBy := r.startCall.OrderedAt
	if startableLater {
		sentBy = r.startCall.LastEventAt()
	}
	return max(sentBy, p.leasesExtendedBy(w.history)).Add(maxOrderDelay + leaseExpiryTime(p.cfg.WorkerMaxLease))
}

// mayStartLater reports whether the unanswered start of a run may be delayed and reach the next incarnation
// of its worker, though none is known. It is false for long-running tasks, which do not wait for that.
func (r *run) mayStartLater() bool {
	return r.startCall.Stored && r.mayStartLate() && !r.task.step.spec.LongRunning
}

// transferRun counts a run on the next incarnation of its worker, until that has reported whether it has the
// run.
func (p *Pool) transferRun(r *run, next *worker) {
	p.removeRun(r)
	r.worker, r.state, r.stopSentAt = next, runUnconfirmed, 0
	p.addRun(r)
	p.storeUnansweredStart(r, p.now)
}

// mayAcknowledge reports whether ends may be acknowledged to a worker. If the next incarnation is there by
// now, it would forget its own ends of the same numbers: the ends of starts that were meant for this
// incarnation, including invalidated ones.
func (w *worker) mayAcknowledge(now clock.Time) bool {
	return now.Sub(w.lastAnsweredAt) < minRestartTime || len(w.transferableRuns()) == 0 && now >= w.history.lateStartsExpireAt
}
