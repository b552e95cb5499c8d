package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// Workers that run what they are told, and starts that they leave without an answer and may carry out until maxOrderDelay after they were sent.

// hall is a pool with such workers. Time goes in steps of beat, in each of which all workers are asked, a plan is made and the store takes what changed.
type hall struct {
	*fixture
	t       *testing.T
	begunAt clock.Time
	there   map[int]*resident
	records map[job.ID]job.Record
	stored  map[job.ID]JobChange // what the store has of the jobs
	// takes is how long the runs of a job take (a second if not named), and how is how they end (as done).
	takes map[job.ID]time.Duration
	how   map[job.ID]EndReason
	// loses says which starts get no answer; those are kept.
	loses   func(StartOrder) bool
	unheard bool // the owner does not hear that a start gets no answer
	kept    []keptStart
	lost    StartOrder                // the first of them
	begun   map[job.TaskID]clock.Time // when a kept start was carried out
	noted   []notedEnd
	ends    map[runKey]EndReason // as listed
	started []StartOrder         // all of them, in order
}

const (
	beat        = 100 * time.Millisecond
	membersWait = 7 * time.Second // how long a member waits for the others
)

// resident is the life of a worker that is there.
type resident struct {
	life
	token    int64
	active   []residentRun
	finished []FinishedRun
	endedAt  map[int64]clock.Time
	lastEnd  int64
	ending   map[job.TaskID]bool // told to stop
	cut      bool                // no call reaches it
}

type residentRun struct {
	start        StartOrder
	since, until clock.Time
}

type keptStart struct {
	StartOrder
	sentAt clock.Time
}

type notedEnd struct {
	FinishedRun
	worker  WorkerID
	endedAt clock.Time
}

func newHall(t *testing.T, workers int) *hall {
	h := &hall{
		t: t, there: map[int]*resident{}, records: map[job.ID]job.Record{}, stored: map[job.ID]JobChange{},
		takes: map[job.ID]time.Duration{}, how: map[job.ID]EndReason{}, begun: map[job.TaskID]clock.Time{}, ends: map[runKey]EndReason{}, loses: func(StartOrder) bool { return false },
	}
	h.fixture = newFixture(t, 0, func(c *Config) {
		log := c.Log
		c.Log = func(e Event) {
			log(e)
			h.notesEvent(e)
		}
	})
	h.begunAt = h.now
	for n := range workers {
		h.comes(firstLife(n))
	}
	h.passes(2 * beat)
	return h
}

// comes has a life begin and write its entry.
func (h *hall) comes(l life) {
	h.comesUnlisted(l)
	h.lists(l)
}

func (h *hall) comesUnlisted(l life) {
	h.notes("%s begins", l.id)
	h.there[l.number] = &resident{life: l, endedAt: map[int64]clock.Time{}, ending: map[job.TaskID]bool{}}
}

// crashes ends the life of a worker that is there.
func (h *hall) crashes(n int) {
	h.notes("%s crashes", workerID(n))
	delete(h.there, n)
}

func (h *hall) gets(r job.Record) {
	h.records[r.Job.ID] = r
	h.add(r)
}

// passes has time pass, at least one beat.
func (h *hall) passes(d time.Duration) {
	for end := h.now.Add(d); h.now < end; {
		h.beats()
	}
}

// notes logs an event, so that a failure shows the order of events, by the time since the hall began.
func (h *hall) notes(format string, args ...any) {
	h.t.Logf("%6.3f s: "+format, append([]any{h.now.Sub(h.begunAt).Seconds()}, args...)...)
}

// notesEvent logs what the pool decides of lives and void starts.
func (h *hall) notesEvent(e Event) {
	switch e.Name {
	case "start_void":
		h.notes("run %d of %s is void on %s", e.Run, e.Task, e.Worker)
	case "worker_started_again", "worker_lapsed", "worker_gone", "run_adopted", "job_ended":
		h.notes("%s %s %s", e.Name, e.Worker, e.Detail)
	}
}

func (h *hall) beats() {
	next := h.now.Add(beat)
	for _, n := range slices.Sorted(maps.Keys(h.there)) {
		h.endRuns(h.there[n])
	}
	for _, w := range h.pool.Workers() {
		h.asks(w.ID, false)
	}
	h.carryOut(h.plan())
	if !h.storeAway {
		h.commitsAll()
	}
	h.pool.InspectRuns(h.now)
	if h.now < next {
		h.pass(next.Sub(h.now))
	}
	h.checkNoneRunsTwice()
	for _, k := range h.kept {
		if h.now.Sub(k.sentAt) <= maxOrderDelay {
			h.mayBeCarriedOut(k)
		}
	}
}

func (h *hall) commitsAll() {
	c := h.pool.PrepareCommit()
	for _, change := range c.Changes {
		h.stored[change.Job] = change
	}
	h.pool.ApplyCommit(c)
}

