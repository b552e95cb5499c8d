package dispatch

import (
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/crash"
	"foldarch.dev/foldarch/pkg/job"
)

// mustStoreStart says that a start of a task has to be in the store before it is ordered: there is a crash against it, a worker
// was lost under an earlier start, or a former owner may have started it on a worker that crashed unseen.
func (p *Pool) mustStoreStart(t *task) bool {
	if t.isSuspect() || t.crash.IsUnresolved() {
		return true
	}
	return p.takeover.hasUncountedCrash && !p.isUnknownToPreviousOwners(t.step.occurrence.job)
}

// startTask has a task started on a worker, at once or when the start is stored.
func (p *Pool) startTask(t *task, w *worker, number int, checkpoint string, now clock.Time, out *Actions) {
	if !p.mustStoreStart(t) {
		out.Starts = append(out.Starts, p.newStartOrder(p.createRun(t, w, number, runStarting, now), checkpoint, now))
		return
	}
	if t.isSuspect() {
		t.step.claimWorker(w, now)
	}
	r := p.createRun(t, w, number, runStoring, now)
	r.checkpoint, r.storedBeforeStart = checkpoint, true
	t.crash.AddAttempt(number, w.info.ID)
	p.markProgressChanged(t)
	p.startsToStore = append(p.startsToStore, r)
}

// orderStoredStarts orders the starts that the store has by now.
func (p *Pool) orderStoredStarts(now clock.Time, out *Actions) {
	for _, r := range p.startsToOrder {
		switch {
		case r.worker.runs[runKey{r.task.id(), r.number}] != r:
		case !p.mayOrderStart(r, now):
			p.cancelStart(r, rejectedStartBackoff, now)
		default:
			r.state, r.startCall.OrderedAt = runStarting, now
			out.Starts = append(out.Starts, p.newStartOrder(r, r.checkpoint, now))
		}
	}
	p.startsToOrder = p.startsToOrder[:0]
}

// mayOrderStart says whether a start that was decided a little ago may still be ordered.
func (p *Pool) mayOrderStart(r *run, now clock.Time) bool {
	s, w := r.task.step, r.worker
	if s.occurrence.job.outcome != "" || s.gang.broken || r.task.done || !w.isUsable(now) || !w.used.Fits(w.info.Capacity) {
		return false
	}
	if a := s.occurrence.job.account; a != nil && a.IsOverQuota() {
		return false // its quota was lowered while the start was being stored
	}
	if r.task.isSuspect() && !w.liveness().IsResponsive(now) {
		return false
	}
	return s.occurrence.job.queue.Advice == nil || now.Add(minTicketValidity) < s.advice.tickets[w.info.ID].expiresAt
}

// removeAttempt takes in that nothing is open of a start of a task any more; nil is one of a job that is forgotten.
func (p *Pool) removeAttempt(t *task, run int) {
	if t != nil && t.crash.RemoveAttempt(run) {
		p.markProgressChanged(t)
	}
}

// resolveLoadedAttempts looks what became of the starts of a job that former owners have stored.
func (p *Pool) resolveLoadedAttempts(j *jobState, now clock.Time) {
	for s := range j.steps() {
		for i := range s.tasks {
			for _, a := range s.tasks[i].crash.Attempts() {
				p.resolveLoadedAttempt(&s.tasks[i], a, now)
			}
		}
	}
}

// resolveLoadedAttempt counts a crash when the worker of an attempt is gone; one that lives tells what it runs.
func (p *Pool) resolveLoadedAttempt(t *task, a job.Attempt, now clock.Time) {
	start := crash.Start{Task: t.id(), Run: a.Run}
	w, known := p.workers[WorkerID(a.Worker)]
	if !known {
		w = &worker{info: WorkerInfo{ID: WorkerID(a.Worker)}, discoveredAt: p.createdAt, terminated: true}
	}
	switch {
	case w.terminated:
		p.attributeCrash(w, crash.Starts{start}, now)
	case !w.reported:
		w.unresolvedStarts = append(w.unresolvedStarts, start)
	case w.runs[runKey{t.id(), a.Run}] == nil:
		p.removeAttempt(t, a.Run)
	}
}

// keepUnresolvedStarts takes in that the leases on a silent worker have lapsed: if it turns out to have
// crashed, what had begun just before may be the cause.
func (w *worker) keepUnresolvedStarts() {
	w.unresolvedStarts = w.suspectStarts()
}

// resolveStarts takes in that a worker lives that was in doubt.
func (p *Pool) resolveStarts(w *worker) {
	for _, s := range w.unresolvedStarts {
		if w.runs[runKey{s.Task, s.Run}] == nil {
			p.removeAttempt(p.task(s.Task), s.Run)
		}
	}
	w.unresolvedStarts = nil
}
