package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/latestart"
)

// maxOrderDelay is how long after it was sent an unanswered order may still be carried out.
const maxOrderDelay = latestart.MaxDelay

// addLateStart records that a start is invalidated for the incarnation that it was sent to, so that only the
// next one may still carry it out. Its task is bound to the worker named boundTo; empty for none. A start
// that was answered has been carried out, by whichever incarnation, and is not carried out again. So has one
// that was only reported, unless it reuses a number.
func (p *Pool) addLateStart(r *run, boundTo string) {
	if !r.mayStartLate() {
		return
	}
	sentBy, until := r.startCall.SentNoLaterThan(p.now), r.startCall.ExpiresAt(p.now)
	r.task.lateStarts.Add(latestart.Start{Number: r.number, Incarnation: r.worker.incarnationSeq, Worker: boundTo, ExpiresAt: until})
	r.worker.history.extendLateStarts(until)
	p.storeInvalidatedStart(r, sentBy)
}

// runNumbers returns the numbers of the runs of a task, or of its gang.
func (t *task) runNumbers() latestart.RunNumbers {
	n := latestart.RunNumbers{LastAssigned: t.lastRunNumber}
	if t.step.spec.Gang {
		n.LastAssigned = max(n.LastAssigned, t.step.gang.runNumber)
	}
	tasks := t.completionGroup()
	for i := range tasks {
		n.LastAssigned, n.LastEnded = max(n.LastAssigned, tasks[i].lastRunNumber), max(n.LastEnded, tasks[i].lastEndedRun)
	}
	return n
}

// nextRunNumberOn returns the number that a task's next run gets on a worker.
func (p *Pool) nextRunNumberOn(t *task, w *worker) int {
	if t.lateStarts.HasStarts() && t.lateStarts.ReusesNumberOn(w.history.name, t.runNumbers()) {
		return t.lastRunNumber
	}
	return p.nextRunNumber(t.step.occurrence.job, t.lastRunNumber)
}

// nextGangRunNumber returns the number of a gang's next run.
func (p *Pool) nextGangRunNumber(s *step) int {
	n := s.tasks[0].runNumbers()
	for i := range s.tasks {
		if s.tasks[i].lateStarts.ReusesNumber(n) {
			return n.LastAssigned
		}
	}
	return p.nextRunNumber(s.occurrence.job, n.LastAssigned)
}

// isBlockedByLateStart reports whether a task must not start before a late start has expired.
func (t *task) isBlockedByLateStart() bool {
	return t.lateStarts.HasStarts() && t.lateStarts.IsBlocked(t.runNumbers())
}

// logBlockingStarts logs, once for each late start, that a waiting task, or one of its gang, does not start
// before that start has expired.
func (p *Pool) logBlockingStarts(t *task) {
	if t.step.occurrence.job.outcome != "" {
		return
	}
	tasks := t.completionGroup()
	for _, x := range tasks {
		if !x.waiting() || !x.lateStarts.HasStarts() {
			continue
		}
		for _, start := range x.lateStarts.TakeNewBlocking(x.runNumbers()) {
			p.cfg.Log(Event{Name: "start_delayed", Task: x.id(), Run: start.Number, Detail: "late_start_for=" + start.ExpiresAt.Sub(p.now).String()})
		}
	}
}

// blockedUntil is until when late starts block all waiting tasks of a step; 0 when one of them is not blocked.
// A gang is blocked as a whole while one of its members is.
func (s *step) blockedUntil() clock.Time {
	if !s.tracksLateStarts() || s.hasMoreTasks() {
		return 0
	}
	var until clock.Time
	for _, t := range s.tasks {
		if !t.waiting() {
			continue
		}
		if !t.isBlockedByLateStart() {
			if s.spec.Gang {
				continue
			}
			return 0
		}
		until = max(until, t.lateStarts.BlockedUntil(t.runNumbers()))
	}
	return until
}

// recordStartResult records how the call of a run's start ended.
func (p *Pool) recordStartResult(r *run, err error, now clock.Time) {
	unanswered := err != nil && !isNotSent(err)
	r.startCall.RecordResult(unanswered, now)
	if unanswered {
		r.worker.history.leasesExtendedBy = now
		p.storeUnansweredStart(r, now)
	}
}

