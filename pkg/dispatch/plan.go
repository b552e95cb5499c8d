package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/latestart"
)

const (
	// resendStopAfter is how long the end of a stopped run may take before the stop is sent
	// again.
	resendStopAfter = 800 * time.Millisecond
	// A run whose progress stands still for stuckAfter and stuckShare of its estimated time
	// is stopped and started elsewhere.
	stuckAfter = 1500 * time.Millisecond
	stuckShare = 0.15
	// leaveSlack is how much longer than told a leaving worker is trusted to stay.
	leaveSlack = 200 * time.Millisecond
	// almostDone is the progress in percent from which a run is left alone.
	almostDone = 98
)

// Plan decides what is to be done now. Without authority nothing is started or asked for.
func (p *Pool) Plan(now clock.Time, authority bool) Actions {
	p.now = now
	p.surveyWorkers(now)
	p.expireAsks(now)
	p.settleTakeover(now)
	for _, j := range slices.SortedFunc(maps.Keys(p.timed), compareJobs) {
		p.openDueTimes(j)
	}
	var out Actions
	if authority {
		p.orderStored(now, &out)
		p.place(now, &out)
	}
	p.takeStops(now, &out)
	p.takePaces(&out)
	for _, w := range p.meets {
		out.Meets = append(out.Meets, w.info)
	}
	p.meets = p.meets[:0]
	for _, w := range p.settles {
		if !w.gone {
			out.Settles = append(out.Settles, w.info.ID)
		}
	}
	p.settles = p.settles[:0]
	out.Confirm, p.unconfirmed = p.unconfirmed, false
	return out
}

// Inspect looks at all runs: it stops those that stand still and sends stops again. It is to
// be called a few times a second.
func (p *Pool) Inspect(now clock.Time) {
	for _, w := range p.workersByID() {
		if w.gone || now.Sub(w.lastAnswer) >= usableWithin {
			continue
		}
		for _, r := range sortedRuns(w) {
			p.inspectRun(w, r, now)
		}
		p.paceFillers(w, now)
	}
}

func (p *Pool) inspectRun(w *worker, r *run, now clock.Time) {
	if r.state != runActive {
		return
	}
	if r.stopSentAt != 0 {
		if now.Sub(r.stopSentAt) > resendStopAfter {
			r.stopSentAt = 0
			p.stopRun(r)
		}
		return
	}
	s := r.task.step
	if w.leavesAt != 0 && r.task.current == r && !s.finished() && p.endsTooLate(w, r, now) {
		p.move(r, "its worker leaves")
		return
	}
	if s.spec.LongRunning || s.spec.Filler || r.progress.Percent >= almostDone || r.task.current != r {
		return
	}
	if !r.standsStill(now) || p.without(StuckMoves) {
		return
	}
	if !p.without(Suspension) {
		p.suspend(w, suspendFor, "a run stands still", now)
	}
	p.move(r, "it stands still")
}

// standsStill says that a run's progress has not changed for too long. A report must have shown
// so: a worker that was not asked tells nothing.
func (r *run) standsStill(now clock.Time) bool {
	limit := stuckAfter + time.Duration(stuckShare*float64(r.task.step.spec.Estimate))
	return now.Sub(r.progress.At) >= limit && r.observedAt.Sub(r.progress.At) >= limit/2
}

// move stops a run so that its task starts elsewhere; with a gang, all its members.
func (p *Pool) move(r *run, why string) {
	p.cfg.Log(Event{Name: "run_moved", Task: r.task.id(), Run: r.number, Worker: r.worker.info.ID, Detail: why})
	p.avoid(r.task, r.worker)
	p.stopWithGang(r)
}

// endsTooLate says whether a run won't be done before its worker may leave.
func (p *Pool) endsTooLate(w *worker, r *run, now clock.Time) bool {
	return now.Add(r.left(now)) > w.leavesAt.Add(leaveSlack)
}

// stop is the order that stops a run.
func (r *run) stop() Stop {
	w := r.worker
	return Stop{Task: r.task.id(), Run: r.number, Worker: w.info.ID, Address: w.info.Address, Token: w.line.token}
}

func (p *Pool) takeStops(now clock.Time, out *Actions) {
	for _, r := range p.stops {
		w := r.worker
		if w.gone || w.runs[runKey{r.task.id(), r.number}] != r && !r.task.done {
			continue
		}
		r.stopSentAt = now
		out.Stops = append(out.Stops, r.stop())
	}
	p.stops = p.stops[:0]
}

// place starts tasks and asks for advice, in the order in which steps go.
func (p *Pool) place(now clock.Time, out *Actions) {
	p.clearPromises()
	if p.ready.gangs > 0 {
		p.sumBacklog() // which decides whether gangs hold workers
	}
	p.usable = usableWorkers{}
	defer func() { p.usable = nil }()
	reserved := newReservations()
	p.placeFirst(reserved, now, out)
	ordered := p.ready.sort(now)
	p.askForStarving(ordered, reserved, now, out)
	for i := range ordered {
		s := ordered[i].step
		if s.goesFirst {
			continue
		}
		if ordered[i].idles(now) && !p.mayAsk(s, now) {
			continue
		}
		if p.blocked(s.time.job) {
			continue
		}
		if p.awaitsQuota(s) {
			p.holdQuota(s, now)
			continue
		}
		if s.spec.Gang {
			p.placeGang(s, reserved, now, out)
		} else {
			p.placeTasks(s, reserved, now, out)
		}
		if s.held(now) || s.outwaited() != 0 {
			continue
		}
		p.preempt(s, now)
		if s.waiting() == 0 {
			p.ready.remove(s)
			continue
		}
		p.ask(s, p.longAtOnce(), reserved, now, out)
		p.reserve(s, reserved, now)
	}
}

