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
const maxConsecutiveCrashes = crash.MaxConsecutiveCrashes

// Guards against a task that crashes one worker after the other. The worker stops answering 10 ms after the
// start, and seconds later another incarnation answers at its address. If the owner treats the run as lost,
// as on an unreachable worker, it starts the task on the next worker, every 3.2 s without end: only runs that
// end as failed count against a task's attempts. Eight such tasks cost a pool of 48 workers 69 workers and
// 609 runs in a minute.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	t.Run("one task", testGivesUpSingleTask)
	t.Run("gang", testGivesUpGang)
	t.Run("wide step", testGivesUpWideStep)
	t.Run("service", testGivesUpService)
}

func testGivesUpSingleTask(t *testing.T) {
	m := newCrashCluster(t, 4)
	m.add(testJob("bad", testStep(1)))
	m.crashingJobs["bad"] = true
	m.simulate(60 * time.Second)
	m.Expect(m.outcome("bad")).To(Equal(job.Failed))
	m.Expect(m.workersLost).To(BeNumerically("<=", 3), "workers crashed by the task")
}

// maxWorkersLostToATask is how many workers one task may crash: after three it may be started twice more.
const maxWorkersLostToATask = 5

// Runs beside a task that crashes its worker are lost with it, repeatedly, and must not be blamed for the
// crashes.
func TestNothingIsGivenUpForCrashesOfOtherTasks(t *testing.T) {
	m := newCrashCluster(t, 4)
	m.add(testJob("bad", testStep(1)))
	m.crashingJobs["bad"] = true
	for n := range 12 {
		m.add(testJob(fmt.Sprintf("good%d", n), testStep(2)))
	}
	m.simulate(60 * time.Second)
	m.Expect(m.outcome("bad")).To(Equal(job.Failed))
	m.Expect(m.workersLost).To(BeNumerically("<=", maxWorkersLostToATask))
	for n := range 12 {
		m.Expect(m.outcome(job.ID(fmt.Sprintf("good%d", n)))).To(Equal(job.Completed))
	}
}

// An owner knows of a start that it has ordered, and of a crash when it finds the worker terminated. If the
// owner ends between the two, or before it has committed what it found, the next owner knows neither. In this
// test each owner ends a given time after a start of the task, so that no owner sees two crashes.
func TestCrashesAreCountedWhenTheOwnerChangesBetweenThem(t *testing.T) {
	for _, after := range []time.Duration{
		0, 5 * time.Millisecond, 12 * time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond, time.Second,
		2900 * time.Millisecond, 3 * time.Second, 3020 * time.Millisecond, 3060 * time.Millisecond, 3100 * time.Millisecond, 3200 * time.Millisecond,
	} {
		t.Run(after.String(), func(t *testing.T) {
			m := newCrashCluster(t, 4)
			m.add(testJob("bad", testStep(1)))
			m.add(testJob("good", testStep(3)))
			m.crashingJobs["bad"] = true
			m.onTaskStart = func(id job.TaskID) {
				if id.Job == "bad" {
					m.schedule(after, m.changeOwner)
				}
			}
			m.simulate(120 * time.Second)
			m.Expect(m.outcome("bad")).To(Equal(job.Failed))
			m.Expect(m.outcome("good")).To(Equal(job.Completed))
			m.Expect(m.workersLost).To(BeNumerically("<=", maxWorkersLostToATask))
		})
	}
}

func testGivesUpGang(t *testing.T) {
	m := newCrashCluster(t, 6)
	gang := testStep(3)
	gang.Gang, gang.MaxPerWorker = true, 1
	m.add(testJob("bad", gang))
	m.crashingJobs["bad"] = true
	m.add(testJob("good", testStep(3)))
	m.simulate(90 * time.Second)
	m.Expect(m.outcome("bad")).To(Equal(job.Failed))
	m.Expect(m.outcome("good")).To(Equal(job.Completed))
	m.Expect(m.maxCrashesByTask()).To(BeNumerically("<=", 3), "workers crashed by one member")
}

