package dispatch

import (
	"fmt"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/crash"
	"foldarch.dev/foldarch/pkg/job"
)

// crashCoincidenceWindow is how far apart the times may be at which workers that crash together were last
// seen: an idle worker is polled only every maxIdlePollWait.
const crashCoincidenceWindow = maxIdlePollWait + 500*time.Millisecond

// handleWorkerCrash processes the end of a worker's incarnation: the starts just before it may be the cause,
// unless the worker had announced that it would leave. Package crash decides what the crash says about
// tasks.
func (p *Pool) handleWorkerCrash(w *worker, now clock.Time) {
	starts := w.suspectStarts()
	w.unresolvedStarts = nil
	if w.hasLeftAsPlanned() {
		for _, s := range starts {
			p.removeAttempt(p.task(s.Task), s.Run)
		}
		return
	}
	if p.cfg.HasPreviousOwner && !w.reported {
		p.RecordUncountedCrash(w.info)
	} else {
		p.uncommittedCrashes[w.info.ID] = w.info
		p.markRosterChanged(w.info.ID)
	}
	p.cfg.Log(Event{Name: "worker_crashed", Worker: w.info.ID, Detail: fmt.Sprintf(
		"unheard_ms=%d runs=%d unproven=%s", now.Sub(w.lastSeenAt()).Milliseconds(), len(w.runs), starts)})
	p.attributeCrash(w, starts, now)
	for _, r := range w.runs {
		if !r.survived && r.state != runStoring {
			r.task.crash.MarkUnresolved()
		}
	}
}

// RecordUncountedCrash records that a worker crashed under starts of a previous owner, and that possibly no
// owner has counted the crash against them.
func (p *Pool) RecordUncountedCrash(info WorkerInfo) {
	p.markRosterChanged(info.ID)
	if p.takeover.hasUncountedCrash {
		return // a single record is enough for a later owner
	}
	p.takeover.hasUncountedCrash = true
	p.uncountedCrash = info
}

// hasJobOfPreviousOwner reports whether there is an unfinished job that a previous owner may have started.
func (p *Pool) hasJobOfPreviousOwner() bool {
	for _, j := range p.jobs {
		if j.outcome == "" && !p.isUnknownToPreviousOwners(j) {
			return true
		}
	}
	return false
}

// hasLeftAsPlanned reports whether a worker had announced that it would leave, or still answered after it
// had removed its entry.
func (w *worker) hasLeftAsPlanned() bool {
	return w.leavesAt != 0 || w.entryRemovedAt != 0 && !w.entryReplaced && w.entryRemovedAt <= w.lastAnsweredPollSentAt
}

// lastSeenAt is when a worker last answered, or when this owner discovered it, whichever is later.
func (w *worker) lastSeenAt() clock.Time {
	return max(w.clockAt, w.discoveredAt)
}

// liveness summarizes when a worker last answered and since when it has not.
func (w *worker) liveness() crash.WorkerLiveness {
	return crash.WorkerLiveness{LastSeenAt: w.lastSeenAt(), FirstUnansweredAt: w.unansweredAt}
}

// suspectStarts lists the starts that may have crashed a worker. Starts that were stored before they were
// ordered are always listed: they go only to workers that are alive, and a crash left uncounted lets a task
// crash one worker too many.
func (w *worker) suspectStarts() crash.Starts {
	out := slices.Clone(w.unresolvedStarts)
	for _, r := range sortedRuns(w) {
		id := r.task.id()
		if r.survived || r.state == runStoring || w.unresolvedStarts.HasRun(id, r.number) {
			continue
		}
		if r.state != runActive && !r.storedBeforeStart && w.liveness().MayHaveCrashedBefore(r.startCall.OrderedAt) {
			continue
		}
		inCrashWindow := r.state == runActive && !r.adopted && crash.IsInCrashWindow(r.startedAtWorkerClock, w.clock)
		out = append(out, crash.Start{Task: id, Run: r.number, InCrashWindow: inCrashWindow})
	}
	return out
}

// newCrash returns the crash of a worker that the given starts may have caused.
func (w *worker) newCrash(starts crash.Starts) *crash.Crash {
	return crash.NewCrash(w.info.ID, w.info.Address, w.lastSeenAt(), starts)
}

