package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/latestart"
)

const (
	// stopResendInterval is how long after a stop order the end of the run may take before the order is
	// sent again.
	stopResendInterval = 800 * time.Millisecond
	// A run counts as stuck when its progress has not changed for minStuckTime plus stuckShare of its
	// estimated duration. It is then stopped and started on another worker.
	minStuckTime = 1500 * time.Millisecond
	stuckShare   = 0.15
	// leaveSlack is how much longer a leaving worker is assumed to stay than it announced.
	leaveSlack = 200 * time.Millisecond
	// almostDonePercent is the progress, in percent, from which a stuck run is no longer restarted.
	almostDonePercent = 98
)

// Plan decides what is to be done now. Without authority it orders no starts and requests no advice.
func (p *Pool) Plan(now clock.Time, authority bool) Actions {
	p.now = now
	p.updateLoads(now)
	p.expireAdviceCalls(now)
	p.updateTakeover(now)
	for _, j := range slices.SortedFunc(maps.Keys(p.growingJobs), compareJobs) {
		p.createDueOccurrences(j)
	}
	var out Actions
	if authority {
		p.orderStoredStarts(now, &out)
		p.placeSteps(now, &out)
	}
	p.addStopOrders(now, &out)
	p.addPaceOrders(&out)
	for _, w := range p.newWorkers {
		out.NewWorkers = append(out.NewWorkers, w.info)
	}
	p.newWorkers = p.newWorkers[:0]
	for _, w := range p.workersToFence {
		if !w.terminated {
			out.FenceWorkers = append(out.FenceWorkers, w.info.ID)
		}
	}
	p.workersToFence = p.workersToFence[:0]
	out.ConfirmOwnership, p.needsOwnershipCheck = p.needsOwnershipCheck, false
	return out
}

// InspectRuns examines all runs on answering workers. It restarts stuck runs, and runs that would end
// after their worker leaves, on other workers, sends unanswered stop orders again, and sets the pace of
// fillers. The caller invokes it a few times per second.
func (p *Pool) InspectRuns(now clock.Time) {
	for _, w := range p.workersByID() {
		if w.terminated || now.Sub(w.lastAnsweredAt) >= answerTimeout {
			continue
		}
		for _, r := range sortedRuns(w) {
			p.inspectRun(w, r, now)
		}
		p.paceFillers(w, now)
	}
	p.forgetFinishedOccurrences()
}

// inspectRun sends an unanswered stop order again, or restarts a run that is stuck or would end after
// its worker leaves.
func (p *Pool) inspectRun(w *worker, r *run, now clock.Time) {
	if r.state != runActive {
		return
	}
	if r.stopSentAt != 0 {
		if now.Sub(r.stopSentAt) > stopResendInterval {
			r.stopSentAt = 0
			p.stopRun(r)
		}
		return
	}
	s := r.task.step
	if w.leavesAt != 0 && r.task.current == r && !s.finished() && p.endsAfterWorkerLeaves(w, r, now) {
		p.restartElsewhere(r, "the worker is leaving")
		return
	}
	if s.spec.LongRunning || s.spec.Filler || r.progress.Percent >= almostDonePercent || r.task.current != r {
		return
	}
	if !r.isStuck(now) || p.isDisabled(StuckRunRestarts) {
		return
	}
	p.distrustWorker(w, "a run makes no progress", now)
	p.restartElsewhere(r, "the run makes no progress")
}

// isStuck reports whether a run's progress has not changed for too long. Reports must have shown this
// for at least half of that time: without reports the progress is unknown.
func (r *run) isStuck(now clock.Time) bool {
	limit := minStuckTime + time.Duration(stuckShare*float64(r.task.step.spec.Estimate))
	return now.Sub(r.progress.ChangedAt) >= limit && r.reportedAt.Sub(r.progress.ChangedAt) >= limit/2
}

// restartElsewhere stops a run so that its task starts on another worker. In a gang it stops all
// members.
func (p *Pool) restartElsewhere(r *run, reason string) {
	p.cfg.Log(Event{Name: "run_moved", Task: r.task.id(), Run: r.number, Worker: r.worker.info.ID, Detail: reason})
	p.avoidWorker(r.task, r.worker)
	p.stopRunOrGang(r)
}

