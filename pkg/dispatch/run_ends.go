package dispatch

import (
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/outcome"
)

// rejectedStartBackoff is how long a task waits after its start was rejected for a reason that may not
// apply to other workers.
const rejectedStartBackoff = 50 * time.Millisecond

// addRun counts a run against its worker's room and its customer's quota.
func (p *Pool) addRun(r *run) {
	w := r.worker
	w.runs[runKey{r.task.id(), r.number}] = r
	w.used = w.used.Add(r.task.step.spec.Need())
	p.chargeQuota(r.task.step)
	if s := r.task.step; s.runsPerWorker != nil {
		s.runsPerWorker[w.info.ID]++
	}
}

// removeRun reverses addRun.
func (p *Pool) removeRun(r *run) {
	w := r.worker
	key := runKey{r.task.id(), r.number}
	if w.runs[key] != r {
		return
	}
	p.needsPlan = true
	delete(w.runs, key)
	w.used = w.used.Sub(r.task.step.spec.Need())
	p.releaseQuota(r.task.step)
	if s := r.task.step; s.runsPerWorker != nil {
		s.runsPerWorker[w.info.ID]--
	}
}

// handleRunEnd handles the end of a run that this owner counts.
func (p *Pool) handleRunEnd(r *run, reason EndReason, checkpoint string, now clock.Time) {
	p.removeRun(r)
	p.recordWorkerResult(r.worker, r, reason, now)
	if reason != EndLost {
		p.recordSurvival(r)
	}
	p.cfg.Log(Event{Name: "run_ended", Task: r.task.id(), Run: r.number, Worker: r.worker.info.ID, Detail: reason.String()})
	if r.task.current == r {
		r.task.setCurrent(nil)
		p.handleTaskEnd(r, reason, checkpoint)
	}
	p.forgetJobIfIdle(r.task.step.occurrence.job)
}

// handleTaskEnd handles the end of a task's current run.
func (p *Pool) handleTaskEnd(r *run, reason EndReason, checkpoint string) {
	t := r.task
	s, j := t.step, t.step.occurrence.job
	if checkpoint != "" {
		t.checkpoint = checkpoint
	}
	t.lastEndedRun = max(t.lastEndedRun, r.number)
	if j.outcome != "" || t.done && !s.spec.Gang {
		return
	}
	switch {
	case s.spec.LongRunning:
		p.markProgressChanged(t)
	case reason == EndDone:
		p.completeTask(t)
	case reason == EndFailed:
		p.handleTaskFailure(t, r)
	case s.spec.Gang:
		p.breakGang(s)
	}
	p.logBlockingStarts(t)
	p.updateWaitingSteps(s.occurrence)
}

// completeTask marks a task as done; for a gang, all its members.
func (p *Pool) completeTask(t *task) {
	s := t.step
	for _, member := range t.completionGroup() {
		member.setDone()
		p.markProgressChanged(member)
	}
	p.forgetDoneTasks(s)
	p.completeStepIfDone(s)
}

// completeStepIfDone cancels the advice calls of a finished step and completes its job if that was the
// last one.
func (p *Pool) completeStepIfDone(s *step) {
	if !s.finished() {
		return
	}
	p.updateAdviceRounds(s)
	p.abandonAdviceCalls(s)
	p.finishOccurrenceIfDone(s.occurrence)
	p.finishJobIfDone(s.occurrence.job)
}

// handleTaskFailure handles the failure of a task's current run.
func (p *Pool) handleTaskFailure(t *task, r *run) {
	s := t.step
	p.avoidWorker(t, r.worker)
	if p.countFailure(t, r.number) && s.spec.Gang {
		p.breakGang(s)
	}
}

// countFailure counts the failure of a run once; the members of a gang fail together. It reports
// whether the job goes on.
func (p *Pool) countFailure(t *task, number int) bool {
	s, j := t.step, t.step.occurrence.job
	counted := t
	if s.spec.Gang {
		counted = s.tasks[0]
	}
	if slices.Contains(counted.failures, number) || s.spec.LongRunning {
		return true
	}
	counted.failures = append(counted.failures, number)
	p.markProgressChanged(counted)
	if len(counted.failures) >= j.maxAttempts() {
		p.finishJob(j, job.Failed)
		return false
	}
	return true
}

