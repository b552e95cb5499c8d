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

// poolSim is a pool with simulated workers that carry out the orders they get. Some starts get no answer
// and stay pending: their worker may carry them out until maxOrderDelay after they were sent.
// Time passes in ticks of tickInterval. In each tick all workers are polled, a plan is made and carried
// out, and the changes are committed to the store.
type hall struct {
	*fixture
	t       *testing.T
	begunAt clock.Time
	there   map[int]*resident
	// records has the submitted jobs, as the store keeps them.
	records map[job.ID]job.Record
	stored  map[job.ID]JobChange // the last committed change of each job
	// runTimes says how long the runs of a job take (default: a second), and endReasons how they end
	// (default: EndDone).
	takes map[job.ID]time.Duration
	how   map[job.ID]EndReason
	// losesAnswer says which starts get no answer; these become pending.
	loses   func(StartOrder) bool
	unheard bool // the calls of starts without an answer stay open: the pool is not told of the failure
	kept    []keptStart
	lost    StartOrder                // the first start without an answer
	begun   map[job.TaskID]clock.Time // when a pending start was carried out late
	noted   []notedEnd
	ends    map[runKey]EndReason // of all runs that have ended
	started []StartOrder         // all starts that the pool ordered, in order
}

const (
	beat        = 100 * time.Millisecond
	membersWait = 7 * time.Second // how long a gang member waits for the others before it gives up
)

// simWorker is the incarnation of a worker that is alive.
type resident struct {
	life
	token    int64
	active   []residentRun
	finished []FinishedRun
	endedAt  map[int64]clock.Time
	lastEnd  int64
	ending   map[job.TaskID]bool // tasks that are to stop
	cut      bool                // no call reaches the worker
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
	sim := &hall{
		t: t, there: map[int]*resident{}, records: map[job.ID]job.Record{}, stored: map[job.ID]JobChange{},
		takes: map[job.ID]time.Duration{}, how: map[job.ID]EndReason{}, begun: map[job.TaskID]clock.Time{}, ends: map[runKey]EndReason{}, loses: func(StartOrder) bool { return false },
	}
	sim.fixture = newFixture(t, 0, func(c *Config) {
		log := c.Log
		c.Log = func(e Event) {
			log(e)
			sim.notesEvent(e)
		}
	})
	sim.begunAt = sim.now
	for n := range workers {
		sim.comes(firstLife(n))
	}
	sim.passes(2 * beat)
	return sim
}

// addIncarnation starts an incarnation and writes its entry.
func (sim *hall) comes(l life) {
	sim.comesUnlisted(l)
	sim.lists(l)
}

// addIncarnationWithoutEntry starts an incarnation that has not written its entry yet.
func (sim *hall) comesUnlisted(l life) {
	sim.notes("%s begins", l.id)
	sim.there[l.number] = &resident{life: l, endedAt: map[int64]clock.Time{}, ending: map[job.TaskID]bool{}}
}

// crashWorker ends the incarnation that is alive of worker n.
func (sim *hall) crashes(n int) {
	sim.notes("%s crashes", workerID(n))
	delete(sim.there, n)
}

func (sim *hall) gets(r job.Record) {
	sim.records[r.Job.ID] = r
	sim.add(r)
}

// advanceTicks lets time pass in whole ticks, at least one.
func (sim *hall) passes(d time.Duration) {
	for end := sim.now.Add(d); sim.now < end; {
		sim.beats()
	}
}

// logf logs an event with the time since the simulation began, so that a failure shows the order of
// events.
func (sim *hall) notes(format string, args ...any) {
	sim.t.Logf("%6.3f s: "+format, append([]any{sim.now.Sub(sim.begunAt).Seconds()}, args...)...)
}

// logEvent logs what the pool decides about incarnations and invalidated starts.
func (sim *hall) notesEvent(e Event) {
	switch e.Name {
	case "start_void":
		sim.notes("run %d of %s is invalidated on %s", e.Run, e.Task, e.Worker)
	case "worker_started_again", "worker_lapsed", "worker_gone", "run_adopted", "job_ended":
		sim.notes("%s %s %s", e.Name, e.Worker, e.Detail)
	}
}

