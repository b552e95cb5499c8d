package dispatch

import (
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/outcome"
)

// rejectedPause is how long a task waits after an order that was rejected for a reason that
// another worker may not have.
const rejectedPause = 50 * time.Millisecond

// count books a run's resources on its worker.
func (p *Pool) count(r *run) {
	w := r.worker
	w.runs[runKey{r.task.id(), r.number}] = r
	w.used = w.used.Add(r.task.step.spec.Need())
	p.bookUse(r.task.step)
	if s := r.task.step; s.perOf != nil {
		s.perOf[w.info.ID]++
	}
}

// release gives back what count booked.
func (p *Pool) release(r *run) {
	w := r.worker
	key := runKey{r.task.id(), r.number}
	if w.runs[key] != r {
		return
	}
	p.news = true
	delete(w.runs, key)
	w.used = w.used.Sub(r.task.step.spec.Need())
	p.giveBackUse(r.task.step)
	if s := r.task.step; s.perOf != nil {
		s.perOf[w.info.ID]--
	}
}

// runEnded takes in that a counted run has ended.
func (p *Pool) runEnded(r *run, how End, checkpoint string, now clock.Time) {
	p.release(r)
	p.judge(r.worker, r, how, now)
	if how != EndLost {
		p.survived(r)
	}
	p.cfg.Log(Event{Name: "run_ended", Task: r.task.id(), Run: r.number, Worker: r.worker.info.ID, Detail: how.String()})
	if r.task.current == r {
		r.task.setCurrent(nil)
		p.taskEnded(r, how, checkpoint)
	}
	p.forgetIfIdle(r.task.step.time.job)
}

// taskEnded takes in the end of a task's current run.
func (p *Pool) taskEnded(r *run, how End, checkpoint string) {
	t := r.task
	s, j := t.step, t.step.time.job
	if checkpoint != "" {
		t.checkpoint = checkpoint
	}
	t.lastEnded = max(t.lastEnded, r.number)
	if j.outcome != "" || t.done && !s.spec.Gang {
		return
	}
	switch {
	case s.spec.LongRunning:
		p.dirty[j] = struct{}{}
	case how == EndDone:
		p.taskDone(t)
	case how == EndFailed:
		p.taskFailed(t, r)
	case s.spec.Gang:
		p.breakGang(s)
	}
	p.logDelays(t)
	p.updateReady(s.time)
}

// taskDone takes in that a task is done; with a gang, that all its members are.
func (p *Pool) taskDone(t *task) {
	s := t.step
	p.dirty[s.time.job] = struct{}{}
	tasks := t.doneTogether()
	for i := range tasks {
		tasks[i].setDone()
	}
	p.stepProgressed(s)
}

func (p *Pool) stepProgressed(s *step) {
	if !s.finished() {
		return
	}
	p.learnSpent(s)
	p.dropAsk(s)
	p.finishIfDone(s.time.job)
}

// taskFailed takes in that a task's current run failed.
func (p *Pool) taskFailed(t *task, r *run) {
	s := t.step
	p.avoid(t, r.worker)
	if p.countFailure(t, r.number) && s.spec.Gang {
		p.breakGang(s)
	}
}

// countFailure counts the failure of a run, once; a gang's members fail together. It says
// whether the job goes on.
func (p *Pool) countFailure(t *task, number int) bool {
	s, j := t.step, t.step.time.job
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
		p.finish(j, job.Failed)
		return false
	}
	return true
}

