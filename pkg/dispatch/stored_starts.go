package dispatch

import (
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/crash"
	"foldarch.dev/foldarch/pkg/job"
)

// mustStoreStart reports whether a start of a task has to be in the store before it is ordered: a crash
// is recorded against the task, a worker was lost after an earlier start of it, or a previous owner may
// have started it on a worker that crashed without this being counted.
func (p *Pool) mustStoreStart(t *task) bool {
	if t.isSuspect() || t.crash.IsUnresolved() {
		return true
	}
	return p.takeover.hasUncountedCrash && !p.isUnknownToPreviousOwners(t.step.occurrence.job)
}

// startTask has a task started on a worker, at once or after the start was stored.
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

// orderStoredStarts orders the starts that have been stored.
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

// mayOrderStart reports whether a start may still be ordered after it was stored.
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

// removeAttempt removes the stored start of a run whose effect is known. t is nil when its job was
// forgotten.
func (p *Pool) removeAttempt(t *task, run int) {
	if t != nil && t.crash.RemoveAttempt(run) {
		p.markProgressChanged(t)
	}
}

// resolveLoadedAttempts determines what became of the starts of a job that previous owners stored.
func (p *Pool) resolveLoadedAttempts(j *jobState, now clock.Time) {
	for s := range j.steps() {
		for i := range s.tasks {
			for _, a := range s.tasks[i].crash.Attempts() {
				p.resolveLoadedAttempt(s.tasks[i], a, now)
			}
		}
	}
}

// resolveLoadedAttempt counts a crash if the worker of the stored start has terminated. If the worker
// has not reported yet, its report resolves the start.
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

// keepUnresolvedStarts keeps the recent starts of an unresponsive worker whose leases have expired: if it
// turns out that the worker crashed, one of these starts may be the cause.
func (w *worker) keepUnresolvedStarts() {
	w.unresolvedStarts = w.suspectStarts()
}

// resolveStarts resolves the unresolved starts of a worker that has reported and so has not crashed.
// Those without a run on the worker are dropped from the store.
func (p *Pool) resolveStarts(w *worker) {
	for _, s := range w.unresolvedStarts {
		if w.runs[runKey{s.Task, s.Run}] == nil {
			p.removeAttempt(p.task(s.Task), s.Run)
		}
	}
	w.unresolvedStarts = nil
}