// endsAfterWorkerLeaves reports whether a run is expected to end after its worker may have left.
func (p *Pool) endsAfterWorkerLeaves(w *worker, r *run, now clock.Time) bool {
	return now.Add(r.timeLeft(now)) > w.leavesAt.Add(leaveSlack)
}

// stopOrder returns the order that stops a run.
func (r *run) stopOrder() StopOrder {
	w := r.worker
	return StopOrder{Task: r.task.id(), Run: r.number, Worker: w.info.ID, Address: w.info.Address, Token: w.history.token}
}

// addStopOrders adds the pending stop orders to the actions, apart from those for runs that have ended.
func (p *Pool) addStopOrders(now clock.Time, out *Actions) {
	for _, r := range p.pendingStops {
		w := r.worker
		if w.terminated || w.runs[runKey{r.task.id(), r.number}] != r && !r.task.done {
			continue
		}
		r.stopSentAt = now
		out.Stops = append(out.Stops, r.stopOrder())
	}
	p.pendingStops = p.pendingStops[:0]
}

// placeSteps starts tasks and requests advice for the waiting steps, in the order of their ranks.
func (p *Pool) placeSteps(now clock.Time, out *Actions) {
	p.clearQuotaReservations()
	if p.waitingSteps.gangCount > 0 {
		p.updateBacklogs() // determines whether gangs may reserve workers
	}
	p.usableWorkers = usableWorkersByPool{}
	defer func() { p.usableWorkers = nil }()
	reserved := newReservations()
	p.placePromotedGangs(reserved, now, out)
	ordered := p.waitingSteps.sort(now)
	p.countStepsWithoutTargets()
	p.requestDelayedAdvice(ordered, reserved, now, out)
	for i := range ordered {
		s := ordered[i].step
		if s.promoted {
			continue
		}
		if ordered[i].mayOnlyRequestAdvice(now) && !p.mayRequestAdvice(s, now) {
			continue
		}
		if p.isStepBlockedByTakeover(s) {
			continue
		}
		if p.awaitsQuota(s) {
			p.reserveGangQuota(s, now)
			continue
		}
		if s.spec.Gang {
			p.placeGang(s, reserved, now, out)
		} else {
			p.placeTasks(s, reserved, now, out)
		}
		if s.awaitsProbe(now) || s.blockedUntil() != 0 {
			continue
		}
		p.preempt(s, now)
		if s.waitingTasks() == 0 {
			p.waitingSteps.remove(s)
			continue
		}
		p.requestAdvice(s, p.maxLongCalls(), reserved, now, out)
		p.reserveWorkers(s, reserved, now)
	}
}

// countStepsWithoutTargets counts the steps for which the last selection of advice targets found none.
func (p *Pool) countStepsWithoutTargets() {
	p.advice.stepsWithoutTargets = 0
	for s := range p.waitingSteps.all() {
		if s.advice.hadNoTargets {
			p.advice.stepsWithoutTargets++
		}
	}
}

// createRun creates a run of a task and counts it against the worker's room.
func (p *Pool) createRun(t *task, w *worker, number int, state runState, now clock.Time) *run {
	r := &run{task: t, number: number, worker: w, state: state}
	r.startCall = latestart.StartCall{OrderedAt: now, ReusesNumber: t.lateStarts.HasNumber(number)}
	t.lastRunNumber = number
	t.setCurrent(r)
	t.presumedLost = false
	p.addRun(r)
	return r
}

// newStartOrder returns the order that starts a run.
func (p *Pool) newStartOrder(r *run, checkpoint string, now clock.Time) StartOrder {
	t, w := r.task, r.worker
	r.token = w.history.token
	deadline := w.leaseDeadline(now, p.cfg.LeaseDuration)
	w.latestDeadline = max(w.latestDeadline, deadline)
	w.history.leasesExtendedBy = now
	o := StartOrder{
		Task: t.id(), Run: r.number, Worker: w.info.ID, Address: w.info.Address, Token: w.history.token,
		Spec: t.step.occurrence.job.job.Spec, Checkpoint: checkpoint, Deadline: deadline,
	}
	ticket := t.step.advice.tickets[w.info.ID]
	o.Ticket = ticket.text
	p.markTicketUsed(ticket)
	p.logStart(o, t.step.occurrence, w, ticket, now)
	return o
}

