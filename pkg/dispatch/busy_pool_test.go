package dispatch

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/customer"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/queue"
	. "github.com/onsi/gomega"
)

// The busy pool has wide gangs, wide steps and small urgent jobs on 1,100 workers, two thirds of which are in
// use, and 146 hosts that make calls for advice. Everything but the pool's own processor time is simulated.
const (
	busyWorkers      = 1100
	busyAdvisers     = 146
	busyPlanInterval = 5 * time.Millisecond // time between two plans
	busyPollInterval = time.Second          // time between two reports of a worker on which no run ends
	busyOrderDelay   = 12 * time.Millisecond
)

// busyJobKind describes the jobs of one queue.
type busyJobKind struct {
	queue        queue.Queue
	perSecond    float64 // jobs that arrive
	step         job.Step
	allowedShare float64 // share of the workers that advice allows
}

var busyJobKinds = []busyJobKind{
	{
		queue.Queue{Name: "gangs", Pool: "pool", Priority: 1, MaxAttempts: 2, Extension: 2.2, TargetLatency: time.Second, Advice: &queue.AdviceCost{
			Base: 390 * time.Millisecond, PerWorker: 5600 * time.Microsecond, Validity: 2 * time.Second,
		}},
		8, job.Step{Count: 40, Resources: cell.Resources{CPUMillis: 4500, MemoryMB: 9400}, Estimate: 4 * time.Second, Gang: true}, 0.3,
	},
	{
		queue.Queue{Name: "wide", Pool: "pool", Priority: 2, MaxAttempts: 4, Extension: 4, TargetLatency: 3 * time.Second, Advice: &queue.AdviceCost{
			Base: 140 * time.Millisecond, PerWorker: 2 * time.Millisecond, Validity: 2 * time.Second,
		}},
		14, job.Step{Count: 40, Resources: cell.Resources{CPUMillis: 2700, MemoryMB: 10000}, Estimate: 2700 * time.Millisecond}, 0.45,
	},
	{
		queue.Queue{Name: "urgent", Pool: "pool", Priority: 0, MaxAttempts: 2, Extension: 1.5, TargetLatency: 300 * time.Millisecond, Advice: &queue.AdviceCost{
			Base: 14 * time.Millisecond, PerWorker: 200 * time.Microsecond, Validity: 2 * time.Second,
		}},
		93, job.Step{Count: 4, Resources: cell.Resources{CPUMillis: 3900, MemoryMB: 11000}, Estimate: time.Second}, 0.7,
	},
}

type busyEvent struct {
	at clock.Time
	do func()
}

// busyEvents is a heap of the events to come, the earliest first.
type busyEvents []busyEvent

