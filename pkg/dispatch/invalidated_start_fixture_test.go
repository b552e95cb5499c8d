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
type poolSim struct {
	*fixture
	t         *testing.T
	startedAt clock.Time
	workers   map[int]*simWorker
	// jobs has the submitted jobs, as the store keeps them.
	jobs      map[job.ID]job.Record
	committed map[job.ID]JobChange // the last committed change of each job
	// runTimes says how long the runs of a job take (default: a second), and endReasons how they end
	// (default: EndDone).
	runTimes   map[job.ID]time.Duration
	endReasons map[job.ID]EndReason
	// losesAnswer says which starts get no answer; these become pending.
	losesAnswer     func(StartOrder) bool
	callsStayOpen   bool // the calls of starts without an answer stay open: the pool gets no error for them
	pendingStarts   []pendingStart
	firstUnanswered StartOrder                // the first start without an answer
	lateStartedAt   map[job.TaskID]clock.Time // when a pending start was carried out late
	ackedEnds       []ackedEnd
	runEnds         map[runKey]EndReason // of all runs that have ended
	orderedStarts   []StartOrder         // all starts that the pool ordered, in order
}

const (
	tickInterval   = 100 * time.Millisecond
	gangMemberWait = 7 * time.Second // how long a gang member waits for the others before it gives up
)

// simWorker is the live incarnation of a worker.
type simWorker struct {
	testIncarnation
	token       int64
	active      []simRun
	finished    []FinishedRun
	endedAt     map[int64]clock.Time
	lastEnd     int64
	stopping    map[job.TaskID]bool // tasks that are to stop
	unreachable bool                // no call reaches the worker
}

type simRun struct {
	start             StartOrder
	startedAt, endsAt clock.Time
}

type pendingStart struct {
	StartOrder
	sentAt clock.Time
}

type ackedEnd struct {
	FinishedRun
	worker  WorkerID
	endedAt clock.Time
}

func newPoolSim(t *testing.T, workers int) *poolSim {
	sim := &poolSim{
		t: t, workers: map[int]*simWorker{}, jobs: map[job.ID]job.Record{}, committed: map[job.ID]JobChange{},
		runTimes: map[job.ID]time.Duration{}, endReasons: map[job.ID]EndReason{}, lateStartedAt: map[job.TaskID]clock.Time{}, runEnds: map[runKey]EndReason{}, losesAnswer: func(StartOrder) bool { return false },
	}
	sim.fixture = newFixture(t, 0, func(c *Config) {
		log := c.Log
		c.Log = func(e Event) {
			log(e)
			sim.logEvent(e)
		}
	})
	sim.startedAt = sim.now
	for n := range workers {
		sim.addIncarnation(firstIncarnation(n))
	}
	sim.advanceTicks(2 * tickInterval)
	return sim
}

// addIncarnation starts an incarnation and writes its entry.
func (sim *poolSim) addIncarnation(inc testIncarnation) {
	sim.addIncarnationWithoutEntry(inc)
	sim.addEntry(inc)
}

// addIncarnationWithoutEntry starts an incarnation that has not written its entry yet.
func (sim *poolSim) addIncarnationWithoutEntry(inc testIncarnation) {
	sim.logf("%s begins", inc.id)
	sim.workers[inc.workerNumber] = &simWorker{testIncarnation: inc, endedAt: map[int64]clock.Time{}, stopping: map[job.TaskID]bool{}}
}

// crashWorker ends the live incarnation of worker n.
func (sim *poolSim) crashWorker(n int) {
	sim.logf("%s crashes", workerID(n))
	delete(sim.workers, n)
}

func (sim *poolSim) submit(r job.Record) {
	sim.jobs[r.Job.ID] = r
	sim.add(r)
}

// advanceTicks lets time pass in whole ticks, at least one.
func (sim *poolSim) advanceTicks(d time.Duration) {
	for end := sim.now.Add(d); sim.now < end; {
		sim.tick()
	}
}

// logf logs an event with the time since the simulation began, so that a failure shows the order of
// events.
func (sim *poolSim) logf(format string, args ...any) {
	sim.t.Logf("%6.3f s: "+format, append([]any{sim.now.Sub(sim.startedAt).Seconds()}, args...)...)
}

