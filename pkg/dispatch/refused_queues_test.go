package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/admission"
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/queue"
	. "github.com/onsi/gomega"
)

// adviceLoad submits more jobs than two hosts can make advice calls for, to workers that have room for
// all of them.
type adviceLoad struct {
	*fixture
	rand           *rand.Rand
	queues         []adviceQueue
	activeTasks    map[WorkerID][]runningTask
	unreportedEnds map[WorkerID][]FinishedRun
	lastEndNumbers map[WorkerID]int64
	answers        []adviceAnswer
	submitted      map[job.ID]clock.Time
	refused        int
	lastSubmitAt   clock.Time // when jobs were last submitted
}

// adviceQueue is a queue with its load: jobs per second, tasks per job and their run time.
type adviceQueue struct {
	queue         queue.Queue
	jobsPerSecond float64
	tasks         int
	runTime       time.Duration
}

type runningTask struct {
	start  StartOrder
	endsAt clock.Time
}

type adviceAnswer struct {
	at      clock.Time
	number  int64
	tickets []Ticket
}

const (
	loadTickInterval = 20 * time.Millisecond
	loadWorkers      = 24
	// loadDuration is for how long jobs are submitted; the last of them must have started maxStartWait
	// later.
	loadDuration = 40 * time.Second
	maxStartWait = 14 * time.Second
)

func newAdviceLoad(t *testing.T) *adviceLoad {
	advice := func(name string, priority int, base, each time.Duration) queue.Queue {
		q := testQueue
		q.Name, q.Priority, q.Extension = name, priority, 4
		q.Advice = &queue.AdviceCost{Base: base, PerWorker: each, Validity: 2 * time.Second}
		return q
	}
	l := &adviceLoad{
		fixture: newFixture(t, 0, nil), rand: rand.New(rand.NewPCG(1, 0)),
		queues: []adviceQueue{
			{advice("short", 0, 13*time.Millisecond, 190*time.Microsecond), 18, 3, 500 * time.Millisecond},
			{advice("long", 1, 490*time.Millisecond, 7*time.Millisecond), 1.84, 2, 3600 * time.Millisecond},
			{advice("wide", 2, 155*time.Millisecond, 2200*time.Microsecond), 2.7, 8, 3600 * time.Millisecond},
		},
		activeTasks: map[WorkerID][]runningTask{}, unreportedEnds: map[WorkerID][]FinishedRun{}, lastEndNumbers: map[WorkerID]int64{}, submitted: map[job.ID]clock.Time{},
	}
	var queues []queue.Queue
	for _, q := range l.queues {
		queues = append(queues, q.queue)
	}
	l.pool.SetConfig(queue.NewConfig(2, queues, nil))
	for n := range loadWorkers {
		l.addWorker(n)
		big := l.pool.workers[workerID(n)].info
		big.Capacity = cell.Resources{CPUMillis: 64_000, MemoryMB: 256_000}
		l.pool.UpsertWorker(big, true, l.now)
	}
	l.pool.AddAdviser("a")
	l.pool.AddAdviser("b")
	return l
}

// simulate submits jobs for loadDuration, and goes on for maxStartWait. With heedRefusals, no jobs are
// submitted to queues that the owner refuses.
func (l *adviceLoad) simulate(heedRefusals bool) {
	stop := l.now.Add(loadDuration)
	l.lastSubmitAt = l.now
	for end := stop.Add(maxStartWait); l.now < end; l.advance(loadTickInterval) {
		if l.now < stop {
			l.submitJobs(heedRefusals)
		}
		l.tick()
	}
}

func (l *adviceLoad) submitJobs(heedRefusals bool) {
	refusals := l.pool.RefusedQueues(l.now)
	defer func() { l.lastSubmitAt = l.now }()
	for i, q := range l.queues {
		if l.rand.Float64() >= q.jobsPerSecond*l.now.Sub(l.lastSubmitAt).Seconds() {
			continue
		}
		if heedRefusals && slices.ContainsFunc(refusals, func(r admission.Refusal) bool { return r.Queue == q.queue.Name }) {
			l.refused++
			continue
		}
		id := job.ID(fmt.Sprintf("%d-%d", i, len(l.submitted)))
		step := testStep(q.tasks)
		step.Estimate = q.runTime
		l.submitted[id] = l.now
		l.pool.AddJob(job.Record{Job: job.Job{ID: id, Steps: []job.Step{step}}, Queue: q.queue}, job.Progress{}, false, 0, l.now)
	}
}

func (l *adviceLoad) tick() {
	due := func(a adviceAnswer) bool { return l.now >= a.at }
	for _, a := range l.answers {
		if due(a) {
			l.pool.HandleAdviceAnswer(a.number, a.tickets, true, l.now)
		}
	}
	l.answers = slices.DeleteFunc(l.answers, due)
	for n := range loadWorkers {
		l.report(n, l.reportOf(workerID(n)))
	}
	l.pool.ApplyCommit(l.pool.PrepareCommit())
	actions := l.plan()
	for _, s := range actions.Starts {
		l.accept(s)
		q := l.queues[s.Task.Job[0]-'0']
		l.activeTasks[s.Worker] = append(l.activeTasks[s.Worker], runningTask{s, l.now.Add(q.runTime)})
	}
	for _, a := range actions.AdviceCalls {
		l.answerAdviceCall(a)
	}
}

// answerAdviceCall schedules the answer of an advice call after its duration: 45 of 100 workers may run
// a step.
func (l *adviceLoad) answerAdviceCall(a AdviceCall) {
	q := l.queues[a.Step.Job[0]-'0'].queue
	var tickets []Ticket
	for _, id := range a.Workers {
		if l.rand.Float64() < 0.45 {
			tickets = append(tickets, Ticket{id, "ticket"})
		}
	}
	l.answers = append(l.answers, adviceAnswer{l.now.Add(q.Advice.CallTime(len(a.Workers))), a.Number, tickets})
}