func (e busyEvents) Len() int           { return len(e) }
func (e busyEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e busyEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *busyEvents) Push(x any)        { *e = append(*e, x.(busyEvent)) }
func (e *busyEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// busyPool drives a pool with simulated workers, hosts and arriving jobs.
type busyPool struct {
	*fixture
	rand           *rand.Rand
	events         busyEvents
	lastEndNumbers map[WorkerID]int64
	activeRuns     map[WorkerID]map[job.TaskID]StartOrder
	jobCount       int
	startCount     int
	allowedShare   map[string]float64
	// customers submit the jobs in turn; if empty, the jobs belong to no customer.
	customers       []customer.Customer
	arrivalsStopped bool // whether jobs no longer arrive
	// plan makes the plans. afterPlan, unless nil, is called with each of them.
	plan      func(now clock.Time, authority bool) Actions
	afterPlan func(Actions)
}

// newBusyPool returns a pool of busyWorkers workers and busyAdvisers hosts in which jobs of the given kinds
// arrive.
func newBusyPool(kinds []busyJobKind, disabled DisabledMechanisms) *busyPool {
	return newBusyPoolWithSize(kinds, busyWorkers, busyAdvisers, 1, disabled)
}

// newBusyPoolWithSize is newBusyPool with other numbers of workers and of hosts that make calls for advice.
func newBusyPoolWithSize(kinds []busyJobKind, workers, advisers int, seed uint64, disabled DisabledMechanisms) *busyPool {
	b := &busyPool{
		fixture: newFixture(&testing.T{}, 0, func(c *Config) { c.Log, c.Disabled = func(Event) {}, disabled }), rand: rand.New(rand.NewPCG(seed, 2)),
		lastEndNumbers: map[WorkerID]int64{}, activeRuns: map[WorkerID]map[job.TaskID]StartOrder{}, allowedShare: map[string]float64{},
	}
	b.plan = b.pool.Plan
	for _, k := range kinds {
		b.allowedShare[k.queue.Name] = k.allowedShare
		b.scheduleArrival(k)
	}
	b.configureQueues(2, kinds)
	for n := range workers {
		b.addWorker(n)
		w := b.pool.workers[workerID(n)]
		w.info.Capacity = cell.Resources{CPUMillis: 16000, MemoryMB: 65536}
		b.activeRuns[workerID(n)] = map[job.TaskID]StartOrder{}
		b.at(time.Duration(n)*busyPollInterval/time.Duration(workers), func() { b.pollPeriodically(workerID(n)) })
	}
	b.reportAll(workers)
	for n := range advisers {
		b.pool.AddAdviser(fmt.Sprintf("host-%d", n))
	}
	return b
}

// configureQueues puts a configuration with the queues of the given kinds in force.
func (b *busyPool) configureQueues(version int64, kinds []busyJobKind) {
	var queues []queue.Queue
	for _, k := range kinds {
		queues = append(queues, k.queue)
	}
	b.pool.SetConfig(queue.NewConfig(version, queues, nil))
}

func (b *busyPool) at(in time.Duration, do func()) {
	heap.Push(&b.events, busyEvent{b.now.Add(in), do})
}

// scheduleArrival schedules the next job of a kind, which in turn schedules the one after it: jobs of a kind
// arrive at a constant rate until arrivals are stopped.
func (b *busyPool) scheduleArrival(k busyJobKind) {
	b.at(time.Duration(float64(time.Second)/k.perSecond), func() {
		if b.arrivalsStopped {
			return
		}
		b.jobCount++
		s := k.step
		s.Count = 1 + b.rand.IntN(2*s.Count-1)
		r := job.Record{Job: job.Job{ID: job.ID(fmt.Sprintf("%016x", b.jobCount)), Spec: "spec", Steps: []job.Step{s}}, Queue: k.queue}
		if len(b.customers) > 0 {
			r.Customer = b.customers[b.jobCount%len(b.customers)]
		}
		b.add(r)
		b.scheduleArrival(k)
	})
}

// pollPeriodically has a worker report its active runs, now and every busyPollInterval.
func (b *busyPool) pollPeriodically(id WorkerID) {
	b.answerPoll(id, nil)
	b.at(busyPollInterval, func() { b.pollPeriodically(id) })
}

// answerPoll has a worker report its active runs and the given ended ones.
func (b *busyPool) answerPoll(id WorkerID, ended []FinishedRun) {
	order, ok := b.pool.NewPoll(id, false, true, b.now)
	if !ok {
		return
	}
	report := Report{Finished: ended}
	for _, s := range b.activeRuns[id] {
		report.Active = append(report.Active, ActiveRun{Task: s.Task, Run: s.Run, Percent: 10})
	}
	b.pool.HandlePollAnswer(order, Answer{Verdict: VerdictDone, Clock: b.workerClock}, report, b.now)
}

// executeStart has a worker start a task, and schedules its end as done after the step's estimate.
func (b *busyPool) executeStart(s StartOrder) {
	b.startCount++
	b.activeRuns[s.Worker][s.Task] = s
	b.accept(s)
	t := b.pool.task(s.Task)
	if t == nil {
		return
	}
	b.at(t.step.spec.Estimate, func() { b.endRun(s, EndDone) })
}

func (b *busyPool) endRun(s StartOrder, reason EndReason) {
	if started, ok := b.activeRuns[s.Worker][s.Task]; !ok || started.Run != s.Run {
		return
	}
	delete(b.activeRuns[s.Worker], s.Task)
	b.lastEndNumbers[s.Worker]++
	b.answerPoll(s.Worker, []FinishedRun{{Number: b.lastEndNumbers[s.Worker], Task: s.Task, Run: s.Run, Reason: reason}})
}

// answerAdviceCall answers a call for advice with tickets for the allowed ones of its workers.
func (b *busyPool) answerAdviceCall(a AdviceCall) {
	s := b.pool.advice.pendingCalls[a.Number]
	if s == nil {
		return
	}
	share := b.allowedShare[s.queue]
	var tickets []Ticket
	for _, w := range a.Workers {
		if allowedDraw(a.Step, w) < share {
			tickets = append(tickets, Ticket{Worker: w, Text: "t"})
		}
	}
	b.pool.HandleAdviceAnswer(a.Number, tickets, true, b.now)
}

// allowedDraw returns a number from 0 to 1 for a step and a worker. Advice allows the worker to the step when
// it is below the allowed share of the step's queue.
func allowedDraw(s job.StepID, w WorkerID) float64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, s, w)
	return rand.New(rand.NewPCG(h.Sum64(), 0)).Float64() // the hash alone is similar for similar names
}