// attributeCrash counts a crash against the tasks whose starts may be its cause.
func (p *Pool) attributeCrash(w *worker, starts crash.Starts, now clock.Time) {
	c := w.newCrash(starts)
	p.crashes.Add(c, func() []*crash.Crash { return p.coincidingSilentWorkers(w, c, now) }, now)
	for _, s := range starts {
		p.countCrash(s, c.RecordFor(s))
	}
}

// coincidingSilentWorkers returns, for each worker that went silent at about the time of a crash, the crash
// that it would be.
func (p *Pool) coincidingSilentWorkers(crashed *worker, c *crash.Crash, now clock.Time) []*crash.Crash {
	var out []*crash.Crash
	for _, w := range p.workers {
		last := w.lastSeenAt()
		if w.terminated || w.info.ID == crashed.info.ID || now.Sub(last) < answerTimeout || !p.crashes.MayCoincide(c, last) || w.isProbed() {
			continue
		}
		out = append(out, w.newCrash(w.suspectStarts()))
	}
	return out
}

// countCrash counts a crash against a task, and fails the task's job once the crashes show that the task is
// the cause.
func (p *Pool) countCrash(s crash.Start, c job.Crash) {
	t := p.task(s.Task)
	p.removeAttempt(t, s.Run)
	if t == nil || t.step.occurrence.job.outcome != "" || t.done || !t.crash.AddCrash(c) {
		return
	}
	j := t.step.occurrence.job
	j.suspected = true
	p.waitingSteps.invalidateRanks()
	p.markProgressChanged(t)
	p.cfg.Log(Event{Name: "crash_counted", Task: s.Task, Run: s.Run, Worker: WorkerID(c.Worker), Detail: fmt.Sprintf(
		"in_a_row=%d sure=%d alone=%t", len(t.crash.Crashes()), t.crash.ConclusiveCrashes(), c.Conclusive)})
	if t.crash.ShouldGiveUp(p.crashes.ConclusiveCrashesNeeded(j.job.ID, len(p.workers), p.now)) {
		p.cfg.Log(Event{Name: "job_given_up", Task: s.Task, Job: j.job.ID, Run: s.Run, Detail: t.crash.String()})
		p.finishJob(j, job.Failed)
	}
}

// crashesAllowStart reports whether the crashes counted against a task allow it to start. A task whose job
// would be given up at the next crash waits until workers no longer crash for other causes.
func (p *Pool) crashesAllowStart(t *task, now clock.Time) bool {
	return !t.crash.IsLastAttempt() || p.crashes.IsQuietFor(t.step.occurrence.job.job.ID, now)
}

// removeCrashesOf takes back the crashes counted for a worker that had only been unreachable for a long
// time.
func (p *Pool) removeCrashesOf(id WorkerID) {
	p.crashes.RemoveCrashesOf(id)
	for _, j := range p.jobs {
		for s := range j.steps() {
			for _, t := range s.tasks {
				if t.crash.RemoveCrashesOf(id) {
					p.markProgressChanged(t)
				}
			}
		}
	}
}

// checkSurvival processes a worker's report of a run, made at workerClock on the worker's own clock: the run
// has survived its start once the worker has been up for long enough after it.
func (p *Pool) checkSurvival(r *run, workerClock int64) {
	if r.survived || workerClock == 0 {
		return
	}
	if r.startedAtWorkerClock == 0 {
		r.startedAtWorkerClock = workerClock
	}
	if crash.HasSurvived(r.startedAtWorkerClock, workerClock) {
		p.recordSurvival(r)
	}
}

// recordSurvival records that a worker has survived the start of a run.
func (p *Pool) recordSurvival(r *run) {
	r.survived = true
	s := r.task.step
	if s.spec.Gang && !s.hasAllSurvived() {
		p.removeAttempt(r.task, r.number)
		return
	}
	s.hasSurvivedStart = true
	tasks := r.task.completionGroup()
	for _, t := range tasks {
		if t.crash.RecordSurvival(r.number) {
			p.markProgressChanged(t)
		}
	}
}

// hasAllSurvived reports whether all members of a gang run and have survived their starts.
func (s *step) hasAllSurvived() bool {
	for i := range s.tasks {
		if r := s.tasks[i].current; r == nil || !r.survived {
			return false
		}
	}
	return true
}

// markProgressChanged schedules the progress of a task to be stored, unless its job has ended.
func (p *Pool) markProgressChanged(t *task) {
	if j := t.step.occurrence.job; j.outcome == "" {
		p.dirty[j] = struct{}{}
		j.storedProgress.markChanged(t.number())
	}
}