// logStart logs what a start was based on: the time left until the job's objective, the age of the last
// report from the worker, the time for which the ticket is still valid, and what stays free on the
// worker.
func (p *Pool) logStart(o StartOrder, occ *occurrence, w *worker, ticket ticket, now clock.Time) {
	detail := fmt.Sprintf("left_ms=%d worker_age_ms=%d free=%s", occ.objective.Sub(now).Milliseconds(),
		now.Sub(w.lastAnsweredAt).Milliseconds(), w.free())
	if ticket.text != "" {
		detail += fmt.Sprintf(" ticket_left_ms=%d", ticket.expiresAt.Sub(now).Milliseconds())
	}
	p.cfg.Log(Event{Name: "run_ordered", Task: o.Task, Run: o.Run, Worker: o.Worker, Detail: detail})
}

// nextRunNumber returns the number of a task's next run. A previous owner may have assigned numbers
// that this one has not seen, so the run numbers of a job that a previous owner may have started begin
// above RunNumberBase.
func (p *Pool) nextRunNumber(j *jobState, last int) int {
	if !p.isUnknownToPreviousOwners(j) {
		return max(last, p.cfg.RunNumberBase) + 1
	}
	return last + 1
}

// placeTasks starts as many tasks of a step as there is room for.
func (p *Pool) placeTasks(s *step, reserved *reservations, now clock.Time, out *Actions) {
	if s.hasSuspects() {
		p.placeSuspectTasks(s, reserved, now, out)
		if !s.hasSurvivedStart {
			return // the other tasks of the step may crash workers as well
		}
	}
	var candidates []*worker
	hasCandidates := func() bool {
		if candidates == nil {
			candidates = p.candidates(s, reserved, now)
		}
		return len(candidates) > 0
	}
	for i := 0; i < len(s.tasks) || s.hasMoreTasks() && !p.hasTasksBlockedByTakeover(s); i++ {
		if i == len(s.tasks) {
			if !hasCandidates() {
				return
			}
			i = s.createMoreTasks()
		}
		t := s.tasks[i]
		if t.isSuspect() || !p.mayStart(t, now) {
			continue
		}
		if p.quotaRoom(s, 1) == 0 {
			return
		}
		if !hasCandidates() {
			return
		}
		w := bestFit(t, candidates)
		if w == nil && t.lateStarts.IsBound() {
			continue // other tasks of the step may have room on other workers
		}
		if w == nil {
			return
		}
		p.startTask(t, w, p.nextRunNumberOn(t, w), t.checkpoint, now, out)
	}
}

// mayStart reports whether the state of a task allows a start now. Workers and quotas are not
// considered.
func (p *Pool) mayStart(t *task, now clock.Time) bool {
	p.expireLateStarts(t, now)
	return t.waiting() && !p.isTaskBlockedByTakeover(t) && now >= t.notBefore && !t.isBlockedByLateStart() && p.mayRestartPresumedLost(t, now) && p.crashesAllowStart(t, now)
}

// gangCandidates lists the workers on which members of a gang may be started.
func (p *Pool) gangCandidates(s *step, reserved *reservations, now clock.Time) []*worker {
	candidates := p.candidates(s, reserved, now)
	if s.hasSuspects() {
		return p.selectGangProbeWorkers(s, candidates, now)
	}
	return candidates
}

// placeGang starts all members of a gang, or none. If some members of a gang run already, it starts
// those that are missing.
func (p *Pool) placeGang(s *step, reserved *reservations, now clock.Time, out *Actions) {
	if s.hasMissingMembers() {
		p.startMissingMembers(s, p.gangCandidates(s, reserved, now), now, out)
		return
	}
	if s.waitingTasks() == 0 || now < s.tasks[0].notBefore {
		return
	}
	for i := range s.tasks {
		p.expireLateStarts(s.tasks[i], now)
		if s.tasks[i].isBlockedByLateStart() || !p.mayRestartPresumedLost(s.tasks[i], now) || !p.crashesAllowStart(s.tasks[i], now) {
			return
		}
	}
	chosen := p.gangWorkers(s, p.gangCandidates(s, reserved, now))
	if chosen == nil {
		return
	}
	number := p.nextGangRunNumber(s)
	s.gang = gang{runNumber: number, startedAt: now}
	checkpoint := s.gangCheckpoint()
	for i, w := range chosen {
		p.startTask(s.tasks[i], w, number, checkpoint, now, out)
	}
}
