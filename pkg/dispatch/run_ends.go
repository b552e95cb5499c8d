package dispatch

import (
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/outcome"
)

// rejectedStartBackoff is how long a task waits after an order that was rejected for a reason that
// another worker may not have.
const rejectedStartBackoff = 50 * time.Millisecond

// count books a run's resources on its worker.
func (p *Pool) addRun(r *run) {
	w := r.worker
	w.runs[runKey{r.task.id(), r.number}] = r
	w.used = w.used.Add(r.task.step.spec.Need())
	p.chargeQuota(r.task.step)
	if s := r.task.step; s.runsPerWorker != nil {
		s.runsPerWorker[w.info.ID]++
	}
}

// removeRun gives back what count booked.
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

// handleRunEnd takes in that a counted run has ended.
func (p *Pool) handleRunEnd(r *run, how EndReason, checkpoint string, now clock.Time) {
	p.removeRun(r)
	p.recordWorkerResult(r.worker, r, how, now)
	if how != EndLost {
		p.recordSurvival(r)
	}
	p.cfg.Log(Event{Name: "run_ended", Task: r.task.id(), Run: r.number, Worker: r.worker.info.ID, Detail: how.String()})
	if r.task.current == r {
		r.task.setCurrent(nil)
		p.handleTaskEnd(r, how, checkpoint)
	}
	p.forgetJobIfIdle(r.task.step.occurrence.job)
}

// handleTaskEnd takes in the end of a task's current run.
func (p *Pool) handleTaskEnd(r *run, how EndReason, checkpoint string) {
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
		p.dirty[j] = struct{}{}
	case how == EndDone:
		p.completeTask(t)
	case how == EndFailed:
		p.handleTaskFailure(t, r)
	case s.spec.Gang:
		p.breakGang(s)
	}
	p.logBlockingStarts(t)
	p.updateWaitingSteps(s.occurrence)
}

// completeTask takes in that a task is done; with a gang, that all its members are.
func (p *Pool) completeTask(t *task) {
	s := t.step
	p.dirty[s.occurrence.job] = struct{}{}
	tasks := t.completionGroup()
	for i := range tasks {
		tasks[i].setDone()
	}
	p.completeStepIfDone(s)
}

func (p *Pool) completeStepIfDone(s *step) {
	if !s.finished() {
		return
	}
	p.updateAdviceRounds(s)
	p.abandonAdviceCalls(s)
	p.finishJobIfDone(s.occurrence.job)
}

// handleTaskFailure takes in that a task's current run failed.
func (p *Pool) handleTaskFailure(t *task, r *run) {
	s := t.step
	p.avoid(t, r.worker)
	if p.countFailure(t, r.number) && s.spec.Gang {
		p.breakGang(s)
	}
}

// countFailure counts the failure of a run, once; a gang's members fail together. It says
// whether the job goes on.
func (p *Pool) countFailure(t *task, number int) bool {
	s, j := t.step, t.step.occurrence.job
	counted := t
	if s.spec.Gang {
		counted = &s.tasks[0]
	}
	if slices.Contains(counted.failures, number) || s.spec.LongRunning {
		return true
	}
	counted.failures = append(counted.failures, number)
	p.dirty[j] = struct{}{}
	if len(counted.failures) >= max(j.queue.MaxAttempts, 1) {
		p.finishJob(j, job.Failed)
		return false
	}
	return true
}

// HandleStartAnswer takes in a worker's answer to a start, or that there was none.
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

// handleStartFailure takes in that a start got no answer.
func (p *Pool) handleStartFailure(r *run, err error, now clock.Time) {
	w := r.worker
	w.recordUnanswered(now)
	if isNotSent(err) {
		p.suspendWorker(w, 500*time.Millisecond, "not reached", now)
		p.cancelStart(r, rejectedStartBackoff, now)
		return
	}
	p.cfg.Log(Event{Name: "start_unsettled", Task: r.task.id(), Run: r.number, Worker: w.info.ID})
	if r.state == runStarting {
		r.state = runUnconfirmed
	}
	p.workersToFence = append(p.workersToFence, w)
}

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

// cancelStart takes back a start that was not carried out; its task waits for a pause.
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

// stopRun has a run stopped, if there is one that goes on.
func (p *Pool) stopRun(r *run) {
	if r != nil && r.state == runActive && r.stopSentAt == 0 {
		r.stopRequested = true
		p.needsPlan = true
		p.pendingStops = append(p.pendingStops, r)
	}
}

// HandleStopAnswer takes in a worker's answer to a stop; the end itself is reported by a hold.
func (p *Pool) HandleStopAnswer(o StopOrder, a Answer, now clock.Time) {
	w, ok := p.workers[o.Worker]
	if !ok {
		return
	}
	w.updateClock(a.Clock, now)
	switch a.Verdict {
	case VerdictFenced:
		p.checkFence(w, o.Token)
	case VerdictWrongWorker:
		p.terminateWorker(w, "another incarnation answers", now)
	}
}

// forgetJobIfIdle drops a job whose outcome is committed and of which nothing runs.
func (p *Pool) forgetJobIfIdle(j *jobState) {
	if !j.committed || j.hasRuns() || p.isBlockedByTakeover(j) {
		return // a run of a former owner that is still to be found counts, and needs what is known of the job
	}
	if p.jobs[j.job.ID] == j {
		p.outcomes.Put(j.job.ID, outcome.Outcome{State: j.outcome, Customer: j.customer.Name, LearnedAt: p.now})
		p.outcomes.ExtendLateStarts(j.job.ID, j.lateStartsExpireAt())
		delete(p.jobs, j.job.ID)
	}
}

// runs says that a task of the job has a run.
func (j *jobState) hasRuns() bool {
	return j.runningTasks > 0
}