// book counts a run of a task against a worker.
func (p *Pool) book(t *task, w *worker, number int, state runState, now clock.Time) *run {
	r := &run{task: t, number: number, worker: w, state: state}
	r.call = latestart.Call{OrderedAt: now, Repeated: t.late.Has(number)}
	t.lastRun = number
	t.setCurrent(r)
	t.presumedLost = false
	p.count(r)
	return r
}

// startOrder returns the order that starts a run.
func (p *Pool) startOrder(r *run, checkpoint string, now clock.Time) Start {
	t, w := r.task, r.worker
	r.token = w.line.token
	deadline := w.deadline(now, p.cfg.Hold)
	w.bound = max(w.bound, deadline)
	o := Start{
		Task: t.id(), Run: r.number, Worker: w.info.ID, Address: w.info.Address, Token: w.line.token,
		Spec: t.step.time.job.job.Spec, Checkpoint: checkpoint, Deadline: deadline,
	}
	ticket := t.step.advice.tickets[w.info.ID]
	o.Ticket = ticket.text
	p.useTicket(ticket)
	p.logStart(o, w, ticket, now)
	return o
}

// logStart tells what decided a start: how long the job waited and what it had left, how old
// the news of the worker are, how long the ticket still holds, and what stays free there.
func (p *Pool) logStart(o Start, w *worker, ticket ticket, now clock.Time) {
	t := p.jobs[o.Task.Job].times[o.Task.Time]
	detail := fmt.Sprintf("left_ms=%d worker_age_ms=%d free=%s", t.objective.Sub(now).Milliseconds(),
		now.Sub(w.lastAnswer).Milliseconds(), w.free())
	if ticket.text != "" {
		detail += fmt.Sprintf(" ticket_left_ms=%d", ticket.until.Sub(now).Milliseconds())
	}
	p.cfg.Log(Event{Name: "run_ordered", Task: o.Task, Run: o.Run, Worker: o.Worker, Detail: detail})
}

// nextRun is the number of a task's next run. A former owner may have given numbers that
// we don't know of.
func (p *Pool) nextRun(j *jobState, last int) int {
	if !p.unknownToFormer(j) {
		return max(last, p.cfg.FirstRun) + 1
	}
	return last + 1
}

// placeTasks starts as many tasks of a step as there is room for.
func (p *Pool) placeTasks(s *step, reserved *reservations, now clock.Time, out *Actions) {
	if s.suspected() {
		p.placeSuspects(s, reserved, now, out)
		if !s.survived {
			return // all its tasks may be alike
		}
	}
	var candidates []*worker
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.suspected() || !p.mayStart(t, now) {
			continue
		}
		if p.allowed(s, 1) == 0 {
			return
		}
		if candidates == nil {
			if candidates = p.candidates(s, reserved, now); len(candidates) == 0 {
				return
			}
		}
		w := bestFit(t, candidates)
		if w == nil && t.late.Bound() {
			continue // others of the step may have room elsewhere
		}
		if w == nil {
			return
		}
		p.start(t, w, p.numberOn(t, w), t.checkpoint, now, out)
	}
}

// mayStart says whether a task may be started now, as far as it is concerned.
func (p *Pool) mayStart(t *task, now clock.Time) bool {
	p.dropLateStarts(t, now)
	return t.waiting() && now >= t.notBefore && !t.outwaitsLateStart() && p.mayStartAgain(t, now) && p.mayTryLast(t, now)
}

// gangCandidates lists the workers that members of a gang may be started on.
func (p *Pool) gangCandidates(s *step, reserved *reservations, now clock.Time) []*worker {
	candidates := p.candidates(s, reserved, now)
	if s.suspected() {
		return p.probeWorkers(s, candidates, now)
	}
	return candidates
}

// placeGang starts all members of a gang, or none.
func (p *Pool) placeGang(s *step, reserved *reservations, now clock.Time, out *Actions) {
	if s.missing() {
		p.completeGang(s, p.gangCandidates(s, reserved, now), now, out)
		return
	}
	if s.waiting() == 0 || now < s.tasks[0].notBefore {
		return
	}
	for i := range s.tasks {
		p.dropLateStarts(&s.tasks[i], now)
		if s.tasks[i].outwaitsLateStart() || !p.mayStartAgain(&s.tasks[i], now) || !p.mayTryLast(&s.tasks[i], now) {
			return
		}
	}
	chosen := p.gangWorkers(s, p.gangCandidates(s, reserved, now))
	if chosen == nil {
		return
	}
	number := p.nextGangRun(s)
	s.gang = gang{number: number, startedAt: now}
	checkpoint := s.gangCheckpoint()
	for i, w := range chosen {
		p.start(&s.tasks[i], w, number, checkpoint, now, out)
	}
}