func (sim *hall) beats() {
	next := sim.now.Add(beat)
	for _, n := range slices.Sorted(maps.Keys(sim.there)) {
		sim.endRuns(sim.there[n])
	}
	for _, w := range sim.pool.Workers() {
		sim.asks(w.ID, false)
	}
	sim.carryOut(sim.plan())
	if !sim.storeAway {
		sim.commitsAll()
	}
	sim.pool.InspectRuns(sim.now)
	if sim.now < next {
		sim.pass(next.Sub(sim.now))
	}
	sim.checkNoneRunsTwice()
	for _, pending := range sim.kept {
		if sim.now.Sub(pending.sentAt) <= maxOrderDelay {
			sim.mayBeCarriedOut(pending)
		}
	}
}

func (sim *hall) commitsAll() {
	c := sim.pool.PrepareCommit()
	for _, change := range c.Changes {
		sim.stored[change.Job] = change
	}
	sim.pool.ApplyCommit(c)
}

// endDueRuns ends the runs of a worker whose time is over.
func (sim *hall) endRuns(w *resident) {
	for i := range w.active {
		if x := &w.active[i]; !sim.together(x.start) {
			x.until = x.until.Add(beat) // the run waits for the other members of its gang
		}
	}
	w.active = slices.DeleteFunc(w.active, func(x residentRun) bool {
		how := EndDone
		final, given := sim.how[x.start.Task.Job]
		switch {
		case w.ending[x.start.Task]:
			how = EndStopped
		case !sim.together(x.start) && sim.now.Sub(x.since) > membersWait:
			how = EndGangIncomplete
		case sim.now < x.until:
			return false
		case given:
			how = final
		}
		w.lastEnd++
		w.finished = append(w.finished, FinishedRun{Number: w.lastEnd, Task: x.start.Task, Run: x.start.Run, Reason: how})
		w.endedAt[w.lastEnd] = sim.now
		sim.ends[runKey{x.start.Task, x.start.Run}] = how
		sim.notes("%s: run %d of %s ends as %s", w.id, x.start.Run, x.start.Task, how)
		return true
	})
	clear(w.ending)
}

// gangComplete reports whether all members of a start's gang are running, or done, under the number of
// that run. It is true for tasks without a gang.
func (sim *hall) together(s StartOrder) bool {
	step := sim.records[s.Task.Job].Job.Steps[s.Task.Step]
	if !step.Gang {
		return true
	}
	present := map[int]bool{}
	for i := range step.Count {
		present[i] = sim.ends[runKey{job.TaskID{StepID: s.Task.StepID, Index: i}, s.Run}] == EndDone
	}
	for _, w := range sim.there {
		for _, x := range w.active {
			if x.start.Task.StepID == s.Task.StepID && x.start.Run == s.Run {
				present[x.start.Task.Index] = true
			}
		}
	}
	for _, ok := range present {
		if !ok {
			return false
		}
	}
	return true
}

// pollWorker polls a worker; the incarnation that is alive answers.
func (sim *hall) asks(id WorkerID, raise bool) {
	o, ok := sim.pool.NewPoll(id, raise, true, sim.now)
	if !ok {
		return
	}
	sim.pass(time.Millisecond)
	w := sim.there[numberOf(id)]
	if w == nil || w.cut {
		sim.pool.HandlePollFailure(id, sim.now)
		return
	}
	if o.Token < w.token {
		sim.pool.HandlePollAnswer(o, Answer{Verdict: VerdictFenced, Clock: sim.workerClock - w.behind}, Report{IncarnationStart: w.born}, sim.now)
		return
	}
	w.token = o.Token
	w.finished = slices.DeleteFunc(w.finished, func(f FinishedRun) bool {
		if f.Number > o.AckedEnd {
			return false
		}
		sim.notes("the end of run %d of %s as %s on %s is acknowledged", f.Run, f.Task, f.Reason, w.id)
		sim.noted = append(sim.noted, notedEnd{f, w.id, w.endedAt[f.Number]})
		sim.checkNotBegunSince(sim.noted[len(sim.noted)-1])
		return true
	})
	report := Report{Finished: slices.Clone(w.finished)}
	for _, x := range w.active {
		row := activeRow(x.start)
		row.Percent = int(100 * sim.now.Sub(x.since) / x.until.Sub(x.since))
		report.Active = append(report.Active, row)
	}
	sim.answers(o, w.life, report)
}