// simulate lets the given time pass, with a plan every busyPlanInterval.
func (b *busyPool) simulate(d time.Duration) {
	for end := b.now.Add(d); b.now < end; {
		b.advance(busyPlanInterval)
		for len(b.events) > 0 && b.events[0].at <= b.now {
			heap.Pop(&b.events).(busyEvent).do()
		}
		b.pool.RecordOwnershipConfirmed(b.now)
		actions := b.plan(b.now, true)
		if b.afterPlan != nil {
			b.afterPlan(actions)
		}
		for _, s := range actions.Starts {
			b.at(busyOrderDelay, func() { b.executeStart(s) })
		}
		for _, s := range actions.Stops {
			b.at(busyOrderDelay, func() { b.endRun(StartOrder{Task: s.Task, Run: s.Run, Worker: s.Worker}, EndStopped) })
		}
		for _, a := range actions.AdviceCalls {
			b.at(b.pool.advice.pendingCalls[a.Number].expectedTime, func() { b.answerAdviceCall(a) })
		}
		c := b.pool.PrepareCommit()
		b.pool.ApplyCommit(c)
	}
}

// BenchmarkBusyPool simulates one second of the busy pool. The time per operation is the share of a core that
// the owner's decisions take.
func BenchmarkBusyPool(b *testing.B) {
	p := newBusyPool(busyJobKinds, nil)
	p.simulate(5 * time.Second)
	b.ResetTimer()
	startsBefore := p.startCount
	for b.Loop() {
		p.simulate(time.Second)
	}
	b.ReportMetric(float64(p.startCount-startsBefore)/float64(b.N), "starts/op")
	b.Logf("%+v", p.pool.Status(p.now))
}

// BenchmarkBusyPoolOfCustomers is BenchmarkBusyPool with the jobs spread over 20 customers. As each of them
// has a quota, a plan goes over the waiting steps more often.
func BenchmarkBusyPoolOfCustomers(b *testing.B) {
	p := newBusyPool(busyJobKinds, nil)
	for n := range 20 {
		c := customer.Customer{Name: fmt.Sprintf("c%d", n), Weight: 10, Quota: cell.Resources{CPUMillis: busyWorkers * 16000 / 4}}
		p.customers = append(p.customers, c)
	}
	p.simulate(5 * time.Second)
	b.ResetTimer()
	for b.Loop() {
		p.simulate(time.Second)
	}
}

func TestBusyPoolSustainsItsLoad(t *testing.T) {
	g := NewWithT(t)
	p := newBusyPool(busyJobKinds, nil)
	p.simulate(6 * time.Second)
	s := p.pool.Status(p.now)
	g.Expect(p.startCount).To(BeNumerically(">", 3000))
	g.Expect(s.Used.CPUMillis).To(BeNumerically("<=", s.Capacity.CPUMillis))
	g.Expect(s.Used.CPUMillis).To(BeNumerically(">", s.Capacity.CPUMillis/4))
}

// A gang of 240 members, two of which fit on a worker, needs 120 allowed workers. With the allowed share of
// 0.3 it has to ask about 400, and a call about 100 takes 0.95 s.
func TestGangThatNeedsMoreTargetsThanOneCallStartsSoon(t *testing.T) {
	gangs := busyJobKinds[0]
	gangs.perSecond = 0.1
	gangs.step.Resources.CPUMillis = 7000
	for name, c := range map[string]struct {
		disabled DisabledMechanisms
		starts   int
	}{
		"parallel calls":     {nil, 240},
		"one call at a time": {disableOnly(ParallelAdvice), 0},
	} {
		t.Run(name, func(t *testing.T) {
			p := newBusyPool([]busyJobKind{gangs}, c.disabled)
			s := gangs.step
			s.Count = 240
			p.add(job.Record{Job: job.Job{ID: "00000000000000a1", Steps: []job.Step{s}}, Queue: gangs.queue})
			p.simulate(2 * time.Second)
			NewWithT(t).Expect(p.startCount).To(Equal(c.starts))
		})
	}
}
