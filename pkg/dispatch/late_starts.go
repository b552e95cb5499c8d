package dispatch

import (
	"slices"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// A start without an answer that was fenced off, or whose worker was lost, does nothing any more on the life that it was sent to. The next life of that worker has
// seen no token and may carry it out until latestOrder after it was sent. Until then:
//
//   - Its task starts again at once, but only on the same worker. A life that has seen a higher token does not carry the late start out, and what ran on a
//     life that has ended does not run beside it. A task that lasts is not kept from other workers while that one can't be given it.
//   - It starts again under the same number, until a run with that has ended: if that start gets no answer either, the next life may carry out both, and it
//     does not begin a run again that is there. A gang starts again under the same number, too.
//   - Once a run with that number has ended, the worker rejects the number, and the task does not start again before the late start is over: the next life
//     would run two starts with numbers of their own beside each other.
//   - No end of its task as done or failed, nor one of another member of its gang, is noted, so a late start does not come after an end that was. The job is
//     shown as completed all the same.
//
// Tickets are for one life, so starts with one are rejected by the next.

// lateStart is a start of a task that the next life of its worker may carry out.
type lateStart struct {
	number int // of its run
	// life is the one that the start was counted on last; nil for that of a former owner.
	life *worker
	// line is the worker that the task is bound to meanwhile; nil when any may be given it.
	line  *lineage
	until clock.Time
	// former says that a former owner sent it, and void that this owner knew that it was void.
	former, void bool
	logged       bool // that its task waits for it to be over
}

// heldNote is an end of a worker that is not to be noted before a time.
type heldNote struct {
	number int64
	until  clock.Time
}

// mayComeLate takes in that a start does nothing any more on the life that it was sent to. Its task is bound to the worker of a line; to none if that is nil.
// One that was answered was carried out, by whichever life, and so does not come again. One that was only listed was, too, unless it is a repeated one.
func (p *Pool) mayComeLate(r *run, line *lineage) {
	if !r.mayBeLate() {
		return
	}
	sentBy := r.unansweredAt
	if sentBy == 0 {
		sentBy = p.now
	}
	until := sentBy.Add(latestOrder)
	r.task.lateStarts = append(r.task.lateStarts, lateStart{number: r.number, life: r.worker, line: line, until: until})
	r.worker.line.mayRunLateUntil(until)
	p.storeVoid(r, sentBy)
}

// numberOn is the number of a task's next run, if that is on a worker.
func (p *Pool) numberOn(t *task, w *worker) int {
	repeats := func(l lateStart) bool { return l.line == w.line && t.repeats(l) }
	if slices.ContainsFunc(t.lateStarts, repeats) {
		return t.lastRun
	}
	return p.nextRun(t.step.time.job, t.lastRun)
}

// repeats says that the next run of a task has the number of a late start; that of a gang has it for all members.
func (t *task) repeats(l lateStart) bool {
	ended := func(o task) bool { return o.lastEnded >= l.number }
	return l.line != nil && l.number == t.highestRun() && !slices.ContainsFunc(t.doneTogether(), ended)
}

// highestRun is the highest number that was given to a run of a task, or of its gang.
func (t *task) highestRun() int {
	if !t.step.spec.Gang {
		return t.lastRun
	}
	highest := t.step.gang.number
	for i := range t.step.tasks {
		highest = max(highest, t.step.tasks[i].lastRun)
	}
	return highest
}

// nextGangRun is the number of a gang's next run.
func (p *Pool) nextGangRun(s *step) int {
	for i := range s.tasks {
		if t := &s.tasks[i]; slices.ContainsFunc(t.lateStarts, t.repeats) {
			return t.highestRun()
		}
	}
	return p.nextRun(s.time.job, s.tasks[0].highestRun())
}

// carriedOutLate takes in that a life runs, or has run, a start that was not known to be there: the late one, if there is just one that it can be.
func (t *task) carriedOutLate(w *worker, number int) {
	of := func(l lateStart) bool { return l.number == number }
	n := slices.IndexFunc(t.lateStarts, of)
	if n < 0 || slices.ContainsFunc(t.lateStarts[n+1:], of) {
		return
	}
	if l := t.lateStarts[n]; !l.former && l.line == w.line && l.life != w {
		t.lateStarts = slices.Delete(t.lateStarts, n, n+1)
	}
}

// mustOutwait says that a task must not start again before a late start is over: the worker that it is bound to rejects the number of that start, since a run
// with it has ended there.
func (t *task) mustOutwait(l lateStart) bool {
	return l.line != nil && !t.repeats(l)
}

// outwaitsLateStart says that a task does not start before a late start is over.
func (t *task) outwaitsLateStart() bool {
	return slices.ContainsFunc(t.lateStarts, t.mustOutwait)
}

// logDelays tells, once for each late start, that a task that waits, or one of its gang, does not start before that is over.
func (p *Pool) logDelays(t *task) {
	if t.step.time.job.outcome != "" {
		return
	}
	tasks := t.doneTogether()
	for i := range tasks {
		for n := range tasks[i].lateStarts {
			l := &tasks[i].lateStarts[n]
			if l.logged || !tasks[i].waiting() || !tasks[i].mustOutwait(*l) {
				continue
			}
			l.logged = true
			p.cfg.Log(Event{Name: "start_delayed", Task: tasks[i].id(), Run: l.number, Detail: "late_start_for=" + l.until.Sub(p.now).String()})
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
		n := slices.IndexFunc(t.lateStarts, t.mustOutwait)
		if n < 0 && !s.spec.Gang {
			return 0
		}
		if n >= 0 {
			until = max(until, t.lateStarts[n].until)
		}
	}
	return until
}

// startOver takes in how the call of a run's start ended: a repeated start can't come any more unless it got no answer.
func (p *Pool) startOver(r *run, err error, now clock.Time) {
	if err == nil || isNotSent(err) {
		r.repeated = false
		return
	}
	r.unansweredAt = now
	p.storeUnanswered(r, now)
}

// settleRepeated forgets that a start is a repeated one when it can't be carried out any more.
func (r *run) settleRepeated(now clock.Time) {
	r.repeated = r.repeated && now < max(r.orderedAt, r.unansweredAt).Add(latestOrder)
}

// mayBeLate says that the next life of its worker may carry out the start of a run late, beside or after another one.
func (r *run) mayBeLate() bool {
	return r.worker.info.ID.Born() != 0 && r.mayGoOver() && (r.confirmedAt == 0 || r.repeated) && r.task.step.heedsLateStarts()
}

// heedsLateStarts says that late starts of a step's tasks do harm: they need no ticket, and the tasks may not run twice.
func (s *step) heedsLateStarts() bool {
	return s.time.job.queue.Advice == nil && !s.spec.Speculative
}

// lateStartOver says that a start can't be carried out any more and, for a bound task, that what a life has begun of it that nobody has heard of has ended.
func (p *Pool) lateStartOver(l lateStart, now clock.Time) bool {
	if l.line == nil || now < l.until {
		return now >= l.until
	}
	heard := slices.ContainsFunc(l.line.lives, func(w *worker) bool { return w.provenAt >= l.until })
	lapsed := l.until.Add(lapseTime(p.cfg.LongestLease))
	return heard || now >= lapsed && p.confirmedSince(lapsed)
}

// dropLateStarts forgets the late starts of a task that are over, and lets a task that lasts go elsewhere when its worker can't be given it.
func (p *Pool) dropLateStarts(t *task, now clock.Time) {
	t.lateStarts = slices.DeleteFunc(t.lateStarts, func(l lateStart) bool { return p.lateStartOver(l, now) })
	if !t.step.spec.LongRunning {
		return
	}
	for i, l := range t.lateStarts {
		if l.line != nil && !l.line.usable(now) {
			t.lateStarts[i].line = nil
		}
	}
}

// mayRunLateUntil takes in that a start may be carried out by the next life until a time.
func (l *lineage) mayRunLateUntil(until clock.Time) {
	l.lateUntil = max(l.lateUntil, until)
}

// usable says whether a life of the worker may be given a task now.
func (l *lineage) usable(now clock.Time) bool {
	return slices.ContainsFunc(l.lives, func(w *worker) bool { return w.usable(now) })
}

// mayRunOn says whether a task may be started on a worker as far as its late starts are concerned.
func (t *task) mayRunOn(w *worker) bool {
	return !slices.ContainsFunc(t.lateStarts, func(l lateStart) bool { return l.line != nil && l.line != w.line })
}

// bound says that a task may be given to one worker only.
func (t *task) bound() bool {
	return slices.ContainsFunc(t.lateStarts, func(l lateStart) bool { return l.line != nil })
}

// hasBound says that tasks of a step are bound to workers.
func (s *step) hasBound() bool {
	for i := range s.tasks {
		if s.tasks[i].bound() {
			return true
		}
	}
	return false
}

// mayNoteFrom is from when on ends of a task may be noted; 0 for any time. Of a job that is forgotten, or that a former owner has ended, the tasks are not known.
func (p *Pool) mayNoteFrom(id job.TaskID) clock.Time {
	if t := p.task(id); t != nil {
		return t.mayNoteFrom()
	}
	return p.outcomes.of[id.Job].lateUntil
}

// mayNoteFrom is from when on ends of a task may be noted; 0 for any time.
func (t *task) mayNoteFrom() clock.Time {
	var from clock.Time
	tasks := t.doneTogether()
	for i := range tasks {
		from = max(from, tasks[i].lateUntil())
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

// lateUntil is until when late starts of a task may be carried out; 0 without any.
func (t *task) lateUntil() clock.Time {
	var until clock.Time
	for _, l := range t.lateStarts {
		until = max(until, l.until)
	}
	return until
}

// lateUntil is until when late starts of a job's tasks may be carried out; 0 without any.
func (j *jobState) lateUntil() clock.Time {
	var until clock.Time
	for s := range j.steps() {
		for i := range s.tasks {
			until = max(until, s.tasks[i].lateUntil())
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
		w.heldNotes = append(w.heldNotes, heldNote{f.Number, from})
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
		until = max(until, tasks[i].unsettledUntil(f.Run, now))
	}
	return until
}

// unsettledUntil is the same of one task, of whose present run the end may be.
func (t *task) unsettledUntil(ended int, now clock.Time) clock.Time {
	r := t.current
	if r == nil || r.number == ended || !r.mayBeLate() {
		return 0
	}
	if r.unansweredAt != 0 {
		return r.unansweredAt.Add(latestOrder)
	}
	return now.Add(latestOrder)
}

// mayNoteUpTo is the number up to which all ends of a worker are taken in and may be noted.
func (w *worker) mayNoteUpTo(now clock.Time) int64 {
	w.heldNotes = slices.DeleteFunc(w.heldNotes, func(h heldNote) bool { return now >= h.until })
	upTo := w.takenUpTo()
	for _, h := range w.heldNotes {
		upTo = min(upTo, h.number-1)
	}
	return upTo
}

// fillBound gives each member of a gang a worker, those that are bound theirs and the others the ones with most room; nil when they don't suffice.
func fillBound(s *step, workers []*worker) []*worker {
	room := make([]int, len(workers))
	for i, w := range workers {
		room[i] = fits(s, w)
	}
	chosen, last := make([]*worker, len(s.tasks)), -1
	for _, bound := range []bool{true, false} {
		for i := range s.tasks {
			t := &s.tasks[i]
			if t.bound() != bound {
				continue
			}
			n := last
			if n < 0 || room[n] == 0 || !t.mayRunOn(workers[n]) {
				n = mostRoomFor(t, workers, room)
			}
			if n < 0 {
				return nil
			}
			chosen[i], last = workers[n], n
			room[n]--
		}
	}
	return chosen
}

// mostRoomFor is the index of the worker with most room that a task may be started on; -1 for none.
func mostRoomFor(t *task, workers []*worker, room []int) int {
	best := -1
	for n, w := range workers {
		if room[n] > 0 && t.mayRunOn(w) && (best < 0 || room[n] > room[best]) {
			best = n
		}
	}
	return best
}
