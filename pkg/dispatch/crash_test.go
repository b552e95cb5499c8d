package dispatch

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/crash"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/queue"
	. "github.com/onsi/gomega"
)

// maxConsecutiveCrashes is the number of consecutive crashes after which a task is given up whatever else
// crashed.
const mostCrashes = crash.MaxConsecutiveCrashes

// Guards against a task that crashes one worker after the other. The worker stops answering 10 ms after the
// start, and seconds later another incarnation answers at its address. If the owner treats the run as lost,
// as on an unreachable worker, it starts the task on the next worker, every 3.2 s without end: only runs that
// end as failed count against a task's attempts. Eight such tasks cost a pool of 48 workers 69 workers and
// 609 runs in a minute.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	t.Run("one task", givesUpOneTask)
	t.Run("gang", givesUpGang)
	t.Run("wide step", givesUpWideStep)
	t.Run("service", givesUpLastingTask)
}

func givesUpOneTask(t *testing.T) {
	m := newMachines(t, 4)
	m.add(testJob("bad", testStep(1)))
	m.crashes["bad"] = true
	m.play(60 * time.Second)
	m.Expect(m.outcome("bad")).To(Equal(job.Failed))
	m.Expect(m.lost).To(BeNumerically("<=", 3), "workers crashed by the task")
}

// maxWorkersLostToATask is how many workers one task may crash: after three it may be started twice more.
const mostLost = 5

// Runs beside a task that crashes its worker are lost with it, repeatedly, and must not be blamed for the
// crashes.
func TestNothingIsGivenUpForWhatRanBesideIt(t *testing.T) {
	m := newMachines(t, 4)
	m.add(testJob("bad", testStep(1)))
	m.crashes["bad"] = true
	for n := range 12 {
		m.add(testJob(fmt.Sprintf("good%d", n), testStep(2)))
	}
	m.play(60 * time.Second)
	m.Expect(m.outcome("bad")).To(Equal(job.Failed))
	m.Expect(m.lost).To(BeNumerically("<=", mostLost))
	for n := range 12 {
		m.Expect(m.outcome(job.ID(fmt.Sprintf("good%d", n)))).To(Equal(job.Completed))
	}
}

// An owner knows of a start that it has ordered, and of a crash when it finds the worker terminated. If the
// owner ends between the two, or before it has committed what it found, the next owner knows neither. In this
// test each owner ends a given time after a start of the task, so that no owner sees two crashes.
func TestCrashesAreCountedThoughTheOwnerChangesBetweenThem(t *testing.T) {
	for _, after := range []time.Duration{
		0, 5 * time.Millisecond, 12 * time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond, time.Second,
		2900 * time.Millisecond, 3 * time.Second, 3020 * time.Millisecond, 3060 * time.Millisecond, 3100 * time.Millisecond, 3200 * time.Millisecond,
	} {
		t.Run(after.String(), func(t *testing.T) {
			m := newMachines(t, 4)
			m.add(testJob("bad", testStep(1)))
			m.add(testJob("good", testStep(3)))
			m.crashes["bad"] = true
			m.begun = func(id job.TaskID) {
				if id.Job == "bad" {
					m.later(after, m.elect)
				}
			}
			m.play(120 * time.Second)
			m.Expect(m.outcome("bad")).To(Equal(job.Failed))
			m.Expect(m.outcome("good")).To(Equal(job.Completed))
			m.Expect(m.lost).To(BeNumerically("<=", mostLost))
		})
	}
}

func givesUpGang(t *testing.T) {
	m := newMachines(t, 6)
	gang := testStep(3)
	gang.Gang, gang.MaxPerWorker = true, 1
	m.add(testJob("bad", gang))
	m.crashes["bad"] = true
	m.add(testJob("good", testStep(3)))
	m.play(90 * time.Second)
	m.Expect(m.outcome("bad")).To(Equal(job.Failed))
	m.Expect(m.outcome("good")).To(Equal(job.Completed))
	m.Expect(m.most()).To(BeNumerically("<=", 3), "workers crashed by one member")
}