func (l *adviceLoad) reportOf(id WorkerID) Report {
	var r Report
	hasEnded := func(x runningTask) bool { return l.now >= x.endsAt }
	for _, x := range l.activeTasks[id] {
		if hasEnded(x) {
			l.lastEndNumbers[id]++
			l.unreportedEnds[id] = append(l.unreportedEnds[id], FinishedRun{Number: l.lastEndNumbers[id], Task: x.start.Task, Run: x.start.Run, Reason: EndDone})
		} else {
			r.Active = append(r.Active, activeRunOf(x.start))
		}
	}
	l.activeTasks[id] = slices.DeleteFunc(l.activeTasks[id], hasEnded)
	r.Finished = l.unreportedEnds[id]
	l.unreportedEnds[id] = nil
	return r
}

// unstartedJobs counts the accepted jobs of which no task has started.
func (l *adviceLoad) unstartedJobs() int {
	n := 0
	for _, j := range l.pool.jobs {
		if !j.began {
			n++
		}
	}
	return n
}

// More advice is needed than two hosts can call for, while the workers have room. Without refusals some
// jobs have not started 14 s after the last one was submitted.
func TestAcceptedJobsStartWhenAdviceIsScarce(t *testing.T) {
	l := newAdviceLoad(t)
	l.simulate(true)
	l.Expect(l.unstartedJobs()).To(BeZero())
	l.Expect(l.refused).To(BeNumerically("<", len(l.submitted)/2))
	ignored := newAdviceLoad(t)
	ignored.simulate(false)
	ignored.Expect(ignored.unstartedJobs()).NotTo(BeZero(), "the load must exceed what two hosts can call for")
}

// newAdviceBacklog returns a pool that has run for admission.AdviserJoinTime, in which 20 advice calls
// of 0.7 s wait for one host.
func newAdviceBacklog(t *testing.T) *fixture {
	f := newFixture(t, 2, nil)
	f.advance(admission.AdviserJoinTime)
	f.reportAll(2)
	f.pool.AddAdviser("a")
	long, short := jobWithAdviceTime("0", 1, 700*time.Millisecond).Queue, jobWithAdviceTime("0", 0, time.Millisecond).Queue
	long.Name, short.Name = "long", "short"
	f.pool.SetConfig(queue.NewConfig(2, []queue.Queue{long, short, testQueue}, nil))
	for n := range 20 {
		r := testJob(fmt.Sprint(n), testStep(1))
		r.Queue = long
		f.add(r)
	}
	return f
}

func TestQueueRefusesJobsWhoseAdviceWouldComeTooLate(t *testing.T) {
	f := newAdviceBacklog(t)
	refusals := f.pool.RefusedQueues(f.now)
	f.Expect(refusals).To(HaveLen(1), "calls of a higher priority go first, and a queue without advice needs none")
	f.Expect(refusals[0].Queue).To(Equal("long"))
	f.Expect(refusals[0].Wait).To(Equal(20 * 700 * time.Millisecond))
	f.Expect(refusals[0].RetryAfter).To(Equal(refusals[0].Wait - admission.MaxAdviceWait))
	f.pool.AddAdviser("b")
	f.Expect(f.pool.RefusedQueues(f.now)).To(BeEmpty(), "two hosts are enough")
}

func TestQueueRefusesNothingWhenWorkersAreBusyOrDuringTakeover(t *testing.T) {
	f := newAdviceBacklog(t)
	f.pool.RemoveAdviser("a", f.now)
	f.Expect(f.pool.RefusedQueues(f.now)).To(BeEmpty(), "no host has joined yet")
	f.pool.AddAdviser("a")
	r := testJob("fills", testStep(6))
	f.add(r)
	for _, s := range f.plan().Starts {
		f.accept(s)
	}
	f.reportAll(2)
	f.advance(loadUpdateInterval)
	f.plan()
	f.Expect(f.pool.poolLoad("pool").isMostlyUsed()).To(BeTrue())
	f.Expect(f.pool.RefusedQueues(f.now)).To(BeEmpty(), "the workers are busy")
	f.pool.takeover.pending = true
	f.Expect(f.pool.RefusedQueues(f.now)).To(BeEmpty())
}

// A queue whose steps need several rounds of calls needs more call time for each waiting step.
func TestPendingAdviceTimeCountsSeveralRounds(t *testing.T) {
	f := newAdviceBacklog(t)
	before := f.pool.pendingAdviceTime()[1]
	s := f.pool.jobs["0"].occurrences[0].steps[0]
	s.advice.callTime = 3 * 700 * time.Millisecond
	f.pool.updateAdviceRounds(s)
	f.Expect(f.pool.pendingAdviceTime()[1].Seconds()).To(BeNumerically("~", 1.2*before.Seconds(), 0.01))
}

// A new owner knows only itself before the other hosts have joined: until then it refuses nothing, and
// later it sends no caller away for longer than a job may wait.
func TestNewOwnerRefusesNothingBeforeHostsHaveJoined(t *testing.T) {
	f := newAdviceBacklog(t)
	for n := range 40 {
		r := testJob(fmt.Sprint("more", n), testStep(1))
		r.Queue = f.pool.jobs["0"].queue
		f.add(r)
	}
	f.Expect(f.pool.RefusedQueues(f.now)[0].RetryAfter).To(Equal(admission.MaxAdviceWait))
	f.pool.createdAt = f.now.Add(-admission.AdviserJoinTime + time.Millisecond)
	f.Expect(f.pool.RefusedQueues(f.now)).To(BeEmpty())
}