// HandleStartAnswer handles a worker's answer to a start order, or the error when there was none.
func (p *Pool) HandleStartAnswer(o StartOrder, a Answer, err error, now clock.Time) {
	w, ok := p.workers[o.Worker]
	if !ok {
		return
	}
	r, ok := w.runs[runKey{o.Task, o.Run}]
	if !ok {
		return
	}
	p.recordStartResult(r, err, now)
	if r.state == runActive && a.Verdict != VerdictDone {
		return
	}
	w.updateClock(a.Clock, now)
	if err != nil {
		p.handleStartFailure(r, err, now)
		return
	}
	if a.Verdict == VerdictDone {
		p.checkSurvival(r, a.Clock)
		if r.state != runActive {
			p.markRunActive(r, now)
		}
		return
	}
	p.cfg.Log(Event{Name: "start_rejected", Task: o.Task, Run: o.Run, Worker: o.Worker, Detail: a.Verdict.String()})
	p.handleStartRejection(r, o, a.Verdict, now)
}

// handleStartFailure handles a start order without an answer. If it may have been sent, the run stays
// unconfirmed until a report shows whether it was started.
func (p *Pool) handleStartFailure(r *run, err error, now clock.Time) {
	w := r.worker
	w.recordUnanswered(now)
	if isNotSent(err) {
		p.suspendWorker(w, 500*time.Millisecond, "the worker could not be reached", now)
		p.cancelStart(r, rejectedStartBackoff, now)
		return
	}
	p.cfg.Log(Event{Name: "start_unsettled", Task: r.task.id(), Run: r.number, Worker: w.info.ID})
	if r.state == runStarting {
		r.state = runUnconfirmed
	}
	p.workersToFence = append(p.workersToFence, w)
}

// handleStartRejection handles a start order that the worker rejected.
func (p *Pool) handleStartRejection(r *run, o StartOrder, v Verdict, now clock.Time) {
	w, t := r.worker, r.task
	switch v {
	case VerdictFenced:
		p.checkFence(w, o.Token)
	case VerdictOldRun:
		t.lastRunNumber++
		if t.step.spec.Gang {
			t.step.gang.runNumber++
			p.breakGang(t.step)
		}
	case VerdictNoTicket:
		delete(t.step.advice.tickets, w.info.ID)
	case VerdictWrongWorker:
		p.terminateWorker(w, "another incarnation answers", now)
		return
	case VerdictNoRoom:
		p.suspendWorker(w, 300*time.Millisecond, "no room", now)
	case VerdictUnhealthy:
		p.suspendWorker(w, time.Second, "unhealthy", now)
	case VerdictDeadlinePassed, VerdictOther, VerdictUnknown, VerdictDone:
	}
	p.cancelStart(r, rejectedStartBackoff, now)
}

// cancelStart removes a run whose start was not carried out; its task waits for the given pause before
// it may start again.
func (p *Pool) cancelStart(r *run, pause time.Duration, now clock.Time) {
	p.removeRun(r)
	t := r.task
	p.removeAttempt(t, r.number)
	if t.current != r {
		return
	}
	t.setCurrent(nil)
	t.notBefore = now.Add(pause)
	p.updateWaitingSteps(t.step.occurrence)
	p.forgetJobIfIdle(t.step.occurrence.job)
}

// stopRun queues a stop order for a run if it is active and not being stopped yet. r may be nil.
func (p *Pool) stopRun(r *run) {
	if r != nil && r.state == runActive && r.stopSentAt == 0 {
		r.stopRequested = true
		p.needsPlan = true
		p.pendingStops = append(p.pendingStops, r)
	}
}

// HandleStopAnswer handles a worker's answer to a stop order. The end itself is reported in the answer
// to a poll. The answer's clock is not used, since the next incarnation may have given the answer.
func (p *Pool) HandleStopAnswer(o StopOrder, a Answer, now clock.Time) {
	w, ok := p.workers[o.Worker]
	if !ok {
		return
	}
	switch a.Verdict {
	case VerdictFenced:
		p.checkFence(w, o.Token)
	case VerdictWrongWorker:
		p.terminateWorker(w, "another incarnation answers", now)
	}
}

// forgetJobIfIdle drops a job whose outcome is committed and which has no runs left; only its outcome
// is kept.
func (p *Pool) forgetJobIfIdle(j *jobState) {
	if !j.committed || j.hasRuns() || p.isBlockedByTakeover(j) {
		return // a run of a previous owner that is still to be found needs the job
	}
	if p.jobs[j.job.ID] == j {
		p.outcomes.Put(j.job.ID, outcome.Outcome{State: j.outcome, Customer: j.customer.Name, RecordedAt: p.now})
		p.outcomes.ExtendLateStarts(j.job.ID, j.lateStartsExpireAt())
		delete(p.jobs, j.job.ID)
	}
}

// hasRuns reports whether tasks of the job have runs.
func (j *jobState) hasRuns() bool {
	return j.runningTasks > 0
}