// All tasks of a wide step crash their workers. After the first round, the step must be tried again on one
// worker and not on all of them.
func givesUpWideStep(t *testing.T) {
	const workers = 8
	m := newMachines(t, workers)
	m.add(testJob("bad", testStep(40)))
	m.crashes["bad"] = true
	m.play(60 * time.Second)
	m.Expect(m.outcome("bad")).To(Equal(job.Failed))
	m.Expect(m.lost).To(BeNumerically("<=", workers+2))
}

func givesUpLastingTask(t *testing.T) {
	m := newMachines(t, 4)
	m.add(testJob("bad", servingStep(2)))
	m.add(testJob("good", servingStep(2)))
	m.crashes["bad"] = true
	m.play(60 * time.Second)
	m.Expect(m.outcome("bad")).To(Equal(job.Failed))
	m.Expect(m.outcome("good")).To(BeEmpty(), "it continues")
	m.Expect(m.most()).To(BeNumerically("<=", mostLost))
}

// Workers crash for reasons of their own, one after the other, some of them shortly after a start. No task is
// the cause.
func TestNothingIsGivenUpForWorkersThatCrashOnTheirOwn(t *testing.T) {
	m := newMachines(t, 6)
	for n := range 20 {
		m.add(testJob(fmt.Sprintf("good%d", n), testStep(3)))
	}
	for n := range 30 {
		m.later(time.Duration(n)*700*time.Millisecond, func() { m.crash(n % 6) })
	}
	m.play(90 * time.Second)
	for n := range 20 {
		m.Expect(m.outcome(job.ID(fmt.Sprintf("good%d", n)))).To(Equal(job.Completed))
	}
}

// Random parts of the pool crash at random times, each worker about every ten seconds, with jobs of all kinds
// running.
func TestNothingIsGivenUpInAStormOfCrashes(t *testing.T) {
	gang := testStep(4)
	gang.Gang = true
	kinds := [][]job.Step{{testStep(1)}, {testStep(3)}, {testStep(12)}, {gang}}
	for _, seed := range drawnSeeds(t, eighth) {
		r := rand.New(rand.NewPCG(seed, 1))
		m := newMachines(t, 10)
		jobs := 0
		for at := time.Duration(0); at < 40*time.Second; at += time.Duration(r.Int64N(int64(2 * time.Second))) {
			m.later(at, func() {
				m.add(testJob(fmt.Sprintf("good%d", jobs), kinds[r.IntN(len(kinds))]...))
				jobs++
			})
		}
		for at := time.Duration(0); at < 40*time.Second; at += time.Duration(r.Int64N(int64(4 * time.Second))) {
			m.later(at, func() {
				share := r.Float64() * 0.6
				for n := range m.workers {
					if r.Float64() < share {
						m.crash(n)
					}
				}
			})
		}
		m.play(120 * time.Second)
		for n := range jobs {
			m.Expect(m.outcome(job.ID(fmt.Sprintf("good%d", n)))).To(Equal(job.Completed), "seed %d, job %d", seed, n)
		}
	}
}

// All workers crash each time that the task has started, as in a power failure.
func TestNothingIsGivenUpForWorkersThatCrashTogether(t *testing.T) {
	m := newMachines(t, 6)
	m.add(testJob("good", testStep(1)))
	crashes := 0
	m.begun = func(job.TaskID) {
		if crashes++; crashes <= 3 {
			m.later(100*time.Millisecond, func() {
				for n := range 6 {
					m.crash(n)
				}
			})
		}
	}
	m.play(90 * time.Second)
	m.Expect(m.outcome("good")).To(Equal(job.Completed))
}

// Workers that are only unreachable don't count as crashed, however often that happens after a start.
func TestNothingIsGivenUpForWorkersThatAreCutOff(t *testing.T) {
	m := newMachines(t, 6)
	m.add(testJob("good", testStep(1)))
	cuts := 0
	m.begun = func(job.TaskID) {
		if cuts++; cuts <= 6 {
			n := m.at
			m.later(20*time.Millisecond, func() { m.workers[n].cut = true })
			m.later(12*time.Second, func() { m.workers[n].cut = false })
		}
	}
	m.play(150 * time.Second)
	m.Expect(m.outcome("good")).To(Equal(job.Completed))
}