// logEvent logs what the pool decides about incarnations and invalidated starts.
func (sim *poolSim) logEvent(e Event) {
	switch e.Name {
	case "start_void":
		sim.logf("run %d of %s is invalidated on %s", e.Run, e.Task, e.Worker)
	case "worker_started_again", "worker_lapsed", "worker_gone", "run_adopted", "job_ended":
		sim.logf("%s %s %s", e.Name, e.Worker, e.Detail)
	}
}

func (sim *poolSim) tick() {
	next := sim.now.Add(tickInterval)
	for _, n := range slices.Sorted(maps.Keys(sim.workers)) {
		sim.endDueRuns(sim.workers[n])
	}
	for _, w := range sim.pool.Workers() {
		sim.pollWorker(w.ID, false)
	}
	sim.executeActions(sim.plan())
	if !sim.storeUnreachable {
		sim.commitAll()
	}
	sim.pool.InspectRuns(sim.now)
	if sim.now < next {
		sim.advance(next.Sub(sim.now))
	}
	sim.checkNoTaskRunsTwice()
	for _, pending := range sim.pendingStarts {
		if sim.now.Sub(pending.sentAt) <= maxOrderDelay {
			sim.checkLateStartHarmless(pending)
		}
	}
}

func (sim *poolSim) commitAll() {
	c := sim.pool.PrepareCommit()
	for _, change := range c.Changes {
		sim.committed[change.Job] = change
	}
	sim.pool.ApplyCommit(c)
}

// endDueRuns ends the runs of a worker whose time is over.
func (sim *poolSim) endDueRuns(w *simWorker) {
	for i := range w.active {
		if x := &w.active[i]; !sim.gangComplete(x.start) {
			x.endsAt = x.endsAt.Add(tickInterval) // the run waits for the other members of its gang
		}
	}
	w.active = slices.DeleteFunc(w.active, func(x simRun) bool {
		how := EndDone
		final, given := sim.endReasons[x.start.Task.Job]
		switch {
		case w.stopping[x.start.Task]:
			how = EndStopped
		case !sim.gangComplete(x.start) && sim.now.Sub(x.startedAt) > gangMemberWait:
			how = EndGangIncomplete
		case sim.now < x.endsAt:
			return false
		case given:
			how = final
		}
		w.lastEnd++
		w.finished = append(w.finished, FinishedRun{Number: w.lastEnd, Task: x.start.Task, Run: x.start.Run, Reason: how})
		w.endedAt[w.lastEnd] = sim.now
		sim.runEnds[runKey{x.start.Task, x.start.Run}] = how
		sim.logf("%s: run %d of %s ends as %s", w.id, x.start.Run, x.start.Task, how)
		return true
	})
	clear(w.stopping)
}