// endRuns has the runs of a life end whose time has come.
func (h *hall) endRuns(r *resident) {
	for i := range r.active {
		if x := &r.active[i]; !h.together(x.start) {
			x.until = x.until.Add(beat) // it waits for the other members
		}
	}
	r.active = slices.DeleteFunc(r.active, func(x residentRun) bool {
		how := EndDone
		as, named := h.how[x.start.Task.Job]
		switch {
		case r.ending[x.start.Task]:
			how = EndStopped
		case !h.together(x.start) && h.now.Sub(x.since) > membersWait:
			how = EndGangIncomplete
		case h.now < x.until:
			return false
		case named:
			how = as
		}
		r.lastEnd++
		r.finished = append(r.finished, FinishedRun{Number: r.lastEnd, Task: x.start.Task, Run: x.start.Run, Reason: how})
		r.endedAt[r.lastEnd] = h.now
		h.ends[runKey{x.start.Task, x.start.Run}] = how
		h.notes("%s: run %d of %s ends as %s", r.id, x.start.Run, x.start.Task, how)
		return true
	})
	clear(r.ending)
}

// together says that all members of a start's gang run, or are done with that run.
func (h *hall) together(s StartOrder) bool {
	step := h.records[s.Task.Job].Job.Steps[s.Task.Step]
	if !step.Gang {
		return true
	}
	present := map[int]bool{}
	for i := range step.Count {
		present[i] = h.ends[runKey{job.TaskID{StepID: s.Task.StepID, Index: i}, s.Run}] == EndDone
	}
	for _, r := range h.there {
		for _, x := range r.active {
			if x.start.Task.StepID == s.Task.StepID && x.start.Run == s.Run {
				present[x.start.Task.Index] = true
			}
		}
	}
	for _, is := range present {
		if !is {
			return false
		}
	}
	return true
}

// asks sends a hold to a life; the one that is there answers.
func (h *hall) asks(id WorkerID, raise bool) {
	o, ok := h.pool.NewPoll(id, raise, true, h.now)
	if !ok {
		return
	}
	h.pass(time.Millisecond)
	r := h.there[numberOf(id)]
	if r == nil || r.cut {
		h.pool.HandlePollFailure(id, h.now)
		return
	}
	if o.Token < r.token {
		h.pool.HandlePollAnswer(o, Answer{Verdict: VerdictFenced, Clock: h.workerClock - r.behind}, Report{IncarnationStart: r.born}, h.now)
		return
	}
	r.token = o.Token
	r.finished = slices.DeleteFunc(r.finished, func(f FinishedRun) bool {
		if f.Number > o.AckedEnd {
			return false
		}
		h.notes("the end of run %d of %s as %s on %s is noted", f.Run, f.Task, f.Reason, r.id)
		h.noted = append(h.noted, notedEnd{f, r.id, r.endedAt[f.Number]})
		h.checkNotBegunSince(h.noted[len(h.noted)-1])
		return true
	})
	report := Report{Finished: slices.Clone(r.finished)}
	for _, x := range r.active {
		row := activeRow(x.start)
		row.Percent = int(100 * h.now.Sub(x.since) / x.until.Sub(x.since))
		report.Active = append(report.Active, row)
	}
	h.answers(o, r.life, report)
}

func (h *hall) carryOut(a Actions) {
	for _, s := range a.Stops {
		if r := h.there[numberOf(s.Worker)]; r != nil && r.id == s.Worker && s.Token >= r.token {
			r.ending[s.Task] = true
		}
	}
	for _, s := range a.Starts {
		h.sends(s)
	}
	for _, ask := range a.AdviceCalls {
		var tickets []Ticket
		for _, w := range ask.Workers {
			tickets = append(tickets, Ticket{w, "of " + string(w)})
		}
		h.pool.HandleAdviceAnswer(ask.Number, tickets, true, h.now)
	}
	for _, id := range a.FenceWorkers {
		h.asks(id, true)
	}
}

func (h *hall) sends(s StartOrder) {
	h.started = append(h.started, s)
	r := h.there[numberOf(s.Worker)]
	switch {
	case h.loses(s):
		h.notes("run %d of %s is sent to %s, without an answer", s.Run, s.Task, s.Worker)
		if len(h.kept) == 0 && h.lost.Task.Job == "" {
			h.lost = s
		}
		h.kept = append(h.kept, keptStart{s, h.now})
		if !h.unheard {
			h.noAnswer(s)
		}
	case r == nil || r.id != s.Worker:
		h.pool.HandleStartAnswer(s, Answer{}, ErrNotSent, h.now)
	case h.takeStart(r, s):
		h.notes("run %d of %s begins on %s", s.Run, s.Task, s.Worker)
		h.acceptBy(s, r.life)
	default:
		h.pool.HandleStartAnswer(s, Answer{Verdict: VerdictFenced, Clock: h.workerClock - r.behind}, nil, h.now)
	}
}

// takeStart has a life carry out a start, unless that is fenced off.
func (h *hall) takeStart(r *resident, s StartOrder) bool {
	if s.Token < r.token {
		return false
	}
	r.token = s.Token
	takes, named := h.takes[s.Task.Job]
	if !named {
		takes = time.Second
	}
	r.active = append(r.active, residentRun{s, h.now, h.now.Add(takes)})
	return true
}