func (sim *hall) carryOut(a Actions) {
	for _, s := range a.Stops {
		if w := sim.there[numberOf(s.Worker)]; w != nil && w.id == s.Worker && s.Token >= w.token {
			w.ending[s.Task] = true
		}
	}
	for _, s := range a.Starts {
		sim.sends(s)
	}
	for _, call := range a.AdviceCalls {
		var tickets []Ticket
		for _, target := range call.Workers {
			tickets = append(tickets, Ticket{target, "of " + string(target)})
		}
		sim.pool.HandleAdviceAnswer(call.Number, tickets, true, sim.now)
	}
	for _, id := range a.FenceWorkers {
		sim.asks(id, true)
	}
}

func (sim *hall) sends(s StartOrder) {
	sim.started = append(sim.started, s)
	w := sim.there[numberOf(s.Worker)]
	switch {
	case sim.loses(s):
		sim.notes("run %d of %s is sent to %s, without an answer", s.Run, s.Task, s.Worker)
		if len(sim.kept) == 0 && sim.lost.Task.Job == "" {
			sim.lost = s
		}
		sim.kept = append(sim.kept, keptStart{s, sim.now})
		if !sim.unheard {
			sim.noAnswer(s)
		}
	case w == nil || w.id != s.Worker:
		sim.pool.HandleStartAnswer(s, Answer{}, ErrNotSent, sim.now)
	case sim.takeStart(w, s):
		sim.notes("run %d of %s begins on %s", s.Run, s.Task, s.Worker)
		sim.acceptBy(s, w.life)
	default:
		sim.pool.HandleStartAnswer(s, Answer{Verdict: VerdictFenced, Clock: sim.workerClock - w.behind}, nil, sim.now)
	}
}

// executeStart has a worker carry out a start, unless the worker has seen a higher token. It reports
// whether the start was carried out.
func (sim *hall) takeStart(w *resident, s StartOrder) bool {
	if s.Token < w.token {
		return false
	}
	w.token = s.Token
	takes, given := sim.takes[s.Task.Job]
	if !given {
		takes = time.Second
	}
	w.active = append(w.active, residentRun{s, sim.now, sim.now.Add(takes)})
	return true
}

// executeLate has the incarnation that is alive carry out a pending start, which is then no longer
// pending. It reports whether the start was carried out.
func (sim *hall) carriesOutLate(pending keptStart) bool {
	sim.Expect(sim.now.Sub(pending.sentAt)).To(BeNumerically("<=", maxOrderDelay), "the start may still be carried out")
	if !sim.takeStart(sim.there[numberOf(pending.Worker)], pending.StartOrder) {
		return false
	}
	sim.notes("%s carries out the start of run %d of %s", sim.there[numberOf(pending.Worker)].id, pending.Run, pending.Task)
	sim.mayBeCarriedOut(pending)
	sim.kept = slices.DeleteFunc(sim.kept, func(o keptStart) bool { return o == pending })
	sim.begun[pending.Task] = sim.now
	return true
}

// inSameGang reports whether two tasks are the same or members of one gang.
func (sim *hall) ofOneGang(a, b job.TaskID) bool {
	return a == b || a.StepID == b.StepID && sim.records[a.Job].Job.Steps[a.Step].Gang
}