// All tasks of a wide step crash their workers. After the first round, the step must be tried again on one
// worker and not on all of them.
func testGivesUpWideStep(t *testing.T) {
	const workers = 8
	m := newCrashCluster(t, workers)
	m.add(testJob("bad", testStep(40)))
	m.crashingJobs["bad"] = true
	m.simulate(60 * time.Second)
	m.Expect(m.outcome("bad")).To(Equal(job.Failed))
	m.Expect(m.workersLost).To(BeNumerically("<=", workers+2))
}

func testGivesUpService(t *testing.T) {
	m := newCrashCluster(t, 4)
	m.add(testJob("bad", serviceStep(2)))
	m.add(testJob("good", serviceStep(2)))
	m.crashingJobs["bad"] = true
	m.simulate(60 * time.Second)
	m.Expect(m.outcome("bad")).To(Equal(job.Failed))
	m.Expect(m.outcome("good")).To(BeEmpty(), "it continues")
	m.Expect(m.maxCrashesByTask()).To(BeNumerically("<=", maxWorkersLostToATask))
}

// Workers crash for reasons of their own, one after the other, some of them shortly after a start. No task is
// the cause.
func TestNothingIsGivenUpForWorkersThatCrashOnTheirOwn(t *testing.T) {
	m := newCrashCluster(t, 6)
	for n := range 20 {
		m.add(testJob(fmt.Sprintf("good%d", n), testStep(3)))
	}
	for n := range 30 {
		m.schedule(time.Duration(n)*700*time.Millisecond, func() { m.crash(n % 6) })
	}
	m.simulate(90 * time.Second)
	for n := range 20 {
		m.Expect(m.outcome(job.ID(fmt.Sprintf("good%d", n)))).To(Equal(job.Completed))
	}
}

// Random parts of the pool crash at random times, each worker about every ten seconds, with jobs of all kinds
// running.
func TestNothingIsGivenUpDuringManyUnrelatedCrashes(t *testing.T) {
	gang := testStep(4)
	gang.Gang = true
	kinds := [][]job.Step{{testStep(1)}, {testStep(3)}, {testStep(12)}, {gang}}
	for _, seed := range selectSeeds(t, eighthOfSeeds) {
		r := rand.New(rand.NewPCG(seed, 1))
		m := newCrashCluster(t, 10)
		jobs := 0
		for at := time.Duration(0); at < 40*time.Second; at += time.Duration(r.Int64N(int64(2 * time.Second))) {
			m.schedule(at, func() {
				m.add(testJob(fmt.Sprintf("good%d", jobs), kinds[r.IntN(len(kinds))]...))
				jobs++
			})
		}
		for at := time.Duration(0); at < 40*time.Second; at += time.Duration(r.Int64N(int64(4 * time.Second))) {
			m.schedule(at, func() {
				share := r.Float64() * 0.6
				for n := range m.machines {
					if r.Float64() < share {
						m.crash(n)
					}
				}
			})
		}
		m.simulate(120 * time.Second)
		for n := range jobs {
			m.Expect(m.outcome(job.ID(fmt.Sprintf("good%d", n)))).To(Equal(job.Completed), "seed %d, job %d", seed, n)
		}
	}
}

// All workers crash each time that the task has started, as in a power failure.
func TestNothingIsGivenUpForCoincidingCrashes(t *testing.T) {
	m := newCrashCluster(t, 6)
	m.add(testJob("good", testStep(1)))
	crashes := 0
	m.onTaskStart = func(job.TaskID) {
		if crashes++; crashes <= 3 {
			m.schedule(100*time.Millisecond, func() {
				for n := range 6 {
					m.crash(n)
				}
			})
		}
	}
	m.simulate(90 * time.Second)
	m.Expect(m.outcome("good")).To(Equal(job.Completed))
}

