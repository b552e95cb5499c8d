package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/latestart"
)

// Starts that the next life of their worker may carry out are kept in package latestart. Here stands which starts are of that kind, and what the store is told.

// latestOrder is how long after it was sent an order without an answer may be carried out.
const latestOrder = latestart.Lasts

// mayComeLate takes in that a start does nothing any more on the life that it was sent to. Its task is bound to a worker by name, or to none.
// One that was answered was carried out, by whichever life, and so does not come again. One that was only listed was, too, unless it is a repeated one.
func (p *Pool) mayComeLate(r *run, boundTo string) {
	if !r.mayBeLate() {
		return
	}
	sentBy, until := r.call.SentBy(p.now), r.call.LateUntil(p.now)
	r.task.late.Add(latestart.Start{Number: r.number, Life: r.worker.number, Worker: boundTo, Until: until})
	r.worker.line.mayRunLateUntil(until)
	p.storeVoid(r, sentBy)
}

// numbers are those of the runs of a task, or of its gang.
func (t *task) numbers() latestart.Numbers {
	n := latestart.Numbers{Given: t.lastRun}
	if t.step.spec.Gang {
		n.Given = max(n.Given, t.step.gang.number)
	}
	tasks := t.doneTogether()
	for i := range tasks {
		n.Given, n.Ended = max(n.Given, tasks[i].lastRun), max(n.Ended, tasks[i].lastEnded)
	}
	return n
}

// numberOn is the number of a task's next run, if that is on a worker.
func (p *Pool) numberOn(t *task, w *worker) int {
	if t.late.Any() && t.late.RepeatsOn(w.line.name, t.numbers()) {
		return t.lastRun
	}
	return p.nextRun(t.step.time.job, t.lastRun)
}

// nextGangRun is the number of a gang's next run.
func (p *Pool) nextGangRun(s *step) int {
	n := s.tasks[0].numbers()
	for i := range s.tasks {
		if s.tasks[i].late.Repeats(n) {
			return n.Given
		}
	}
	return p.nextRun(s.time.job, n.Given)
}

// outwaitsLateStart says that a task does not start before a late start is over.
func (t *task) outwaitsLateStart() bool {
	return t.late.Any() && t.late.Outwaits(t.numbers())
}

// logDelays tells, once for each late start, that a task that waits, or one of its gang, does not start before that is over.
func (p *Pool) logDelays(t *task) {
	if t.step.time.job.outcome != "" {
		return
	}
	tasks := t.doneTogether()
	for i := range tasks {
		x := &tasks[i]
		if !x.waiting() || !x.late.Any() {
			continue
		}
		for _, l := range x.late.NewlyOutwaited(x.numbers()) {
			p.cfg.Log(Event{Name: "start_delayed", Task: x.id(), Run: l.Number, Detail: "late_start_for=" + l.Until.Sub(p.now).String()})
		}
	}
}

// outwaited is until when a step's waiting tasks all wait for late starts to be over, at the earliest; 0 when one of them doesn't.
func (s *step) outwaited() clock.Time {
	if !s.heedsLateStarts() {
		return 0
	}
	var until clock.Time
	for i := range s.tasks {
		t := &s.tasks[i]
		if !t.waiting() {
			continue
		}
		if !t.outwaitsLateStart() {
			if s.spec.Gang {
				continue
			}
			return 0
		}
		until = max(until, t.late.OutwaitedUntil(t.numbers()))
	}
	return until
}

// startOver takes in how the call of a run's start ended.
func (p *Pool) startOver(r *run, err error, now clock.Time) {
	unanswered := err != nil && !isNotSent(err)
	r.call.Over(unanswered, now)
	if unanswered {
		p.storeUnanswered(r, now)
	}
}

// mayBeLate says that the next life of its worker may carry out the start of a run late, beside or after another one.
func (r *run) mayBeLate() bool {
	return r.worker.info.ID.Born() != 0 && r.mayGoOver() && (r.confirmedAt == 0 || r.call.Repeated) && r.task.step.heedsLateStarts()
}

// heedsLateStarts says that late starts of a step's tasks do harm: they need no ticket, and the tasks may not run twice.
func (s *step) heedsLateStarts() bool {
	return s.time.job.queue.Advice == nil && !s.spec.Speculative
}

// dropLateStarts forgets the late starts of a task that are over, and lets a task that lasts go elsewhere when its worker can't be given it.
func (p *Pool) dropLateStarts(t *task, now clock.Time) {
	if !t.late.Any() {
		return
	}
	heardAt := func(name string) clock.Time { return p.lineageOf(name).provenAt() }
	t.late.DropOver(latestart.Signs{HeardAt: heardAt, Lapse: lapseTime(p.cfg.LongestLease), Confirmed: p.confirmedSince}, now)
	if t.step.spec.LongRunning {
		t.late.Unbind(func(name string) bool { return p.lineageOf(name).usable(now) })
	}
}

// mayRunLateUntil takes in that a start may be carried out by the next life until a time.
func (l *lineage) mayRunLateUntil(until clock.Time) {
	l.lateUntil = max(l.lateUntil, until)
}

// mayRunOn says whether a task may be started on a worker as far as its late starts are concerned.
func (t *task) mayRunOn(w *worker) bool {
	return !t.late.Any() || t.late.MayRunOn(w.line.name)
}

// hasBound says that tasks of a step are bound to workers.
func (s *step) hasBound() bool {
	for i := range s.tasks {
		if s.tasks[i].late.Bound() {
			return true
		}
	}
	return false
}