// carriesOutLate has the life that is there carry out a start that its worker kept, which is over with that. It says whether that did.
func (h *hall) carriesOutLate(k keptStart) bool {
	h.Expect(h.now.Sub(k.sentAt)).To(BeNumerically("<=", maxOrderDelay), "the test is within the time")
	if !h.takeStart(h.there[numberOf(k.Worker)], k.StartOrder) {
		return false
	}
	h.notes("%s carries out the start of run %d of %s", h.there[numberOf(k.Worker)].id, k.Run, k.Task)
	h.mayBeCarriedOut(k)
	h.kept = slices.DeleteFunc(h.kept, func(o keptStart) bool { return o == k })
	h.begun[k.Task] = h.now
	return true
}

// ofOneGang says that two tasks are done together, or are the same.
func (h *hall) ofOneGang(a, b job.TaskID) bool {
	return a == b || a.StepID == b.StepID && h.records[a.Job].Job.Steps[a.Step].Gang
}

// mayBeCarriedOut checks that nothing is broken if the next life of its worker carries out a kept start now, before anyone has called it.
func (h *hall) mayBeCarriedOut(k keptStart) {
	at := fmt.Sprintf("%d ms after run %d of %s was sent to %s", h.now.Sub(k.sentAt).Milliseconds(), k.Run, k.Task, k.Worker)
	for n, r := range h.there {
		for _, x := range r.active {
			h.Expect(x.start.Task != k.Task || n == numberOf(k.Worker)).To(BeTrue(), "%s, the task runs on %s as run %d", at, r.id, x.start.Run)
		}
	}
	failed := 0
	for _, e := range h.noted {
		if !h.ofOneGang(e.Task, k.Task) {
			continue
		}
		h.Expect(e.Reason).NotTo(Equal(EndDone), "%s, the end of run %d of %s on %s is noted", at, e.Run, e.Task, e.worker)
		if e.Reason == EndFailed && e.Task == k.Task {
			failed++
		}
	}
	h.Expect(failed).To(BeNumerically("<", testQueue.MaxAttempts), "%s, the ends of all attempts as failed are noted", at)
}

// checkNotBegunSince checks that no end as done is noted of a task that has begun again since that end.
func (h *hall) checkNotBegunSince(e notedEnd) {
	at := h.begun[e.Task]
	h.Expect(e.Reason == EndDone && at > e.endedAt).To(BeFalse(),
		"the end of run %d of %s on %s is noted %d ms after a start of it was carried out late", e.Run, e.Task, e.worker, h.now.Sub(at).Milliseconds())
}

// checkNoneRunsTwice checks that no task has two runs, whether their workers are heard of or not.
func (h *hall) checkNoneRunsTwice() {
	on := map[job.TaskID]WorkerID{}
	for _, n := range slices.Sorted(maps.Keys(h.there)) {
		for _, x := range h.there[n].active {
			h.Expect(on).NotTo(HaveKey(x.start.Task), "%s runs on %s and on %s at once", x.start.Task, on[x.start.Task], h.there[n].id)
			on[x.start.Task] = h.there[n].id
		}
	}
}

// isDoneWithin has time pass until a job is shown as completed and its ends are noted.
func (h *hall) isDoneWithin(d time.Duration, id job.ID) {
	for end := h.now.Add(d); h.now < end; h.beats() {
		if state, _, _ := h.pool.JobState(id); state == job.Completed {
			h.passes(5 * beat)
			return
		}
	}
	state, _, _ := h.pool.JobState(id)
	h.Expect(state).To(Equal(job.Completed), "%s is done within %s", id, d)
}

// startsWithin has time pass until one more start of a job is ordered, and returns it.
func (h *hall) startsWithin(d time.Duration, id job.ID) StartOrder {
	before := len(h.started)
	for end := h.now.Add(d); h.now < end; {
		h.beats()
		for _, s := range h.started[before:] {
			if s.Task.Job == id {
				return s
			}
		}
	}
	h.Expect(h.started[before:]).NotTo(BeEmpty(), "a start of %s within %s", id, d)
	return StartOrder{}
}

// nextOwner has another owner take over, which reads the store.
func (h *hall) nextOwner() {
	h.notes("another owner takes over")
	cfg := h.pool.cfg
	afterFormerOwner(&cfg)
	h.pool = New(cfg, h.now)
	for _, id := range slices.Sorted(maps.Keys(h.records)) {
		change, stored := h.stored[id]
		if change.Outcome != "" {
			h.pool.AddOutcome(id, job.Record{Outcome: change.Outcome, Unended: change.RemainingUse, LateStart: change.LastLateStart}, h.now)
			continue
		}
		h.pool.AddJob(h.records[id], copied(change.Progress), stored, 0, h.now)
	}
	h.pool.MarkJobsLoaded()
	for _, n := range slices.Sorted(maps.Keys(h.there)) {
		h.lists(h.there[n].life)
	}
}