// StartAnswered takes in a worker's answer to a start, or that there was none.
func (p *Pool) StartAnswered(o Start, a Answer, err error, now clock.Time) {
	w, ok := p.workers[o.Worker]
	if !ok {
		return
	}
	r, ok := w.runs[runKey{o.Task, o.Run}]
	if !ok {
		return
	}
	p.startOver(r, err, now)
	if r.state == runActive && a.Verdict != VerdictDone {
		return
	}
	w.heard(a.Clock, now)
	if err != nil {
		p.startFailed(r, err, now)
		return
	}
	if a.Verdict == VerdictDone {
		p.prove(r, a.Clock)
		if r.state != runActive {
			p.confirm(r, now)
		}
		return
	}
	p.cfg.Log(Event{Name: "start_rejected", Task: o.Task, Run: o.Run, Worker: o.Worker, Detail: a.Verdict.String()})
	p.startRejected(r, o, a.Verdict, now)
}

// startFailed takes in that a start got no answer.
func (p *Pool) startFailed(r *run, err error, now clock.Time) {
	w := r.worker
	w.unanswered(now)
	if isNotSent(err) {
		p.suspend(w, 500*time.Millisecond, "not reached", now)
		p.rejected(r, rejectedPause, now)
		return
	}
	p.cfg.Log(Event{Name: "start_unsettled", Task: r.task.id(), Run: r.number, Worker: w.info.ID})
	if r.state == runStarting {
		r.state = runUnsettled
	}
	p.settles = append(p.settles, w)
}

func (p *Pool) startRejected(r *run, o Start, v Verdict, now clock.Time) {
	w, t := r.worker, r.task
	switch v {
	case VerdictFenced:
		p.checkFence(w, o.Token)
	case VerdictOldRun:
		t.lastRun++
		if t.step.spec.Gang {
			t.step.gang.number++
			p.breakGang(t.step)
		}
	case VerdictNoTicket:
		delete(t.step.advice.tickets, w.info.ID)
	case VerdictOtherIncarnation:
		p.workerGone(w, "another incarnation answers", now)
		return
	case VerdictNoRoom:
		p.suspend(w, 300*time.Millisecond, "no room", now)
	case VerdictUnhealthy:
		p.suspend(w, time.Second, "unhealthy", now)
	case VerdictLate, VerdictOther, VerdictUnknown, VerdictDone:
	}
	p.rejected(r, rejectedPause, now)
}

// rejected takes back a start that was not carried out; its task waits for a pause.
func (p *Pool) rejected(r *run, pause time.Duration, now clock.Time) {
	p.release(r)
	t := r.task
	p.dropAttempt(t, r.number)
	if t.current != r {
		return
	}
	t.setCurrent(nil)
	t.notBefore = now.Add(pause)
	p.updateReady(t.step.time)
	p.forgetIfIdle(t.step.time.job)
}

// stopRun has a run stopped, if there is one that goes on.
func (p *Pool) stopRun(r *run) {
	if r != nil && r.state == runActive && r.stopSentAt == 0 {
		r.stopAsked = true
		p.news = true
		p.stops = append(p.stops, r)
	}
}

// StopAnswered takes in a worker's answer to a stop; the end itself is reported by a hold.
func (p *Pool) StopAnswered(o Stop, a Answer, now clock.Time) {
	w, ok := p.workers[o.Worker]
	if !ok {
		return
	}
	w.heard(a.Clock, now)
	switch a.Verdict {
	case VerdictFenced:
		p.checkFence(w, o.Token)
	case VerdictOtherIncarnation:
		p.workerGone(w, "another incarnation answers", now)
	}
}

// forgetIfIdle drops a job whose outcome is committed and of which nothing runs.
func (p *Pool) forgetIfIdle(j *jobState) {
	if !j.committed || j.runs() || p.blocked(j) {
		return // a run of a former owner that is still to be found counts, and needs what is known of the job
	}
	if p.jobs[j.job.ID] == j {
		p.outcomes.Put(j.job.ID, outcome.Outcome{State: j.outcome, Customer: j.customer.Name, Since: p.now})
		p.outcomes.MayRunLateUntil(j.job.ID, j.lateUntil())
		delete(p.jobs, j.job.ID)
	}
}

// runs says that a task of the job has a run.
func (j *jobState) runs() bool {
	return j.running > 0
}
