package dispatch

import (
	"cmp"
	"slices"
	"strconv"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// HoldAnswered takes in a worker's answer to a hold. It says whether a plan may find more to do than
// before: most answers only show that everything goes on.
func (p *Pool) HoldAnswered(h Hold, a Answer, report Report, now clock.Time) (news bool) {
	p.now = now
	w, ok := p.workers[h.Worker]
	if !ok || w.gone {
		return false
	}
	w.askOver(now)
	p.news = !w.usable(now)
	p.takeHoldAnswer(w, h, a, report, now)
	return p.news
}

func (p *Pool) takeHoldAnswer(w *worker, h Hold, a Answer, report Report, now clock.Time) {
	switch a.Verdict {
	case VerdictDone:
	case VerdictFenced:
		p.checkFence(w, h.Token)
		return
	case VerdictOtherIncarnation:
		p.workerGone(w, "another incarnation answers", now)
		return
	default:
		return
	}
	if !p.heardOf(w, h, report.Born, now) {
		return
	}
	overtaken := a.Clock < w.clock
	w.heard(a.Clock, now)
	w.lastAnswer = now
	w.unwatched = false
	w.provenAt = max(w.provenAt, h.SentAt)
	w.fenced = true
	if !p.loaded {
		return
	}
	if !w.reported && (p.cfg.Takeover || w.follows) && len(report.Active) > 0 {
		w.inherited = now.Add(lapseTime(p.longestLease(w))) // it has seen our token, so no lease is longer
	}
	// Only lists that are whole tell what a worker does not run.
	whole := !overtaken && !report.More
	w.reported, w.partial = w.reported || whole, !whole
	p.takeFinished(w, report.Finished, now)
	if !overtaken {
		p.takeActive(w, a.Clock, report, now)
	}
	if whole {
		p.takeAbsent(w, h, report, now)
		p.settleDoubts(w)
	}
}

// checkFence tells a token that we raised ourselves from one of a later owner.
func (p *Pool) checkFence(w *worker, sent int64) {
	if sent >= w.line.token {
		p.fenced = true
	}
}

// takeFinished takes in the ends that a report lists and that were not read before.
func (p *Pool) takeFinished(w *worker, finished []Finished, now clock.Time) {
	slices.SortFunc(finished, func(a, b Finished) int { return cmp.Compare(a.Number, b.Number) })
	for _, f := range finished {
		if f.Number <= w.read {
			continue
		}
		w.read = f.Number
		if p.mayBecomeKnown(f.Task.Job) {
			// Those behind it are read: what a report no longer lists as active would be held for lost without its end.
			p.leaveUnread(w, f)
			continue
		}
		p.takeEnd(w, f, now)
	}
}

// takeEnd takes in one end.
func (p *Pool) takeEnd(w *worker, f Finished, now clock.Time) {
	r, known := w.runs[runKey{f.Task, f.Run}]
	if known && r.call.Repeated {
		p.mayComeLate(r, w.line.name)
	}
	if t := p.task(f.Task); t != nil {
		t.carriedOut(f.Run)
	}
	p.holdNote(w, f, now)
	if known {
		p.runEnded(r, f.How, f.Checkpoint, now)
		return
	}
	p.unknownRunEnded(w, f)
}

// unknownRunEnded takes in the end of a run of a former owner. Ends of several workers come
// in any order, so a failure counts whatever else is known of the task.
func (p *Pool) unknownRunEnded(w *worker, f Finished) {
	t := p.task(f.Task)
	if t == nil || t.done || t.step.time.job.outcome != "" {
		return
	}
	t.lastRun = max(t.lastRun, f.Run)
	t.late.CarriedOutLate(w.number, w.line.name, f.Run)
	if f.How == EndFailed && !p.countFailure(t, f.Run) {
		return
	}
	if t.current != nil && f.How == EndDone && !t.step.spec.Gang && !t.step.spec.LongRunning {
		p.stopRun(t.current) // started elsewhere when this one seemed lost
		p.taskDone(t)
		p.updateReady(t.step.time)
		return
	}
	if t.current != nil || f.Run <= t.lastEnded && f.How != EndDone {
		return
	}
	p.taskEnded(&run{task: t, number: f.Run, worker: w}, f.How, f.Checkpoint)
}

// takeActive takes in the runs that a report lists.
func (p *Pool) takeActive(w *worker, workerClock int64, report Report, now clock.Time) {
	if report.Strange != w.strange {
		w.strange = report.Strange
		p.cfg.Log(Event{Name: "strange_runs", Worker: w.info.ID, Detail: strconv.Itoa(w.strange)})
	}
	w.foreign = w.strange
	w.unknownRuns = nil
	w.clearForeign()
	for _, row := range report.Active {
		r, ok := w.runs[runKey{row.Task, row.Run}]
		if !ok {
			r = p.adopt(w, row, now)
		}
		if r != nil {
			p.prove(r, workerClock)
			p.observe(r, row, now)
		}
	}
}

// takeAbsent takes in which of the runs that we count a report does not list.
func (p *Pool) takeAbsent(w *worker, h Hold, report Report, now clock.Time) {
	listed := make(map[runKey]bool, len(report.Active))
	for _, row := range report.Active {
		listed[runKey{row.Task, row.Run}] = true
	}
	for _, r := range sortedRuns(w) {
		if !listed[runKey{r.task.id(), r.number}] {
			p.notListed(r, h, now)
		}
	}
}

// observe takes in what a report says of a run that goes on.
func (p *Pool) observe(r *run, row Active, now clock.Time) {
	if r.state != runActive {
		p.confirm(r, now)
	}
	r.missing = 0
	r.call.SettleRepeated(now)
	r.load = row.Load
	r.observedAt = now
	r.observed = true
	r.progress.Observe(row.Percent, now)
	if row.Checkpoint != "" {
		r.task.checkpoint = row.Checkpoint
	}
}

// confirm takes in that a run has begun.
func (p *Pool) confirm(r *run, now clock.Time) {
	r.task.carriedOut(r.number)
	r.state = runActive
	r.confirmedAt = now
	r.progress.Begin(now)
	j := r.task.step.time.job
	j.began = true
	s := r.task.step
	needless := r.task.done && !s.spec.Gang
	if j.outcome != "" && j.outcome != job.Completed || s.gang.broken && !r.task.done || needless {
		p.stopRun(r)
	}
}

// notListed decides what it means that a report does not list a run that we count.
func (p *Pool) notListed(r *run, h Hold, now clock.Time) {
	const sure = 2
	switch {
	case r.state == runUnsettled && h.Token > r.token:
		p.cfg.Log(Event{Name: "start_void", Task: r.task.id(), Run: r.number, Worker: r.worker.info.ID})
		p.mayComeLate(r, r.worker.line.name)
		p.rejected(r, 0, now)
	case r.state == runActive && r.confirmedAt < h.SentAt:
		if r.missing++; r.missing >= sure {
			p.dropAttempt(r.task, r.number) // the worker lives
			p.mayComeLate(r, r.worker.line.name)
			p.runEnded(r, EndLost, "", now)
		}
	}
}

// adopt takes in a run that a report lists and that we did not start, or gave up. It
// returns nil when nothing is known of the task.
func (p *Pool) adopt(w *worker, row Active, now clock.Time) *run {
	t := p.task(row.Task)
	if t == nil {
		w.foreign++
		p.countForeign(w, row.Task.Job)
		if p.mayBecomeKnown(row.Task.Job) {
			p.keepUnknownRun(w, row)
		} else {
			p.news = true
			p.stops = append(p.stops, &run{task: unknownTask(row.Task), number: row.Run, worker: w, state: runActive})
		}
		return nil
	}
	r := &run{task: t, number: row.Run, worker: w, token: w.line.token, state: runActive, confirmedAt: now, adopted: true}
	r.progress.Begin(now)
	p.count(r)
	t.carriedOut(row.Run)
	t.late.CarriedOutLate(w.number, w.line.name, row.Run)
	t.lastRun = max(t.lastRun, row.Run)
	j := t.step.time.job
	j.began = true
	p.cfg.Log(Event{Name: "run_adopted", Task: row.Task, Run: row.Run, Worker: w.info.ID})
	if t.done || t.current != nil || j.outcome != "" {
		p.stopRun(r)
		return r
	}
	if row.Run <= t.lastEnded {
		t.setCurrent(r) // the task starts again when it has stopped
		p.stopWithGang(r)
		return r
	}
	t.setCurrent(r)
	if t.step.spec.Gang {
		t.step.gang.number = max(t.step.gang.number, row.Run)
	}
	p.updateReady(t.step.time)
	return r
}

// Running says that a job is known and has not ended.
func (p *Pool) Running(id job.ID) bool {
	j, ok := p.jobs[id]
	return ok && j.outcome == ""
}

// knows says that a job is known, be it as ended.
func (p *Pool) knows(id job.ID) bool {
	return p.jobs[id] != nil || p.outcomes.Knows(id)
}

// unknownTask stands for a task of which nothing but its name is known.
func unknownTask(id job.TaskID) *task {
	j := &jobState{job: job.Job{ID: id.Job, Steps: make([]job.Step, id.Step+1)}, outcome: job.Cancelled}
	t := &timeState{job: j, index: id.Time}
	s := &step{time: t, index: id.Step, spec: &j.job.Steps[id.Step]}
	return &task{step: s, index: id.Index, done: true}
}

func compareTasks(a, b *task) int {
	x, y := a.id(), b.id()
	return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Time, y.Time), cmp.Compare(x.Step, y.Step), cmp.Compare(x.Index, y.Index))
}
