package dispatch

import (
	"cmp"
	"slices"
	"strconv"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// HandlePollAnswer applies a worker's answer to a poll. It reports whether a plan may find more to do
// than before; most answers only show that the runs go on.
func (p *Pool) HandlePollAnswer(poll PollOrder, a Answer, report Report, now clock.Time) (mayPlanMore bool) {
	p.now = now
	w, ok := p.workers[poll.Worker]
	if !ok || w.terminated {
		return false
	}
	w.recordPollEnded(now)
	p.needsPlan = !w.isUsable(now)
	p.applyPollAnswer(w, poll, a, report, now)
	return p.needsPlan
}

// applyPollAnswer applies the verdict of an answer to a poll and, if the incarnation that was polled
// has answered, its report.
func (p *Pool) applyPollAnswer(w *worker, poll PollOrder, a Answer, report Report, now clock.Time) {
	switch a.Verdict {
	case VerdictDone:
	case VerdictFenced:
		p.checkFence(w, poll.Token)
		return
	case VerdictWrongWorker:
		p.terminateWorker(w, "another incarnation answers", now)
		return
	default:
		return
	}
	if !p.recordAnsweringIncarnation(w, poll, report.IncarnationStart, a.Clock, now) {
		return
	}
	outdated := a.Clock < w.clock
	w.updateClock(a.Clock, now)
	w.lastAnsweredAt = now
	w.pollGap = false
	w.lastAnsweredPollSentAt = max(w.lastAnsweredPollSentAt, poll.SentAt)
	w.fenced = true
	if !p.jobsLoaded {
		return
	}
	if !w.reported && p.mayHaveOtherLease(w) {
		// The worker has seen this owner's token, so no lease lasts longer.
		w.inheritedLeasesUntil = now.Add(leaseExpiryTime(p.maxLeaseOn(w)))
	}
	// Only a complete report shows which runs a worker does not have.
	complete := !outdated && !report.Truncated
	w.reported, w.reportIncomplete = w.reported || complete, !complete
	p.applyFinishedRuns(w, report.Finished, now)
	if !outdated {
		p.applyActiveRuns(w, a.Clock, report, now)
	}
	if complete {
		p.handleUnlistedRuns(w, poll, report, now)
		p.resolveStarts(w)
	}
}

// mayHaveOtherLease reports whether a worker that reports for the first time may have a lease that outlasts those
// which this owner gives: one of a previous owner, or one by the clock of another incarnation. A lease also covers
// runs that begin later, so it counts even if nothing runs.
func (p *Pool) mayHaveOtherLease(w *worker) bool {
	return p.cfg.HasPreviousOwner || w.info.ID.StartedAt() != 0
}

// checkFence marks this owner as fenced if a worker refused its current token. A lower token may have
// been refused because this owner raised the token itself.
func (p *Pool) checkFence(w *worker, sent int64) {
	if sent >= w.history.token {
		p.fenced = true
	}
}

// applyFinishedRuns applies the run ends in a report that have not been read before.
func (p *Pool) applyFinishedRuns(w *worker, finished []FinishedRun, now clock.Time) {
	slices.SortFunc(finished, func(a, b FinishedRun) int { return cmp.Compare(a.Number, b.Number) })
	for _, f := range finished {
		if f.Number <= w.lastReadEnd {
			continue
		}
		w.lastReadEnd = f.Number
		if p.isJobUnresolved(f.Task.Job) {
			// The ends after it are still applied: without its end, a run that is no longer listed as
			// active would count as lost.
			p.deferEnd(w, f)
			continue
		}
		p.applyFinishedRun(w, f, now)
	}
}

// applyFinishedRun applies one run end.
func (p *Pool) applyFinishedRun(w *worker, f FinishedRun, now clock.Time) {
	r, known := w.runs[runKey{f.Task, f.Run}]
	if known && r.startCall.ReusesNumber {
		p.addLateStart(r, w.history.name)
	}
	if t := p.task(f.Task); t != nil {
		t.removeExecutedStart(f.Run)
	}
	p.delayAck(w, f, now)
	if known {
		p.handleRunEnd(r, f.Reason, f.Checkpoint, now)
		return
	}
	p.handleUnknownRunEnd(w, f)
}

// handleUnknownRunEnd applies the end of a run that this owner does not count, for example one that a
// previous owner started. Ends from several workers arrive in any order, so a failure counts even if later
// runs of the task are known.
func (p *Pool) handleUnknownRunEnd(w *worker, f FinishedRun) {
	t := p.task(f.Task)
	if t == nil || t.done || t.step.occurrence.job.outcome != "" {
		return
	}
	t.lastRunNumber = max(t.lastRunNumber, f.Run)
	t.lateStarts.RemoveIfExecutedLate(w.incarnationSeq, w.history.name, f.Run)
	if f.Reason == EndFailed && !p.countFailure(t, f.Run) {
		return
	}
	if t.current != nil && f.Reason == EndDone && !t.step.spec.Gang && !t.step.spec.LongRunning {
		p.stopRun(t.current) // a second run, started because this one seemed lost
		p.completeTask(t)
		p.updateWaitingSteps(t.step.occurrence)
		return
	}
	if t.current != nil || f.Run <= t.lastEndedRun && f.Reason != EndDone {
		return
	}
	p.handleTaskEnd(&run{task: t, number: f.Run, worker: w}, f.Reason, f.Checkpoint)
}

// applyActiveRuns applies the active runs in a report.
func (p *Pool) applyActiveRuns(w *worker, workerClock int64, report Report, now clock.Time) {
	if report.UnparsableRuns != w.unparsableRuns {
		w.unparsableRuns = report.UnparsableRuns
		p.cfg.Log(Event{Name: "strange_runs", Worker: w.info.ID, Detail: strconv.Itoa(w.unparsableRuns)})
	}
	w.orphanRuns = w.unparsableRuns
	w.unknownJobRuns = nil
	w.clearOrphans()
	for _, row := range report.Active {
		r, ok := w.runs[runKey{row.Task, row.Run}]
		if !ok {
			r = p.adoptRun(w, row, now)
		}
		if r != nil {
			p.checkSurvival(r, workerClock)
			p.updateRun(r, row, now)
		}
	}
}

// handleUnlistedRuns handles the runs that this owner counts on a worker and that its report does not
// list.
func (p *Pool) handleUnlistedRuns(w *worker, poll PollOrder, report Report, now clock.Time) {
	listed := make(map[runKey]bool, len(report.Active))
	for _, row := range report.Active {
		listed[runKey{row.Task, row.Run}] = true
	}
	for _, r := range sortedRuns(w) {
		if !listed[runKey{r.task.id(), r.number}] {
			p.handleUnlistedRun(r, poll, now)
		}
	}
}

// updateRun applies what a report says about an active run.
func (p *Pool) updateRun(r *run, row ActiveRun, now clock.Time) {
	if r.state != runActive {
		p.markRunActive(r, now)
	}
	r.missedReports = 0
	r.startCall.ExpireNumberReuse(now)
	r.load = row.Load
	r.reportedAt = now
	r.reported = true
	r.progress.Update(row.Percent, now)
	if row.Checkpoint != "" {
		r.task.checkpoint = row.Checkpoint
	}
}

// markRunActive records that a run has begun. It stops the run if it is no longer needed.
func (p *Pool) markRunActive(r *run, now clock.Time) {
	r.task.removeExecutedStart(r.number)
	r.state = runActive
	r.runningSince = now
	r.progress.Start(now)
	j := r.task.step.occurrence.job
	j.began = true
	s := r.task.step
	needless := r.task.done && !s.spec.Gang
	if j.outcome != "" && j.outcome != job.Completed || s.gang.broken && !r.task.done || needless {
		p.stopRun(r)
	}
}

// handleUnlistedRun decides what it means that a report does not list a run that this owner counts. An
// unconfirmed start was not carried out if the worker has seen a higher token than the start's. An
// active run that is missing from two reports is lost.
func (p *Pool) handleUnlistedRun(r *run, poll PollOrder, now clock.Time) {
	const lostAfterReports = 2
	switch {
	case r.state == runUnconfirmed && poll.Token > r.token:
		p.cfg.Log(Event{Name: "start_void", Task: r.task.id(), Run: r.number, Worker: r.worker.info.ID})
		p.addLateStart(r, r.worker.history.name)
		p.cancelStart(r, 0, now)
	case r.state == runActive && r.runningSince < poll.SentAt:
		if r.missedReports++; r.missedReports >= lostAfterReports {
			p.removeAttempt(r.task, r.number) // the worker did not crash
			p.addLateStart(r, r.worker.history.name)
			p.handleRunEnd(r, EndLost, "", now)
		}
	}
}

// adoptRun adds a run that a report lists and that this owner does not count: it did not start the run,
// or has removed it from its counts. It returns nil when the task is not known.
func (p *Pool) adoptRun(w *worker, row ActiveRun, now clock.Time) *run {
	t := p.task(row.Task)
	if t == nil {
		w.orphanRuns++
		p.addOrphan(w, row.Task.Job)
		if p.isJobUnresolved(row.Task.Job) {
			p.keepUnknownJobRun(w, row)
		} else {
			p.needsPlan = true
			p.pendingStops = append(p.pendingStops, &run{task: placeholderTask(row.Task), number: row.Run, worker: w, state: runActive})
		}
		return nil
	}
	r := &run{task: t, number: row.Run, worker: w, token: w.history.token, state: runActive, runningSince: now, adopted: true}
	r.progress.Start(now)
	p.addRun(r)
	t.removeExecutedStart(row.Run)
	t.lateStarts.RemoveIfExecutedLate(w.incarnationSeq, w.history.name, row.Run)
	t.lastRunNumber = max(t.lastRunNumber, row.Run)
	j := t.step.occurrence.job
	j.began = true
	p.cfg.Log(Event{Name: "run_adopted", Task: row.Task, Run: row.Run, Worker: w.info.ID})
	if t.done || t.current != nil || j.outcome != "" {
		p.stopRun(r)
		return r
	}
	if row.Run <= t.lastEndedRun {
		t.setCurrent(r) // the task starts again once this run has stopped
		p.stopRunOrGang(r)
		return r
	}
	t.setCurrent(r)
	p.recordSeenActive(r)
	if t.step.spec.Gang {
		t.step.gang.runNumber = max(t.step.gang.runNumber, row.Run)
	}
	p.updateWaitingSteps(t.step.occurrence)
	return r
}

// IsJobActive reports whether a job is known and has not ended.
func (p *Pool) IsJobActive(id job.ID) bool {
	j, ok := p.jobs[id]
	return ok && j.outcome == ""
}

// isJobKnown reports whether a job is known, including those that have ended.
func (p *Pool) isJobKnown(id job.ID) bool {
	return p.jobs[id] != nil || p.outcomes.Contains(id)
}

// placeholderTask returns a task for an ID of which nothing else is known.
func placeholderTask(id job.TaskID) *task {
	j := &jobState{job: job.Job{ID: id.Job}, outcome: job.Cancelled}
	occ := &occurrence{job: j, index: id.Time}
	s := &step{occurrence: occ, index: id.Step, spec: &job.Step{}}
	return &task{step: s, index: id.Index, done: true}
}

// compareTasks orders tasks by their IDs.
func compareTasks(a, b *task) int {
	x, y := a.id(), b.id()
	return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Time, y.Time), cmp.Compare(x.Step, y.Step), cmp.Compare(x.Index, y.Index))
}