// mayNoteFrom is from when on ends of a task may be noted; 0 for any time. Of a job that is forgotten, or that a former owner has ended, the tasks are not known.
func (p *Pool) mayNoteFrom(id job.TaskID) clock.Time {
	t := p.task(id)
	if t == nil {
		ended, _ := p.outcomes.Of(id.Job)
		return ended.LateUntil
	}
	var from clock.Time
	tasks := t.doneTogether()
	for i := range tasks {
		from = max(from, tasks[i].late.Until())
	}
	return from
}

// doneTogether lists the tasks that are done with a task: all of its gang, else itself.
func (t *task) doneTogether() []task {
	if t.step.spec.Gang {
		return t.step.tasks
	}
	return t.step.tasks[t.index : t.index+1]
}

// lateUntil is until when late starts of a job's tasks may be carried out; 0 without any.
func (j *jobState) lateUntil() clock.Time {
	var until clock.Time
	for s := range j.steps() {
		for i := range s.tasks {
			until = max(until, s.tasks[i].late.Until())
		}
	}
	return until
}

// holdNote keeps an end from being noted while a late start of its task, or of its gang, may be carried out.
func (p *Pool) holdNote(w *worker, f Finished, now clock.Time) {
	if f.How != EndDone && f.How != EndFailed {
		return
	}
	if from := max(p.mayNoteFrom(f.Task), p.unsettledUntil(f, now)); now < from {
		w.notes.Hold(f.Number, from)
		p.cfg.Log(Event{Name: "note_held", Task: f.Task, Run: f.Run, Worker: w.info.ID, Detail: from.Sub(now).String()})
	}
}

// unsettledUntil is until when another start of an ended run's task, or of its gang, may be carried out late that is not known to be void; 0 without any.
func (p *Pool) unsettledUntil(f Finished, now clock.Time) clock.Time {
	t := p.task(f.Task)
	if t == nil {
		return 0
	}
	var until clock.Time
	tasks := t.doneTogether()
	for i := range tasks {
		if r := tasks[i].current; r != nil && r.number != f.Run && r.mayBeLate() {
			until = max(until, r.call.LateUntil(now))
		}
	}
	return until
}

// fillBound gives each member of a gang a worker where some are bound to theirs; nil when there is no room for all.
func fillBound(s *step, workers []*worker) []*worker {
	names, room := make([]string, len(workers)), make([]int, len(workers))
	for i, w := range workers {
		names[i], room[i] = w.line.name, fits(s, w)
	}
	members := make([]*latestart.Task, len(s.tasks))
	for i := range s.tasks {
		members[i] = &s.tasks[i].late
	}
	var chosen []*worker
	for _, n := range latestart.AssignMembers(members, names, room) {
		chosen = append(chosen, workers[n])
	}
	return chosen
}

// storeUnanswered has the store be told of a start without an answer.
func (p *Pool) storeUnanswered(r *run, sentBy clock.Time) {
	if r.call.Told || !r.mayBeLate() {
		return
	}
	r.call.Told = true
	at := p.cfg.Wall().Add(-p.now.Sub(sentBy))
	r.task.late.Tell(job.Unanswered{Run: r.number, Worker: string(r.worker.info.ID), At: at, Void: r.call.Repeated})
	p.storeProgress(r.task)
}

// storeVoid has the store be told of a start that does nothing any more on the life that it was sent to.
func (p *Pool) storeVoid(r *run, sentBy clock.Time) {
	p.storeUnanswered(r, sentBy)
	if r.task.late.TellVoid(r.number) {
		p.storeProgress(r.task)
	}
}

// carriedOut takes in that a worker has answered a start or lists its run. Members of a gang may have been sent again under the same number.
func (t *task) carriedOut(number int) {
	if !t.step.spec.Gang {
		t.late.CarriedOut(number)
	}
}

// storedUnanswered is what the store is told of the starts of a task that may be carried out yet.
func (p *Pool) storedUnanswered(t *task) []job.Unanswered {
	t.late.DropStored(func(sentBy time.Time) bool { return p.lateFrom(sentBy, p.now) == 0 })
	return t.late.Stored()
}

// lastUnanswered is when the last start of a job was sent that may come late, at the latest; zero without any. One whose call is not over counts: the store is
// not told any more of what becomes of it.
func (p *Pool) lastUnanswered(j *jobState) time.Time {
	var last time.Time
	for s := range j.steps() {
		for i := range s.tasks {
			if r := s.tasks[i].current; r != nil && !r.call.Told && r.mayBeLate() {
				return p.cfg.Wall()
			}
			for _, u := range p.storedUnanswered(&s.tasks[i]) {
				if u.At.After(last) {
					last = u.At
				}
			}
		}
	}
	return last
}

// takeUnanswered takes in the starts of a task that former owners got no answer to.
func (p *Pool) takeUnanswered(t *task, starts []job.Unanswered) {
	if !t.step.heedsLateStarts() {
		return
	}
	for _, u := range starts {
		if until := p.lateFrom(u.At, p.now); until != 0 {
			line := p.lineageOf(WorkerID(u.Worker).Name())
			t.late.Take(u, line.name, until)
			line.mayRunLateUntil(until)
		}
	}
	p.logDelays(t)
}

// lateFrom is until when a start may be carried out that was sent by a time of day, at this owner or a former one; 0 when that is over.
func (p *Pool) lateFrom(sentBy time.Time, now clock.Time) clock.Time {
	return latestart.Until(sentBy, p.cfg.Wall(), clocksApart, now)
}
