package dispatch

import (
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/crash"
	"foldarch.dev/foldarch/pkg/job"
)

// mustStore says that a start of a task has to be in the store before it is ordered: there is a crash against it, a worker
// was lost under an earlier start, or a former owner may have started it on a worker that crashed unseen.
func (p *Pool) mustStore(t *task) bool {
	if t.suspected() || t.crash.InDoubt() {
		return true
	}
	return p.takeover.missed && !p.unknownToFormer(t.step.time.job)
}

// start has a task started on a worker, at once or when the start is stored.
func (p *Pool) start(t *task, w *worker, number int, checkpoint string, now clock.Time, out *Actions) {
	if !p.mustStore(t) {
		out.Starts = append(out.Starts, p.startOrder(p.book(t, w, number, runStarting, now), checkpoint, now))
		return
	}
	if t.suspected() {
		t.step.claim(w, now)
	}
	r := p.book(t, w, number, runStoring, now)
	r.checkpoint, r.stored = checkpoint, true
	t.crash.Attempt(number, w.info.ID)
	p.storeProgress(t)
	p.toStore = append(p.toStore, r)
}

// orderStored orders the starts that the store has by now.
func (p *Pool) orderStored(now clock.Time, out *Actions) {
	for _, r := range p.stored {
		switch {
		case r.worker.runs[runKey{r.task.id(), r.number}] != r:
		case !p.mayOrder(r, now):
			p.rejected(r, rejectedPause, now)
		default:
			r.state, r.call.OrderedAt = runStarting, now
			out.Starts = append(out.Starts, p.startOrder(r, r.checkpoint, now))
		}
	}
	p.stored = p.stored[:0]
}

// mayOrder says whether a start that was decided a little ago may still be ordered.
func (p *Pool) mayOrder(r *run, now clock.Time) bool {
	s, w := r.task.step, r.worker
	if s.time.job.outcome != "" || s.gang.broken || r.task.done || !w.usable(now) || !w.used.Fits(w.info.Capacity) {
		return false
	}
	if a := s.time.job.account; a != nil && a.OverQuota() {
		return false // its quota was lowered while the start was being stored
	}
	if r.task.suspected() && !w.signs().Lives(now) {
		return false
	}
	return s.time.job.queue.Advice == nil || now.Add(ticketMargin) < s.advice.tickets[w.info.ID].until
}

// dropAttempt takes in that nothing is open of a start of a task any more; nil is one of a job that is forgotten.
func (p *Pool) dropAttempt(t *task, run int) {
	if t != nil && t.crash.DropAttempt(run) {
		p.storeProgress(t)
	}
}

// takeAttempts looks what became of the starts of a job that former owners have stored.
func (p *Pool) takeAttempts(j *jobState, now clock.Time) {
	for s := range j.steps() {
		for i := range s.tasks {
			for _, a := range s.tasks[i].crash.Attempts() {
				p.takeAttempt(&s.tasks[i], a, now)
			}
		}
	}
}

// takeAttempt counts a crash when the worker of an attempt is gone; one that lives tells what it runs.
func (p *Pool) takeAttempt(t *task, a job.Attempt, now clock.Time) {
	start := crash.Start{Task: t.id(), Run: a.Run}
	w, known := p.workers[WorkerID(a.Worker)]
	if !known {
		w = &worker{info: WorkerInfo{ID: WorkerID(a.Worker)}, knownAt: p.createdAt, gone: true}
	}
	switch {
	case w.gone:
		p.blame(w, crash.Starts{start}, now)
	case !w.reported:
		w.doubts = append(w.doubts, start)
	case w.runs[runKey{t.id(), a.Run}] == nil:
		p.dropAttempt(t, a.Run)
	}
}

// doubtRuns takes in that the leases on a silent worker have lapsed: if it turns out to have
// crashed, what had begun just before may be the cause.
func (w *worker) doubtRuns() {
	w.doubts = w.suspectStarts()
}

// settleDoubts takes in that a worker lives that was in doubt.
func (p *Pool) settleDoubts(w *worker) {
	for _, s := range w.doubts {
		if w.runs[runKey{s.Task, s.Run}] == nil {
			p.dropAttempt(p.task(s.Task), s.Run)
		}
	}
	w.doubts = nil
}
