package dispatch

import (
	"fmt"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/crash"
	"foldarch.dev/foldarch/pkg/job"
)

// What crashes of workers say against tasks is decided in package crash. Here stands which workers have crashed and which starts may be the cause.

// togetherWithin is how far apart workers that crash together may have been heard of last: an idle one is
// asked every idleHoldWait.
const togetherWithin = idleHoldWait + 500*time.Millisecond

// crashed takes in that a life of a worker has ended: what had begun just before may be the cause,
// unless it was to leave.
func (p *Pool) crashed(w *worker, now clock.Time) {
	starts := w.suspectStarts()
	w.doubts = nil
	if w.leftAsPlanned() {
		for _, s := range starts {
			p.dropAttempt(p.task(s.Task), s.Run)
		}
		return
	}
	if p.cfg.Takeover && !w.reported {
		p.MissCrash(w.info)
	} else {
		p.parting[w.info.ID] = w.info
		p.rosterChanged(w.info.ID)
	}
	p.cfg.Log(Event{Name: "worker_crashed", Worker: w.info.ID, Detail: fmt.Sprintf(
		"unheard_ms=%d runs=%d unproven=%s", now.Sub(w.lastSign()).Milliseconds(), len(w.runs), starts)})
	p.blame(w, starts, now)
	for _, r := range w.runs {
		if !r.proven && r.state != runStoring {
			r.task.crash.Doubt()
		}
	}
}

// MissCrash takes in that a worker crashed under starts of a former owner that nobody may have counted.
func (p *Pool) MissCrash(info WorkerInfo) {
	p.rosterChanged(info.ID)
	if p.takeover.missed {
		return // one record of a crash tells a later owner as much as many
	}
	p.takeover.missed = true
	p.missedWorker = info
}

// anyKnownToFormer says that a job has not ended that a former owner may have started.
func (p *Pool) anyKnownToFormer() bool {
	for _, j := range p.jobs {
		if j.outcome == "" && !p.unknownToFormer(j) {
			return true
		}
	}
	return false
}

// leftAsPlanned says that a worker was to leave, or went on serving after it had taken its entry away.
func (w *worker) leftAsPlanned() bool {
	return w.leavesAt != 0 || w.unlistedAt != 0 && !w.entryReplaced && w.unlistedAt <= w.provenAt
}

// lastSign is when a worker was heard of last, or when this owner learned of it.
func (w *worker) lastSign() clock.Time {
	return max(w.clockAt, w.knownAt)
}

// signs is what is known of a worker from its answers.
func (w *worker) signs() crash.Worker {
	return crash.Worker{HeardAt: w.lastSign(), UnansweredAt: w.unansweredAt}
}

// suspectStarts lists the starts that may have ended a worker. Stored ones count in any case: each crash that is not counted may be the one
// that is too many, and they go to workers that live.
func (w *worker) suspectStarts() crash.Starts {
	out := slices.Clone(w.doubts)
	for _, r := range sortedRuns(w) {
		id := r.task.id()
		if r.proven || r.state == runStoring || w.doubts.Has(id, r.number) {
			continue
		}
		if r.state != runActive && !r.stored && w.signs().MayHaveEndedBefore(r.call.OrderedAt) {
			continue
		}
		soon := r.state == runActive && !r.adopted && crash.Soon(r.startClock, w.clock)
		out = append(out, crash.Start{Task: id, Run: r.number, Soon: soon})
	}
	return out
}

// crashNow is the crash of a worker of which some starts may be the cause.
func (w *worker) crashNow(starts crash.Starts) *crash.Crash {
	return crash.Of(w.info.ID, w.info.Address, w.lastSign(), starts)
}

// blame counts a crash against the tasks whose starts may be its cause.
func (p *Pool) blame(w *worker, starts crash.Starts, now clock.Time) {
	c := w.crashNow(starts)
	p.crashes.Add(c, func() []*crash.Crash { return p.silentLike(w, c, now) }, now)
	for _, s := range starts {
		p.countCrash(s, c.Against(s))
	}
}

// silentLike lists what would be the crashes of the workers that went silent when one crashed.
func (p *Pool) silentLike(crashed *worker, c *crash.Crash, now clock.Time) []*crash.Crash {
	var out []*crash.Crash
	for _, w := range p.workers {
		last := w.lastSign()
		if w.gone || w.info.ID == crashed.info.ID || now.Sub(last) < usableWithin || !p.crashes.Near(c, last) || w.probed() {
			continue
		}
		out = append(out, w.crashNow(w.suspectStarts()))
	}
	return out
}

// countCrash counts a crash against a task, and gives its job up when it is certainly the cause.
func (p *Pool) countCrash(s crash.Start, c job.Crash) {
	t := p.task(s.Task)
	p.dropAttempt(t, s.Run)
	if t == nil || t.step.time.job.outcome != "" || t.done || !t.crash.Count(c) {
		return
	}
	j := t.step.time.job
	j.suspected = true
	p.ready.reorder()
	p.storeProgress(t)
	p.cfg.Log(Event{Name: "crash_counted", Task: s.Task, Run: s.Run, Worker: WorkerID(c.Worker), Detail: fmt.Sprintf(
		"in_a_row=%d sure=%d alone=%t", len(t.crash.Crashes()), t.crash.Sure(), c.Alone)})
	if t.crash.IsCause(p.crashes.SureNeeded(j.job.ID, len(p.workers), p.now)) {
		p.cfg.Log(Event{Name: "job_given_up", Task: s.Task, Job: j.job.ID, Run: s.Run, Detail: t.crash.String()})
		p.finish(j, job.Failed)
	}
}

// mayTryLast says whether a task may be started as far as crashes are concerned: one that the next crash gives up waits until
// workers no longer crash for other causes.
func (p *Pool) mayTryLast(t *task, now clock.Time) bool {
	return !t.crash.OnLastTry() || p.crashes.Calm(t.step.time.job.job.ID, now)
}

// withdrawCrashes takes back the crashes of a worker that had only been cut off for long.
func (p *Pool) withdrawCrashes(id WorkerID) {
	p.crashes.Withdraw(id)
	for _, j := range p.jobs {
		for s := range j.steps() {
			for i := range s.tasks {
				if t := &s.tasks[i]; t.crash.Withdraw(id) {
					p.storeProgress(t)
				}
			}
		}
	}
}

// prove takes in that a worker listed a run at a time on its own clock.
func (p *Pool) prove(r *run, workerClock int64) {
	if r.proven || workerClock == 0 {
		return
	}
	if r.startClock == 0 {
		r.startClock = workerClock
	}
	if crash.Proven(r.startClock, workerClock) {
		p.survived(r)
	}
}

// survived takes in that a worker lives on after the start of a run.
func (p *Pool) survived(r *run) {
	r.proven = true
	s := r.task.step
	if s.spec.Gang && !s.allProven() {
		p.dropAttempt(r.task, r.number)
		return
	}
	s.survived = true
	tasks := r.task.doneTogether()
	for i := range tasks {
		if t := &tasks[i]; t.crash.Survived(r.number) {
			p.storeProgress(t)
		}
	}
}

// allProven says that all members of a gang run and have been survived.
func (s *step) allProven() bool {
	for i := range s.tasks {
		if r := s.tasks[i].current; r == nil || !r.proven {
			return false
		}
	}
	return true
}

// storeProgress has the progress of a task's job written, unless the job has ended.
func (p *Pool) storeProgress(t *task) {
	if j := t.step.time.job; j.outcome == "" {
		p.dirty[j] = struct{}{}
	}
}