// checkLateStartHarmless checks that nothing would break if the next incarnation of a pending start's
// worker, not polled by anyone yet, carried out the start now.
func (sim *hall) mayBeCarriedOut(pending keptStart) {
	at := fmt.Sprintf("%d ms after run %d of %s was sent to %s", sim.now.Sub(pending.sentAt).Milliseconds(), pending.Run, pending.Task, pending.Worker)
	for n, w := range sim.there {
		for _, x := range w.active {
			sim.Expect(x.start.Task != pending.Task || n == numberOf(pending.Worker)).To(BeTrue(), "%s, the task runs on %s as run %d", at, w.id, x.start.Run)
		}
	}
	failed := 0
	for _, e := range sim.noted {
		if !sim.ofOneGang(e.Task, pending.Task) {
			continue
		}
		sim.Expect(e.Reason).NotTo(Equal(EndDone), "%s, the end of run %d of %s on %s is acknowledged", at, e.Run, e.Task, e.worker)
		if e.Reason == EndFailed && e.Task == pending.Task {
			failed++
		}
	}
	sim.Expect(failed).To(BeNumerically("<", testQueue.MaxAttempts), "%s, the failures of all attempts are acknowledged", at)
}

// checkNotStartedAgainSince checks that no end with EndDone is acknowledged whose task was started again
// by a late start after that end.
func (sim *hall) checkNotBegunSince(e notedEnd) {
	at := sim.begun[e.Task]
	sim.Expect(e.Reason == EndDone && at > e.endedAt).To(BeFalse(),
		"the end of run %d of %s on %s is acknowledged %d ms after a start of its task was carried out late", e.Run, e.Task, e.worker, sim.now.Sub(at).Milliseconds())
}

// checkNoTaskRunsTwice checks that no task has two runs at once, also on workers that can't be reached.
func (sim *hall) checkNoneRunsTwice() {
	on := map[job.TaskID]WorkerID{}
	for _, n := range slices.Sorted(maps.Keys(sim.there)) {
		for _, x := range sim.there[n].active {
			sim.Expect(on).NotTo(HaveKey(x.start.Task), "%s runs on %s and on %s at once", x.start.Task, on[x.start.Task], sim.there[n].id)
			on[x.start.Task] = sim.there[n].id
		}
	}
}

// expectCompleted lets time pass until a job is shown as completed, and five more ticks in which its
// ends can be acknowledged.
func (sim *hall) isDoneWithin(d time.Duration, id job.ID) {
	for end := sim.now.Add(d); sim.now < end; sim.beats() {
		if state, _, _ := sim.pool.JobState(id); state == job.Completed {
			sim.passes(5 * beat)
			return
		}
	}
	state, _, _ := sim.pool.JobState(id)
	sim.Expect(state).To(Equal(job.Completed), "%s is completed within %s", id, d)
}

// expectStart lets time pass until one more start of a job is ordered, and returns that start.
func (sim *hall) startsWithin(d time.Duration, id job.ID) StartOrder {
	before := len(sim.started)
	for end := sim.now.Add(d); sim.now < end; {
		sim.beats()
		for _, s := range sim.started[before:] {
			if s.Task.Job == id {
				return s
			}
		}
	}
	sim.Expect(sim.started[before:]).NotTo(BeEmpty(), "a start of %s within %s", id, d)
	return StartOrder{}
}

// changeOwner lets another owner take over, which loads the jobs from the store.
func (sim *hall) nextOwner() {
	sim.notes("another owner takes over")
	cfg := sim.pool.cfg
	afterFormerOwner(&cfg)
	sim.pool = New(cfg, sim.now)
	for _, id := range slices.Sorted(maps.Keys(sim.records)) {
		change, stored := sim.stored[id]
		if change.Outcome != "" {
			sim.pool.AddOutcome(id, job.Record{Outcome: change.Outcome, Unended: change.RemainingUse, LateStart: change.LastLateStart}, sim.now)
			continue
		}
		sim.pool.AddJob(sim.records[id], copied(change.Progress), stored, 0, sim.now)
	}
	sim.pool.MarkJobsLoaded()
	for _, n := range slices.Sorted(maps.Keys(sim.there)) {
		sim.lists(sim.there[n].life)
	}
}