// Owners change at random times, a few seconds apart, while tasks of each kind crash their workers beside
// other tasks. Each change may hide a crash that has not been counted.
func TestCrashesAreCountedWhileOwnersChangeAtAnyMoment(t *testing.T) {
	gang := testStep(3)
	gang.Gang = true
	spread := testStep(3)
	spread.Gang, spread.MaxPerWorker = true, 1
	after := testStep(2)
	after.After = []int{0}
	kinds := map[string][]job.Step{
		"one": {testStep(1)}, "wide": {testStep(20)}, "gang": {gang}, "spread gang": {spread}, "service": {servingStep(2)}, "second step": {testStep(1), after},
	}
	for name, steps := range kinds {
		t.Run(name, func(t *testing.T) {
			for _, seed := range drawnSeeds(t, fifteenth) {
				r := rand.New(rand.NewPCG(seed, 0))
				m := newMachines(t, 8)
				m.add(testJob("bad", steps...))
				m.crashes["bad"] = true
				for n := range 4 {
					m.add(testJob(fmt.Sprintf("good%d", n), testStep(3)))
				}
				for at := time.Duration(0); at < 40*time.Second; at += time.Duration(r.Int64N(int64(7 * time.Second))) {
					m.later(at, m.elect)
				}
				m.play(150 * time.Second)
				m.Expect(m.outcome("bad")).To(Equal(job.Failed), "seed %d", seed)
				m.Expect(m.most()).To(BeNumerically("<=", mostLost), "seed %d", seed)
				for n := range 4 {
					m.Expect(m.outcome(job.ID(fmt.Sprintf("good%d", n)))).To(Equal(job.Completed), "seed %d", seed)
				}
			}
		})
	}
}

// crashMachine runs the incarnations of a worker, one after the other.
type machine struct {
	life    int
	downAt  clock.Time // when the current incarnation ended; 0 while it runs
	cut     bool
	runs    map[job.TaskID]machineRun
	ends    []FinishedRun
	lastEnd int64
}

type machineRun struct {
	number int
	endsAt clock.Time
}

// crashCluster simulates workers on machines, a store and successive owners. Each call to a worker that is up
// and reachable is answered at once.
type machines struct {
	*WithT
	now      clock.Time
	pool     *Pool
	term     int64
	records  map[job.ID]job.Record
	progress map[job.ID]job.Progress
	outcomes map[job.ID]job.State
	roster   []WorkerInfo
	workers  []*machine
	asked    []clock.Time
	timers   []call
	crashes  map[job.ID]bool // jobs whose tasks crash their workers
	lost     int             // workers crashed by such tasks
	under    map[job.TaskID]int
	begun    func(job.TaskID) // called after each start of a task
	at       int              // machine of the last start
	elected  bool             // whether another owner takes over after this step
}

const (
	crashAfter = 10 * time.Millisecond
	downFor    = 3 * time.Second
	runFor     = 2 * time.Second
	holdEvery  = 200 * time.Millisecond
	commitSpan = 40 * time.Millisecond
)

func newMachines(t *testing.T, n int) *machines {
	m := &machines{
		WithT: NewWithT(t), now: 100_000, records: map[job.ID]job.Record{}, progress: map[job.ID]job.Progress{},
		outcomes: map[job.ID]job.State{}, crashes: map[job.ID]bool{}, under: map[job.TaskID]int{}, asked: make([]clock.Time, n),
		begun: func(job.TaskID) {},
	}
	for range n {
		m.workers = append(m.workers, &machine{life: 1, runs: map[job.TaskID]machineRun{}})
	}
	m.newOwner()
	return m
}

func (m *machines) id(n int) WorkerID {
	return WorkerID(fmt.Sprintf("m%d-%d", n, m.workers[n].life))
}