// mayStartLate reports whether the next incarnation of its worker may carry out the start of a run late, at
// the same time as another run of the task or after it.
func (r *run) mayStartLate() bool {
	return r.worker.info.ID.StartedAt() != 0 && r.isTransferable() && (r.runningSince == 0 || r.startCall.ReusesNumber) && r.task.step.tracksLateStarts()
}

// tracksLateStarts reports whether late starts of a step's tasks do harm: its starts need no ticket, which
// the next incarnation would reject, and its tasks must not run twice.
func (s *step) tracksLateStarts() bool {
	return s.occurrence.job.queue.Advice == nil && !s.spec.Speculative
}

// expireLateStarts forgets the expired late starts of a task. A long-running task may start elsewhere when
// the worker that it is bound to is not usable.
func (p *Pool) expireLateStarts(t *task, now clock.Time) {
	if !t.lateStarts.HasStarts() {
		return
	}
	t.lateStarts.RemoveExpired(latestart.ExpiryConditions{
		LastAnsweredPollSentAt:    func(name string) clock.Time { return p.historyOf(name).lastAnsweredPollSentAt() },
		LeasesExtendedBy:          func(name string) clock.Time { return p.leasesExtendedBy(p.historyOf(name)) },
		LeaseTime:                 leaseExpiryTime(p.cfg.WorkerMaxLease),
		IsOwnershipConfirmedSince: p.isOwnershipConfirmedSince,
	}, now)
	if t.step.spec.LongRunning {
		t.lateStarts.UnbindUnusable(func(name string) bool { return p.historyOf(name).isUsable(now) })
	}
}

// leasesExtendedBy is when this or a previous owner sent the last call to a worker that extends leases there, at the
// latest.
func (p *Pool) leasesExtendedBy(h *workerHistory) clock.Time {
	if p.cfg.HasPreviousOwner {
		return max(h.leasesExtendedBy, p.takeover.ordersUntil)
	}
	return h.leasesExtendedBy
}

// extendLateStarts records that the next incarnation may carry out a start until a time.
func (h *workerHistory) extendLateStarts(until clock.Time) {
	h.lateStartsExpireAt = max(h.lateStartsExpireAt, until)
}

// lateStartsAllow reports whether the late starts of a task allow it to start on a worker.
func (t *task) lateStartsAllow(w *worker) bool {
	return !t.lateStarts.HasStarts() || t.lateStarts.MayRunOn(w.history.name)
}

// hasBoundTasks reports whether tasks of a step are bound to workers.
func (s *step) hasBoundTasks() bool {
	for i := range s.tasks {
		if s.tasks[i].lateStarts.IsBound() {
			return true
		}
	}
	return false
}

// ackAllowedFrom is from when on ends of a task may be acknowledged; 0 for any time. For a job that is
// forgotten, or that a previous owner has ended, the tasks are not known, so the time is that of the whole
// job.
func (p *Pool) ackAllowedFrom(id job.TaskID) clock.Time {
	t := p.task(id)
	if t == nil {
		ended, _ := p.outcomes.Find(id.Job)
		return ended.LateStartsExpireAt
	}
	var from clock.Time
	tasks := t.completionGroup()
	for i := range tasks {
		from = max(from, tasks[i].lateStarts.LastExpiry())
	}
	return from
}

// completionGroup returns the tasks that are done at the same time as a task: its whole gang, otherwise the
// task alone.
func (t *task) completionGroup() []*task {
	if t.step.spec.Gang {
		return t.step.tasks
	}
	return []*task{t}
}

// lateStartsExpireAt is until when late starts of a job's tasks may be carried out; 0 without any.
func (j *jobState) lateStartsExpireAt() clock.Time {
	var until clock.Time
	for s := range j.steps() {
		for i := range s.tasks {
			until = max(until, s.tasks[i].lateStarts.LastExpiry())
		}
	}
	return until
}

// delayAck delays the acknowledgement of an end while a late start of its task, or of its gang, may be
// carried out.
func (p *Pool) delayAck(w *worker, f FinishedRun, now clock.Time) {
	if f.Reason != EndDone && f.Reason != EndFailed {
		return
	}
	if from := max(p.ackAllowedFrom(f.Task), p.otherStartExpiresAt(f, now)); now < from {
		w.ackDelays.Add(f.Number, from)
		p.cfg.Log(Event{Name: "note_held", Task: f.Task, Run: f.Run, Worker: w.info.ID, Detail: from.Sub(now).String()})
	}
}