// gangComplete reports whether all members of a start's gang are running, or done, under the number of
// that run. It is true for tasks without a gang.
func (sim *poolSim) gangComplete(s StartOrder) bool {
	step := sim.jobs[s.Task.Job].Job.Steps[s.Task.Step]
	if !step.Gang {
		return true
	}
	present := map[int]bool{}
	for i := range step.Count {
		present[i] = sim.runEnds[runKey{job.TaskID{StepID: s.Task.StepID, Index: i}, s.Run}] == EndDone
	}
	for _, w := range sim.workers {
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

// pollWorker polls a worker; its live incarnation answers.
func (sim *poolSim) pollWorker(id WorkerID, raise bool) {
	o, ok := sim.pool.NewPoll(id, raise, true, sim.now)
	if !ok {
		return
	}
	sim.advance(time.Millisecond)
	w := sim.workers[workerNumber(id)]
	if w == nil || w.unreachable {
		sim.pool.HandlePollFailure(id, sim.now)
		return
	}
	if o.Token < w.token {
		sim.pool.HandlePollAnswer(o, Answer{Verdict: VerdictFenced, Clock: sim.workerClock - w.clockLag}, Report{IncarnationStart: w.startedAt}, sim.now)
		return
	}
	w.token = o.Token
	w.finished = slices.DeleteFunc(w.finished, func(f FinishedRun) bool {
		if f.Number > o.AckedEnd {
			return false
		}
		sim.logf("the end of run %d of %s as %s on %s is acknowledged", f.Run, f.Task, f.Reason, w.id)
		sim.ackedEnds = append(sim.ackedEnds, ackedEnd{f, w.id, w.endedAt[f.Number]})
		sim.checkNotStartedAgainSince(sim.ackedEnds[len(sim.ackedEnds)-1])
		return true
	})
	report := Report{Finished: slices.Clone(w.finished)}
	for _, x := range w.active {
		row := activeRunOf(x.start)
		row.Percent = int(100 * sim.now.Sub(x.startedAt) / x.endsAt.Sub(x.startedAt))
		report.Active = append(report.Active, row)
	}
	sim.answerPoll(o, w.testIncarnation, report)
}

func (sim *poolSim) executeActions(a Actions) {
	for _, s := range a.Stops {
		if w := sim.workers[workerNumber(s.Worker)]; w != nil && w.id == s.Worker && s.Token >= w.token {
			w.stopping[s.Task] = true
		}
	}
	for _, s := range a.Starts {
		sim.sendStart(s)
	}
	for _, call := range a.AdviceCalls {
		var tickets []Ticket
		for _, target := range call.Workers {
			tickets = append(tickets, Ticket{target, "of " + string(target)})
		}
		sim.pool.HandleAdviceAnswer(call.Number, tickets, true, sim.now)
	}
	for _, id := range a.FenceWorkers {
		sim.pollWorker(id, true)
	}
}

func (sim *poolSim) sendStart(s StartOrder) {
	sim.orderedStarts = append(sim.orderedStarts, s)
	w := sim.workers[workerNumber(s.Worker)]
	switch {
	case sim.losesAnswer(s):
		sim.logf("run %d of %s is sent to %s, without an answer", s.Run, s.Task, s.Worker)
		if len(sim.pendingStarts) == 0 && sim.firstUnanswered.Task.Job == "" {
			sim.firstUnanswered = s
		}
		sim.pendingStarts = append(sim.pendingStarts, pendingStart{s, sim.now})
		if !sim.callsStayOpen {
			sim.failStart(s)
		}
	case w == nil || w.id != s.Worker:
		sim.pool.HandleStartAnswer(s, Answer{}, ErrNotSent, sim.now)
	case sim.executeStart(w, s):
		sim.logf("run %d of %s begins on %s", s.Run, s.Task, s.Worker)
		sim.acceptFrom(s, w.testIncarnation)
	default:
		sim.pool.HandleStartAnswer(s, Answer{Verdict: VerdictFenced, Clock: sim.workerClock - w.clockLag}, nil, sim.now)
	}
}

// executeStart has a worker carry out a start, unless the worker has seen a higher token. It reports
// whether the start was carried out.
func (sim *poolSim) executeStart(w *simWorker, s StartOrder) bool {
	if s.Token < w.token {
		return false
	}
	w.token = s.Token
	takes, given := sim.runTimes[s.Task.Job]
	if !given {
		takes = time.Second
	}
	w.active = append(w.active, simRun{s, sim.now, sim.now.Add(takes)})
	return true
}

// executeLate has the live incarnation carry out a pending start, which is then no longer pending. It
// reports whether the start was carried out.
func (sim *poolSim) executeLate(pending pendingStart) bool {
	sim.Expect(sim.now.Sub(pending.sentAt)).To(BeNumerically("<=", maxOrderDelay), "the start may still be carried out")
	if !sim.executeStart(sim.workers[workerNumber(pending.Worker)], pending.StartOrder) {
		return false
	}
	sim.logf("%s carries out the start of run %d of %s", sim.workers[workerNumber(pending.Worker)].id, pending.Run, pending.Task)
	sim.checkLateStartHarmless(pending)
	sim.pendingStarts = slices.DeleteFunc(sim.pendingStarts, func(o pendingStart) bool { return o == pending })
	sim.lateStartedAt[pending.Task] = sim.now
	return true
}

// inSameGang reports whether two tasks are the same or members of one gang.
func (sim *poolSim) inSameGang(a, b job.TaskID) bool {
	return a == b || a.StepID == b.StepID && sim.jobs[a.Job].Job.Steps[a.Step].Gang
}

// checkLateStartHarmless checks that nothing would break if the next incarnation of a pending start's
// worker, not polled by anyone yet, carried out the start now.
func (sim *poolSim) checkLateStartHarmless(pending pendingStart) {
	at := fmt.Sprintf("%d ms after run %d of %s was sent to %s", sim.now.Sub(pending.sentAt).Milliseconds(), pending.Run, pending.Task, pending.Worker)
	for n, w := range sim.workers {
		for _, x := range w.active {
			sim.Expect(x.start.Task != pending.Task || n == workerNumber(pending.Worker)).To(BeTrue(), "%s, the task runs on %s as run %d", at, w.id, x.start.Run)
		}
	}
	failed := 0
	for _, e := range sim.ackedEnds {
		if !sim.inSameGang(e.Task, pending.Task) {
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
func (sim *poolSim) checkNotStartedAgainSince(e ackedEnd) {
	at := sim.lateStartedAt[e.Task]
	sim.Expect(e.Reason == EndDone && at > e.endedAt).To(BeFalse(),
		"the end of run %d of %s on %s is acknowledged %d ms after a start of its task was carried out late", e.Run, e.Task, e.worker, sim.now.Sub(at).Milliseconds())
}

// checkNoTaskRunsTwice checks that no task has two runs at once, also on workers that can't be reached.
func (sim *poolSim) checkNoTaskRunsTwice() {
	on := map[job.TaskID]WorkerID{}
	for _, n := range slices.Sorted(maps.Keys(sim.workers)) {
		for _, x := range sim.workers[n].active {
			sim.Expect(on).NotTo(HaveKey(x.start.Task), "%s runs on %s and on %s at once", x.start.Task, on[x.start.Task], sim.workers[n].id)
			on[x.start.Task] = sim.workers[n].id
		}
	}
}

// expectCompleted lets time pass until a job is shown as completed, and five more ticks in which its
// ends can be acknowledged.
func (sim *poolSim) expectCompleted(d time.Duration, id job.ID) {
	for end := sim.now.Add(d); sim.now < end; sim.tick() {
		if state, _, _ := sim.pool.JobState(id); state == job.Completed {
			sim.advanceTicks(5 * tickInterval)
			return
		}
	}
	state, _, _ := sim.pool.JobState(id)
	sim.Expect(state).To(Equal(job.Completed), "%s is completed within %s", id, d)
}

// expectStart lets time pass until one more start of a job is ordered, and returns that start.
func (sim *poolSim) expectStart(d time.Duration, id job.ID) StartOrder {
	before := len(sim.orderedStarts)
	for end := sim.now.Add(d); sim.now < end; {
		sim.tick()
		for _, s := range sim.orderedStarts[before:] {
			if s.Task.Job == id {
				return s
			}
		}
	}
	sim.Expect(sim.orderedStarts[before:]).NotTo(BeEmpty(), "a start of %s within %s", id, d)
	return StartOrder{}
}

// changeOwner lets another owner take over, which loads the jobs from the store.
func (sim *poolSim) changeOwner() {
	sim.logf("another owner takes over")
	cfg := sim.pool.cfg
	afterPreviousOwner(&cfg)
	sim.pool = New(cfg, sim.now)
	for _, id := range slices.Sorted(maps.Keys(sim.jobs)) {
		change, stored := sim.committed[id]
		if change.Outcome != "" {
			sim.pool.AddOutcome(id, job.Record{Outcome: change.Outcome, RemainingUse: change.RemainingUse, LastLateStart: change.LastLateStart}, sim.now)
			continue
		}
		sim.pool.AddJob(sim.jobs[id], copyProgress(change.Progress), stored, 0, sim.now)
	}
	sim.pool.MarkJobsLoaded()
	for _, n := range slices.Sorted(maps.Keys(sim.workers)) {
		sim.addEntry(sim.workers[n].testIncarnation)
	}
}