func (m *machines) info(n int) WorkerInfo {
	return WorkerInfo{
		ID: m.id(n), Pool: "pool", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80),
		Capacity: cell.Resources{CPUMillis: 4000, MemoryMB: 8000},
	}
}

func (m *machines) later(d time.Duration, do func()) {
	m.timers = append(m.timers, call{at: m.now.Add(d), do: do})
}

// changeOwner has another owner take over before the next step.
func (m *machines) elect() {
	m.elected = true
}

// createOwner replaces the owner by one that loads its state from the store. The previous one has certainly
// ended.
func (m *machines) newOwner() {
	m.term++
	m.pool = New(Config{
		LeaseDuration: 5700 * time.Millisecond, MaxLeaseDuration: 5700 * time.Millisecond, MinDrainTime: time.Second, StopGrace: 400 * time.Millisecond,
		Token: m.term << 20, Term: m.term, RunNumberBase: int(m.term) * 1000, HasPreviousOwner: m.term > 1,
		WallClock: func() time.Time { return time.Unix(1_700_000_000, 0) }, Log: func(Event) {},
	}, m.now)
	m.pool.SetConfig(queue.NewConfig(1, []queue.Queue{testQueue}, nil))
	for n, w := range m.workers {
		if w.downAt == 0 || m.now.Sub(w.downAt) < downFor {
			m.pool.UpsertWorker(m.info(n), true, m.now)
		}
	}
	for _, w := range m.roster {
		if w.Crashed {
			m.pool.RecordUncountedCrash(w)
			continue
		}
		if !slices.ContainsFunc(m.pool.Workers(), func(x WorkerInfo) bool { return x.ID == w.ID }) {
			m.pool.UpsertWorker(w, false, m.now)
		}
	}
	for id, r := range m.records {
		if outcome, ended := m.outcomes[id]; ended {
			m.pool.AddOutcome(id, job.Record{Outcome: outcome}, m.now)
			continue
		}
		p, stored := m.progress[id]
		m.pool.AddJob(r, p, stored, 0, m.now)
	}
	m.pool.MarkJobsLoaded()
	m.writeRoster()
}

func (m *machines) writeRoster() {
	m.roster = m.pool.Roster()
	for _, w := range m.roster {
		m.pool.MarkInRoster([]WorkerID{w.ID})
	}
}

func (m *machines) add(r job.Record) {
	r.Term = m.term
	m.records[r.Job.ID] = r
	m.pool.AddJob(r, job.Progress{}, false, 0, m.now)
}

func (m *machines) outcome(id job.ID) job.State {
	return m.outcomes[id]
}

// maxCrashesByTask is the largest number of workers that one task has crashed.
func (m *machines) most() int {
	most := 0
	for _, n := range m.under {
		most = max(most, n)
	}
	return most
}

func (m *machines) play(d time.Duration) {
	const step = 5 * time.Millisecond
	next := m.now
	for end := m.now.Add(d); m.now < end; m.now = m.now.Add(step) {
		m.runTimers()
		for n := range m.workers {
			m.advance(n)
			m.hold(n)
		}
		m.plan()
		if m.elected {
			m.elected = false
			m.newOwner()
		}
		if m.now >= next {
			next = m.now.Add(commitSpan)
			m.commit()
		}
	}
}

func (m *machines) runTimers() {
	due := slices.DeleteFunc(slices.Clone(m.timers), func(c call) bool { return c.at > m.now })
	m.timers = slices.DeleteFunc(m.timers, func(c call) bool { return c.at <= m.now })
	for _, c := range due {
		c.do()
	}
}

// crash ends the current incarnation of a worker; the next one starts after machineRestartTime.
func (m *machines) crash(n int) {
	w := m.workers[n]
	if w.downAt != 0 {
		return
	}
	w.downAt = m.now
	w.runs, w.ends, w.lastEnd = map[job.TaskID]machineRun{}, nil, 0
	m.later(downFor, func() {
		m.pool.RemoveEntry(m.id(n), false, m.now)
		w.life++
		w.downAt = 0
		m.pool.UpsertWorker(m.info(n), true, m.now)
		m.writeRoster()
	})
}