// otherStartExpiresAt is until when another start of an ended run's task, or of its gang, that is not known
// to be invalidated may be carried out late; 0 without any.
func (p *Pool) otherStartExpiresAt(f FinishedRun, now clock.Time) clock.Time {
	t := p.task(f.Task)
	if t == nil {
		return 0
	}
	var until clock.Time
	tasks := t.completionGroup()
	for i := range tasks {
		if r := tasks[i].current; r != nil && r.number != f.Run && r.mayStartLate() {
			until = max(until, r.startCall.ExpiresAt(now))
		}
	}
	return until
}

// assignBoundMembers assigns a worker to each member of a gang of which some are bound to theirs; it returns
// nil when there is no room for all.
func assignBoundMembers(s *step, workers []*worker) []*worker {
	names, room := make([]string, len(workers)), make([]int, len(workers))
	for i, w := range workers {
		names[i], room[i] = w.history.name, roomFor(s, w)
	}
	members := make([]*latestart.TaskStarts, len(s.tasks))
	for i := range s.tasks {
		members[i] = &s.tasks[i].lateStarts
	}
	var chosen []*worker
	for _, n := range latestart.AssignMembers(members, names, room) {
		chosen = append(chosen, workers[n])
	}
	return chosen
}

// storeUnansweredStart schedules an unanswered start to be stored.
func (p *Pool) storeUnansweredStart(r *run, sentBy clock.Time) {
	if r.startCall.Stored || !r.mayStartLate() {
		return
	}
	r.startCall.Stored = true
	at := p.cfg.WallClock().Add(-p.now.Sub(sentBy))
	r.task.lateStarts.AddUnanswered(job.UnansweredStart{Run: r.number, Worker: string(r.worker.info.ID), SentBy: at, Invalidated: r.startCall.ReusesNumber})
	p.markProgressChanged(r.task)
}

// storeInvalidatedStart schedules a start to be stored as invalidated for the incarnation that it was sent
// to.
func (p *Pool) storeInvalidatedStart(r *run, sentBy clock.Time) {
	p.storeUnansweredStart(r, sentBy)
	if r.task.lateStarts.MarkInvalidated(r.number) {
		p.markProgressChanged(r.task)
	}
}

// removeExecutedStart records that a worker has answered a start or reports its run. Late starts of gang
// members are kept, since the members may have been started again under the same number.
func (t *task) removeExecutedStart(number int) {
	if !t.step.spec.Gang {
		t.lateStarts.RemoveExecuted(number)
	}
}

// unansweredStarts returns what the store has to keep of a task's starts that may still be carried out.
func (p *Pool) unansweredStarts(t *task) []job.UnansweredStart {
	t.lateStarts.RemoveUnanswered(func(sentBy time.Time) bool { return p.lateStartExpiry(sentBy, p.now) == 0 })
	return t.lateStarts.Unanswered()
}

// lastUnansweredAt is when the last start of a job that may be carried out late was sent, at the latest;
// zero without any. A start whose call is still pending counts, since its result is not stored any more.
func (p *Pool) lastUnansweredAt(j *jobState) time.Time {
	var last time.Time
	for s := range j.steps() {
		for i := range s.tasks {
			if r := s.tasks[i].current; r != nil && !r.startCall.Stored && r.mayStartLate() {
				return p.cfg.WallClock()
			}
			for _, u := range p.unansweredStarts(s.tasks[i]) {
				if u.SentBy.After(last) {
					last = u.SentBy
				}
			}
		}
	}
	return last
}

// loadUnanswered restores the starts of a task that previous owners got no answer to.
func (p *Pool) loadUnanswered(t *task, starts []job.UnansweredStart) {
	if !t.step.tracksLateStarts() {
		return
	}
	for _, u := range starts {
		if until := p.lateStartExpiry(u.SentBy, p.now); until != 0 {
			history := p.historyOf(WorkerID(u.Worker).Name())
			t.lateStarts.LoadUnanswered(u, history.name, until)
			history.extendLateStarts(until)
		}
	}
	p.logBlockingStarts(t)
}

// lateStartExpiry is until when a start may be carried out that this or a previous owner sent no later than
// sentBy, a time of day; 0 when it has expired.
func (p *Pool) lateStartExpiry(sentBy time.Time, now clock.Time) clock.Time {
	return latestart.ExpiryOf(sentBy, p.cfg.WallClock(), maxWallClockSkew, now)
}