// Workers that are only unreachable don't count as crashed, however often that happens after a start.
func TestNothingIsGivenUpForUnreachableWorkers(t *testing.T) {
	m := newCrashCluster(t, 6)
	m.add(testJob("good", testStep(1)))
	cuts := 0
	m.onTaskStart = func(job.TaskID) {
		if cuts++; cuts <= 6 {
			n := m.lastStartMachine
			m.schedule(20*time.Millisecond, func() { m.machines[n].unreachable = true })
			m.schedule(12*time.Second, func() { m.machines[n].unreachable = false })
		}
	}
	m.simulate(150 * time.Second)
	m.Expect(m.outcome("good")).To(Equal(job.Completed))
}

// Owners change at random times, a few seconds apart, while tasks of each kind crash their workers beside
// other tasks. Each change may hide a crash that has not been counted.
func TestCrashesAreCountedWhenOwnersChangeAtRandomTimes(t *testing.T) {
	gang := testStep(3)
	gang.Gang = true
	spread := testStep(3)
	spread.Gang, spread.MaxPerWorker = true, 1
	after := testStep(2)
	after.After = []int{0}
	kinds := map[string][]job.Step{
		"one": {testStep(1)}, "wide": {testStep(20)}, "gang": {gang}, "spread gang": {spread}, "service": {serviceStep(2)}, "second step": {testStep(1), after},
	}
	for name, steps := range kinds {
		t.Run(name, func(t *testing.T) {
			for _, seed := range selectSeeds(t, fifteenthOfSeeds) {
				r := rand.New(rand.NewPCG(seed, 0))
				m := newCrashCluster(t, 8)
				m.add(testJob("bad", steps...))
				m.crashingJobs["bad"] = true
				for n := range 4 {
					m.add(testJob(fmt.Sprintf("good%d", n), testStep(3)))
				}
				for at := time.Duration(0); at < 40*time.Second; at += time.Duration(r.Int64N(int64(7 * time.Second))) {
					m.schedule(at, m.changeOwner)
				}
				m.simulate(150 * time.Second)
				m.Expect(m.outcome("bad")).To(Equal(job.Failed), "seed %d", seed)
				m.Expect(m.maxCrashesByTask()).To(BeNumerically("<=", maxWorkersLostToATask), "seed %d", seed)
				for n := range 4 {
					m.Expect(m.outcome(job.ID(fmt.Sprintf("good%d", n)))).To(Equal(job.Completed), "seed %d", seed)
				}
			}
		})
	}
}

// crashMachine runs the incarnations of a worker, one after the other.
type crashMachine struct {
	incarnation   int
	crashedAt     clock.Time // when the current incarnation ended; 0 while it runs
	unreachable   bool
	runs          map[job.TaskID]crashMachineRun
	unackedEnds   []FinishedRun
	lastEndNumber int64
}

type crashMachineRun struct {
	number int
	endsAt clock.Time
}

// crashCluster simulates workers on machines, a store and successive owners. Each call to a worker that is up
// and reachable is answered at once.
type crashCluster struct {
	*WithT
	now              clock.Time
	pool             *Pool
	term             int64
	records          map[job.ID]job.Record
	progress         map[job.ID]job.Progress
	outcomes         map[job.ID]job.State
	roster           []WorkerInfo
	machines         []*crashMachine
	nextPollAt       []clock.Time
	timers           []delayedCall
	crashingJobs     map[job.ID]bool // jobs whose tasks crash their workers
	workersLost      int             // workers crashed by such tasks
	crashesByTask    map[job.TaskID]int
	onTaskStart      func(job.TaskID) // called after each start of a task
	lastStartMachine int              // machine of the last start
	ownerChangeDue   bool             // whether another owner takes over after this step
}

const (
	taskCrashDelay      = 10 * time.Millisecond
	machineRestartTime  = 3 * time.Second
	machineRunTime      = 2 * time.Second
	machinePollInterval = 200 * time.Millisecond
	crashCommitInterval = 40 * time.Millisecond
)

func newCrashCluster(t *testing.T, n int) *crashCluster {
	m := &crashCluster{
		WithT: NewWithT(t), now: 100_000, records: map[job.ID]job.Record{}, progress: map[job.ID]job.Progress{},
		outcomes: map[job.ID]job.State{}, crashingJobs: map[job.ID]bool{}, crashesByTask: map[job.TaskID]int{}, nextPollAt: make([]clock.Time, n),
		onTaskStart: func(job.TaskID) {},
	}
	for range n {
		m.machines = append(m.machines, &crashMachine{incarnation: 1, runs: map[job.TaskID]crashMachineRun{}})
	}
	m.createOwner()
	return m
}