// endDueRuns ends the runs of a machine that have run for machineRunTime, except those of services.
func (m *machines) advance(n int) {
	w := m.workers[n]
	for id, r := range w.runs {
		if m.now >= r.endsAt && !m.records[id.Job].Job.Steps[id.Step].LongRunning {
			m.end(n, id, EndDone)
		}
	}
}

// endRun ends a run; the worker reports the end until it is acknowledged.
func (m *machines) end(n int, id job.TaskID, reason EndReason) {
	w := m.workers[n]
	w.lastEnd++
	w.ends = append(w.ends, FinishedRun{Number: w.lastEnd, Task: id, Run: w.runs[id].number, Reason: reason})
	delete(w.runs, id)
}

// locate returns the machine of a worker and the number of its incarnation.
func (m *machines) find(id WorkerID) (n, incarnation int) {
	_, _ = fmt.Sscanf(string(id), "m%d-%d", &n, &incarnation)
	return n, incarnation
}

// poll polls a worker, and the earlier incarnations at its address that the owner still knows.
func (m *machines) hold(n int) {
	w := m.workers[n]
	if m.now < m.asked[n] {
		return
	}
	m.asked[n] = m.now.Add(holdEvery)
	for incarnation := max(1, w.life-2); incarnation <= w.life; incarnation++ {
		id := WorkerID(fmt.Sprintf("m%d-%d", n, incarnation))
		order, ok := m.pool.NewPoll(id, false, true, m.now)
		switch {
		case !ok || w.downAt != 0 || w.cut:
		case incarnation < w.life:
			m.pool.HandlePollAnswer(order, Answer{Verdict: VerdictWrongWorker}, Report{}, m.now)
		default:
			w.ends = slices.DeleteFunc(w.ends, func(f FinishedRun) bool { return f.Number <= order.AckedEnd })
			report := Report{Finished: slices.Clone(w.ends)}
			for id, r := range w.runs {
				report.Active = append(report.Active, ActiveRun{Task: id, Run: r.number, Percent: 50})
			}
			m.pool.HandlePollAnswer(order, Answer{Verdict: VerdictDone, Clock: int64(m.now)}, report, m.now)
		}
	}
}

func (m *machines) plan() {
	m.pool.RecordOwnershipConfirmed(m.now)
	actions := m.pool.Plan(m.now, true)
	for _, s := range actions.Stops {
		n, _ := m.find(s.Worker)
		if r, ok := m.workers[n].runs[s.Task]; ok && r.number == s.Run {
			m.end(n, s.Task, EndStopped)
		}
	}
	for _, s := range actions.Starts {
		n, incarnation := m.find(s.Worker)
		w := m.workers[n]
		if w.downAt != 0 || w.cut || incarnation != w.life {
			m.pool.HandleStartAnswer(s, Answer{}, fmt.Errorf("no answer"), m.now)
			continue
		}
		w.runs[s.Task] = machineRun{number: s.Run, endsAt: m.now.Add(runFor)}
		m.pool.HandleStartAnswer(s, Answer{Verdict: VerdictDone, Clock: int64(m.now)}, nil, m.now)
		m.at = n
		m.begun(s.Task)
		if m.crashes[s.Task.Job] {
			m.later(crashAfter, func() { m.crashUnder(n, s.Task) })
		}
	}
}

func (m *machines) crashUnder(n int, id job.TaskID) {
	if m.workers[n].downAt == 0 {
		m.lost++
		m.under[id]++
	}
	m.crash(n)
}

func (m *machines) commit() {
	c := m.pool.PrepareCommit()
	if c.IsEmpty() {
		return
	}
	for _, change := range c.Changes {
		if change.Outcome != "" {
			m.outcomes[change.Job] = change.Outcome
		} else {
			m.progress[change.Job] = change.Progress
		}
	}
	m.pool.ApplyCommit(c)
}
