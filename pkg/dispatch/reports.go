package dispatch

import (
	"cmp"
	"slices"
	"strconv"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// HandlePollAnswer takes in a worker's answer to a hold. It says whether a plan may find more to do than
// before: most answers only show that everything goes on.
func (p *Pool) HandlePollAnswer(h PollOrder, a Answer, report Report, now clock.Time) (news bool) {
	p.now = now
	w, ok := p.workers[h.Worker]
	if !ok || w.terminated {
		return false
	}
	w.recordPollEnded(now)
	p.needsPlan = !w.isUsable(now)
	p.applyPollAnswer(w, h, a, report, now)
	return p.needsPlan
}

func (p *Pool) applyPollAnswer(w *worker, h PollOrder, a Answer, report Report, now clock.Time) {
	switch a.Verdict {
	case VerdictDone:
	case VerdictFenced:
		p.checkFence(w, h.Token)
		return
	case VerdictWrongWorker:
		p.terminateWorker(w, "another incarnation answers", now)
		return
	default:
		return
	}
	if !p.recordAnsweringIncarnation(w, h, report.IncarnationStart, now) {
		return
	}
	overtaken := a.Clock < w.clock
	w.updateClock(a.Clock, now)
	w.lastAnsweredAt = now
	w.pollGap = false
	w.lastAnsweredPollSentAt = max(w.lastAnsweredPollSentAt, h.SentAt)
	w.fenced = true
	if !p.jobsLoaded {
		return
	}
	if !w.reported && (p.cfg.HasPreviousOwner || w.hasPredecessor) && len(report.Active) > 0 {
		w.inheritedLeasesUntil = now.Add(leaseExpiryTime(p.maxLeaseOn(w))) // it has seen our token, so no lease is longer
	}
	// Only lists that are whole tell what a worker does not run.
	whole := !overtaken && !report.Truncated
	w.reported, w.reportIncomplete = w.reported || whole, !whole
	p.applyFinishedRuns(w, report.Finished, now)
	if !overtaken {
		p.applyActiveRuns(w, a.Clock, report, now)
	}
	if whole {
		p.handleUnlistedRuns(w, h, report, now)
		p.resolveStarts(w)
	}
}

// checkFence tells a token that we raised ourselves from one of a later owner.
func (p *Pool) checkFence(w *worker, sent int64) {
	if sent >= w.history.token {
		p.fenced = true
	}
}

// applyFinishedRuns takes in the ends that a report lists and that were not read before.
func (p *Pool) applyFinishedRuns(w *worker, finished []FinishedRun, now clock.Time) {
	slices.SortFunc(finished, func(a, b FinishedRun) int { return cmp.Compare(a.Number, b.Number) })
	for _, f := range finished {
		if f.Number <= w.lastReadEnd {
			continue
		}
		w.lastReadEnd = f.Number
		if p.isJobUnresolved(f.Task.Job) {
			// Those behind it are read: what a report no longer lists as active would be held for lost without its end.
			p.deferEnd(w, f)
			continue
		}
		p.applyFinishedRun(w, f, now)
	}
}

// applyFinishedRun takes in one end.
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

// handleUnknownRunEnd takes in the end of a run of a former owner. Ends of several workers come
// in any order, so a failure counts whatever else is known of the task.
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
		p.stopRun(t.current) // started elsewhere when this one seemed lost
		p.completeTask(t)
		p.updateWaitingSteps(t.step.occurrence)
		return
	}
	if t.current != nil || f.Run <= t.lastEndedRun && f.Reason != EndDone {
		return
	}
	p.handleTaskEnd(&run{task: t, number: f.Run, worker: w}, f.Reason, f.Checkpoint)
}

// applyActiveRuns takes in the runs that a report lists.
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

// handleUnlistedRuns takes in which of the runs that we count a report does not list.
func (p *Pool) handleUnlistedRuns(w *worker, h PollOrder, report Report, now clock.Time) {
	listed := make(map[runKey]bool, len(report.Active))
	for _, row := range report.Active {
		listed[runKey{row.Task, row.Run}] = true
	}
	for _, r := range sortedRuns(w) {
		if !listed[runKey{r.task.id(), r.number}] {
			p.handleUnlistedRun(r, h, now)
		}
	}
}

// updateRun takes in what a report says of a run that goes on.
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

// markRunActive takes in that a run has begun.
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

// handleUnlistedRun decides what it means that a report does not list a run that we count.
func (p *Pool) handleUnlistedRun(r *run, h PollOrder, now clock.Time) {
	const sure = 2
	switch {
	case r.state == runUnconfirmed && h.Token > r.token:
		p.cfg.Log(Event{Name: "start_void", Task: r.task.id(), Run: r.number, Worker: r.worker.info.ID})
		p.addLateStart(r, r.worker.history.name)
		p.cancelStart(r, 0, now)
	case r.state == runActive && r.runningSince < h.SentAt:
		if r.missedReports++; r.missedReports >= sure {
			p.removeAttempt(r.task, r.number) // the worker lives
			p.addLateStart(r, r.worker.history.name)
			p.handleRunEnd(r, EndLost, "", now)
		}
	}
}

// adoptRun takes in a run that a report lists and that we did not start, or gave up. It
// returns nil when nothing is known of the task.
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
		t.setCurrent(r) // the task starts again when it has stopped
		p.stopRunOrGang(r)
		return r
	}
	t.setCurrent(r)
	if t.step.spec.Gang {
		t.step.gang.runNumber = max(t.step.gang.runNumber, row.Run)
	}
	p.updateWaitingSteps(t.step.occurrence)
	return r
}

// IsJobActive says that a job is known and has not ended.
func (p *Pool) IsJobActive(id job.ID) bool {
	j, ok := p.jobs[id]
	return ok && j.outcome == ""
}

// isJobKnown says that a job is known, be it as ended.
func (p *Pool) isJobKnown(id job.ID) bool {
	return p.jobs[id] != nil || p.outcomes.Contains(id)
}

// placeholderTask stands for a task of which nothing but its name is known.
func placeholderTask(id job.TaskID) *task {
	j := &jobState{job: job.Job{ID: id.Job, Steps: make([]job.Step, id.Step+1)}, outcome: job.Cancelled}
	t := &occurrence{job: j, index: id.Time}
	s := &step{occurrence: t, index: id.Step, spec: &j.job.Steps[id.Step]}
	return &task{step: s, index: id.Index, done: true}
}

func compareTasks(a, b *task) int {
	x, y := a.id(), b.id()
	return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Time, y.Time), cmp.Compare(x.Step, y.Step), cmp.Compare(x.Index, y.Index))
}