func (m *crashCluster) workerID(n int) WorkerID {
	return WorkerID(fmt.Sprintf("m%d-%d", n, m.machines[n].incarnation))
}

func (m *crashCluster) workerInfo(n int) WorkerInfo {
	return WorkerInfo{
		ID: m.workerID(n), Pool: "pool", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80),
		Capacity: cell.Resources{CPUMillis: 4000, MemoryMB: 8000},
	}
}

func (m *crashCluster) schedule(d time.Duration, do func()) {
	m.timers = append(m.timers, delayedCall{arrivesAt: m.now.Add(d), do: do})
}

// changeOwner has another owner take over before the next step.
func (m *crashCluster) changeOwner() {
	m.ownerChangeDue = true
}

// createOwner replaces the owner by one that loads its state from the store. The previous one has certainly
// ended.
func (m *crashCluster) createOwner() {
	m.term++
	m.pool = New(Config{
		LeaseDuration: 5700 * time.Millisecond, MaxLeaseDuration: 5700 * time.Millisecond, MinDrainTime: time.Second, StopGrace: 400 * time.Millisecond,
		Token: m.term << 20, Term: m.term, RunNumberBase: int(m.term) * 1000, HasPreviousOwner: m.term > 1,
		WallClock: func() time.Time { return time.Unix(1_700_000_000, 0) }, Log: func(Event) {},
	}, m.now)
	m.pool.SetConfig(queue.NewConfig(1, []queue.Queue{testQueue}, nil))
	for n, w := range m.machines {
		if w.crashedAt == 0 || m.now.Sub(w.crashedAt) < machineRestartTime {
			m.pool.UpsertWorker(m.workerInfo(n), true, m.now)
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

func (m *crashCluster) writeRoster() {
	m.roster = m.pool.Roster()
	for _, w := range m.roster {
		m.pool.MarkInRoster([]WorkerID{w.ID})
	}
}

func (m *crashCluster) add(r job.Record) {
	r.Term = m.term
	m.records[r.Job.ID] = r
	m.pool.AddJob(r, job.Progress{}, false, 0, m.now)
}

func (m *crashCluster) outcome(id job.ID) job.State {
	return m.outcomes[id]
}

// maxCrashesByTask is the largest number of workers that one task has crashed.
func (m *crashCluster) maxCrashesByTask() int {
	most := 0
	for _, n := range m.crashesByTask {
		most = max(most, n)
	}
	return most
}

func (m *crashCluster) simulate(d time.Duration) {
	const step = 5 * time.Millisecond
	next := m.now
	for end := m.now.Add(d); m.now < end; m.now = m.now.Add(step) {
		m.runTimers()
		for n := range m.machines {
			m.endDueRuns(n)
			m.poll(n)
		}
		m.plan()
		if m.ownerChangeDue {
			m.ownerChangeDue = false
			m.createOwner()
		}
		if m.now >= next {
			next = m.now.Add(crashCommitInterval)
			m.commit()
		}
	}
}

func (m *crashCluster) runTimers() {
	due := slices.DeleteFunc(slices.Clone(m.timers), func(c delayedCall) bool { return c.arrivesAt > m.now })
	m.timers = slices.DeleteFunc(m.timers, func(c delayedCall) bool { return c.arrivesAt <= m.now })
	for _, c := range due {
		c.do()
	}
}

// crash ends the current incarnation of a worker; the next one starts after machineRestartTime.
func (m *crashCluster) crash(n int) {
	w := m.machines[n]
	if w.crashedAt != 0 {
		return
	}
	w.crashedAt = m.now
	w.runs, w.unackedEnds, w.lastEndNumber = map[job.TaskID]crashMachineRun{}, nil, 0
	m.schedule(machineRestartTime, func() {
		m.pool.RemoveEntry(m.workerID(n), false, m.now)
		w.incarnation++
		w.crashedAt = 0
		m.pool.UpsertWorker(m.workerInfo(n), true, m.now)
		m.writeRoster()
	})
}

// endDueRuns ends the runs of a machine that have run for machineRunTime, except those of services.
func (m *crashCluster) endDueRuns(n int) {
	w := m.machines[n]
	for id, r := range w.runs {
		if m.now >= r.endsAt && !m.records[id.Job].Job.Steps[id.Step].LongRunning {
			m.endRun(n, id, EndDone)
		}
	}
}

// endRun ends a run; the worker reports the end until it is acknowledged.
func (m *crashCluster) endRun(n int, id job.TaskID, reason EndReason) {
	w := m.machines[n]
	w.lastEndNumber++
	w.unackedEnds = append(w.unackedEnds, FinishedRun{Number: w.lastEndNumber, Task: id, Run: w.runs[id].number, Reason: reason})
	delete(w.runs, id)
}

// locate returns the machine of a worker and the number of its incarnation.
func (m *crashCluster) locate(id WorkerID) (n, incarnation int) {
	_, _ = fmt.Sscanf(string(id), "m%d-%d", &n, &incarnation)
	return n, incarnation
}

// poll polls a worker, and the earlier incarnations at its address that the owner still knows.
func (m *crashCluster) poll(n int) {
	w := m.machines[n]
	if m.now < m.nextPollAt[n] {
		return
	}
	m.nextPollAt[n] = m.now.Add(machinePollInterval)
	for incarnation := max(1, w.incarnation-2); incarnation <= w.incarnation; incarnation++ {
		id := WorkerID(fmt.Sprintf("m%d-%d", n, incarnation))
		order, ok := m.pool.NewPoll(id, false, true, m.now)
		switch {
		case !ok || w.crashedAt != 0 || w.unreachable:
		case incarnation < w.incarnation:
			m.pool.HandlePollAnswer(order, Answer{Verdict: VerdictWrongWorker}, Report{}, m.now)
		default:
			w.unackedEnds = slices.DeleteFunc(w.unackedEnds, func(f FinishedRun) bool { return f.Number <= order.AckedEnd })
			report := Report{Finished: slices.Clone(w.unackedEnds)}
			for id, r := range w.runs {
				report.Active = append(report.Active, ActiveRun{Task: id, Run: r.number, Percent: 50})
			}
			m.pool.HandlePollAnswer(order, Answer{Verdict: VerdictDone, Clock: int64(m.now)}, report, m.now)
		}
	}
}

func (m *crashCluster) plan() {
	m.pool.RecordOwnershipConfirmed(m.now)
	actions := m.pool.Plan(m.now, true)
	for _, s := range actions.Stops {
		n, _ := m.locate(s.Worker)
		if r, ok := m.machines[n].runs[s.Task]; ok && r.number == s.Run {
			m.endRun(n, s.Task, EndStopped)
		}
	}
	for _, s := range actions.Starts {
		n, incarnation := m.locate(s.Worker)
		w := m.machines[n]
		if w.crashedAt != 0 || w.unreachable || incarnation != w.incarnation {
			m.pool.HandleStartAnswer(s, Answer{}, fmt.Errorf("no answer"), m.now)
			continue
		}
		w.runs[s.Task] = crashMachineRun{number: s.Run, endsAt: m.now.Add(machineRunTime)}
		m.pool.HandleStartAnswer(s, Answer{Verdict: VerdictDone, Clock: int64(m.now)}, nil, m.now)
		m.lastStartMachine = n
		m.onTaskStart(s.Task)
		if m.crashingJobs[s.Task.Job] {
			m.schedule(taskCrashDelay, func() { m.crashByTask(n, s.Task) })
		}
	}
}

func (m *crashCluster) crashByTask(n int, id job.TaskID) {
	if m.machines[n].crashedAt == 0 {
		m.workersLost++
		m.crashesByTask[id]++
	}
	m.crash(n)
}

func (m *crashCluster) commit() {
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
