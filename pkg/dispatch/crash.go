package dispatch

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// A task may crash each worker that starts it. Such a task is given up after a few workers, and nothing else is:
//
//   - A start that a worker has been seen to survive (proven) is no cause of its end.
//   - When a worker crashes, each start there that is not proven is counted against its task. What ran
//     beside the cause is counted, too, so one crash proves nothing.
//   - A task with a crash against it is started again on a worker where nothing else is beginning (probe.go). A
//     crash then says that this task is the cause, unless other workers crashed at the same time, or the
//     one at this address had crashed before under other tasks.
//   - Two such crashes in a row give the task's job up. A start that is survived takes all of them back.
//
// Starts of such tasks are stored before they are ordered (attempt.go), so that a later owner
// counts the crashes that an earlier one has not seen.

const (
	// soonAfter is how long after a start its worker may have been heard of, by its own clock, for the start to be
	// the only cause that there can be. With provenAfter in its place, two workers in a row that crashed on their own gave up a job in two of
	// 5,000 random histories in which each worker does so every 40 s.
	soonAfter = 150 * time.Millisecond
	// aliveFor is for how long a worker counts as living after it was heard of, when a start got no answer: one that was ordered later may
	// have met a worker that had crashed before. Holds wait up to 0.6 s in pools of usual size, so half of the workers were heard of within it.
	aliveFor = 300 * time.Millisecond
	// sureCrashes is how many crashes in a row for which nothing but the task can be the cause give it up, and
	// sureAmongMany how many do while more crash for other causes than proneShare allows.
	sureCrashes   = 2
	sureAmongMany = 3
	// proneShare is the part of the starts that may meet a crash of their worker for another cause before two in a row are
	// no proof: with 0.003 that happens to one of 100,000 tasks that were beside a cause.
	proneShare = 0.003
	// proofTakes is how long a start takes to be proven: provenAfter, and the wait of a hold.
	proofTakes = time.Second
	// mostCrashes in a row give a task up whatever else crashed. The platform counts the third start after
	// the third crash as a fault, and a change of the owner may hide one crash.
	mostCrashes = 4
	// noCrashFor is for how long no worker may have crashed for another cause before a task is started that the next crash gives
	// up: it covers the time in which one that crashed is found out to have done so.
	noCrashFor = 5 * time.Second
	// togetherWithin is how far apart workers that crash together may have been heard of last: an idle one is
	// asked every idleHoldWait.
	togetherWithin = idleHoldWait + 500*time.Millisecond
	// crashMemory is for how long a crash at an address speaks against the next worker there: servers that go down and
	// up by turns do so within seconds.
	crashMemory = 30 * time.Second
)

// crash is the end of a worker that had not said that it would leave.
type crash struct {
	worker  WorkerID
	address netip.AddrPort
	at      clock.Time // when the worker was heard of last
	jobs    map[job.ID]bool
	// explained says that nothing but one job can be the cause.
	explained bool
}

// suspectStart is a start that may have ended its worker.
type suspectStart struct {
	task *task
	run  int
	// soon says that the worker is known to have begun it, and was not heard of for longer than soonAfter after that.
	soon bool
}

// suspectStarts are starts on one worker.
type suspectStarts []suspectStart

// has says whether a run is among them.
func (s suspectStarts) has(r *run) bool {
	return slices.ContainsFunc(s, func(x suspectStart) bool { return x.task == r.task && x.run == r.number })
}

// crashed takes in that a life of a worker has ended: what had begun just before may be the cause,
// unless it was to leave.
func (p *Pool) crashed(w *worker, now clock.Time) {
	starts := w.suspectStarts()
	w.doubts = nil
	if w.leftAsPlanned() {
		for _, s := range starts {
			p.dropAttempt(s.task, s.run)
		}
		return
	}
	if p.cfg.Takeover && !w.reported {
		p.MissCrash(w.info)
	} else {
		p.parting[w.info.ID] = w.info
		p.rosterChanged(w.info.ID)
	}
	c := newCrash(w, starts)
	p.cfg.Log(Event{Name: "worker_crashed", Worker: w.info.ID, Detail: fmt.Sprintf(
		"unheard_ms=%d runs=%d unproven=%s", now.Sub(c.at).Milliseconds(), len(w.runs), describeStarts(starts))})
	p.blame(c, starts, now)
	for _, r := range w.runs {
		r.task.inDoubt = r.task.inDoubt || !r.proven && r.state != runStoring
	}
}

// MissCrash takes in that a worker crashed under starts of a former owner that nobody may have counted.
func (p *Pool) MissCrash(info WorkerInfo) {
	p.rosterChanged(info.ID)
	if p.takeover.missed {
		return // one record of a crash tells a later owner as much as many
	}
	p.takeover.missed = true
	p.missedWorker = info
}

// anyKnownToFormer says that a job has not ended that a former owner may have started.
func (p *Pool) anyKnownToFormer() bool {
	for _, j := range p.jobs {
		if j.outcome == "" && !p.unknownToFormer(j) {
			return true
		}
	}
	return false
}

// leftAsPlanned says that a worker was to leave, or went on serving after it had taken its entry away.
func (w *worker) leftAsPlanned() bool {
	return w.leavesAt != 0 || w.unlistedAt != 0 && !w.entryReplaced && w.unlistedAt <= w.provenAt
}

// lastSign is when a worker was heard of last, or when this owner learned of it.
func (w *worker) lastSign() clock.Time {
	return max(w.clockAt, w.knownAt)
}

func newCrash(w *worker, starts suspectStarts) *crash {
	c := &crash{worker: w.info.ID, address: w.info.Address, at: w.lastSign(), jobs: map[job.ID]bool{}}
	for _, s := range starts {
		c.jobs[s.task.step.time.job.job.ID] = true
	}
	return c
}

// suspectStarts lists the starts that may have ended a worker.
func (w *worker) suspectStarts() suspectStarts {
	out := slices.Clone(w.doubts)
	for _, r := range sortedRuns(w) {
		if r.proven || r.state == runStoring || w.doubts.has(r) || w.mayHaveEndedBefore(r) {
			continue
		}
		out = append(out, suspectStart{task: r.task, run: r.number, soon: r.begunSoonBefore(w.clock)})
	}
	return out
}

// mayHaveEndedBefore says that a start got no answer, and that its worker may have ended before: a call before it got none
// either, or the worker had not been heard of for a while. Stored starts count in any case: each crash that is not counted may be the one
// that is too many, and they go to workers that live.
func (w *worker) mayHaveEndedBefore(r *run) bool {
	if r.state == runActive || r.stored {
		return false
	}
	return w.unansweredAt != 0 && r.call.OrderedAt > w.unansweredAt || r.call.OrderedAt.Sub(w.lastSign()) > aliveFor
}

// begunSoonBefore says that the worker is known to have begun a run no longer than soonAfter before a time on its clock.
func (r *run) begunSoonBefore(workerClock int64) bool {
	return r.state == runActive && !r.adopted && workerClock-r.startClock <= soonAfter.Milliseconds()
}

// blame counts a crash against the tasks whose starts may be its cause.
func (p *Pool) blame(c *crash, starts suspectStarts, now clock.Time) {
	c.explained = len(c.jobs) == 1 && !p.othersCrashed(c, now) && !p.crashedBefore(c)
	p.rememberCrash(c, now)
	for _, s := range starts {
		p.countCrash(s, job.Crash{Run: s.run, Worker: string(c.worker), Alone: c.explained && s.soon})
	}
}

// rememberCrash keeps a crash, and forgets those that are too old to tell of others.
func (p *Pool) rememberCrash(c *crash, now clock.Time) {
	p.crashes = slices.DeleteFunc(p.crashes, func(o *crash) bool { return now.Sub(o.at) >= crashMemory })
	p.crashes = append(p.crashes, c)
	clear(p.lastCrashAt)
	for _, o := range p.crashes {
		p.lastCrashAt[o.address] = max(p.lastCrashAt[o.address], o.at)
	}
}

// othersCrashed says that other workers, on which none of the same jobs was beginning, ended or went
// silent at the time of a crash. Those for which another job is the only cause don't count.
func (p *Pool) othersCrashed(c *crash, now clock.Time) bool {
	near := func(at clock.Time) bool { return max(at.Sub(c.at), c.at.Sub(at)) < togetherWithin }
	for _, o := range p.crashes {
		if o.worker != c.worker && near(o.at) && !o.explained && !c.sharesJob(o.jobs) {
			return true
		}
	}
	for _, w := range p.workers {
		last := w.lastSign()
		if w.gone || w.info.ID == c.worker || now.Sub(last) < usableWithin || !near(last) || w.probed() {
			continue
		}
		if !c.sharesJob(newCrash(w, w.suspectStarts()).jobs) {
			return true
		}
	}
	return false
}

func (c *crash) sharesJob(jobs map[job.ID]bool) bool {
	for id := range jobs {
		if c.jobs[id] {
			return true
		}
	}
	return false
}

// crashedBefore says that a worker at the same address crashed lately under none of the same jobs.
func (p *Pool) crashedBefore(c *crash) bool {
	return slices.ContainsFunc(p.crashes, func(o *crash) bool {
		return o.address == c.address && o.worker != c.worker && !c.sharesJob(o.jobs)
	})
}

// countCrash counts a crash against a task, and gives its job up when it is certainly the cause.
func (p *Pool) countCrash(s suspectStart, c job.Crash) {
	t, j := s.task, s.task.step.time.job
	p.dropAttempt(t, s.run)
	if j.outcome != "" || t.done || s.run <= t.survivedRun {
		return
	}
	t.crashes, j.suspected = append(t.crashes, c), true
	p.ready.reorder()
	p.storeProgress(t)
	p.cfg.Log(Event{Name: "crash_counted", Task: t.id(), Run: s.run, Worker: WorkerID(c.Worker), Detail: fmt.Sprintf(
		"in_a_row=%d sure=%d alone=%t", len(t.crashes), sure(t.crashes), c.Alone)})
	if sure(t.crashes) >= p.sureNeeded(j) || len(t.crashes) >= mostCrashes {
		p.cfg.Log(Event{Name: "job_given_up", Task: t.id(), Job: j.job.ID, Run: s.run, Detail: describeCrashes(t.crashes)})
		p.finish(j, job.Failed)
	}
}

// mayTryLast says whether a task may be started as far as crashes are concerned: one that the next crash gives up waits until
// workers no longer crash for other causes.
func (p *Pool) mayTryLast(t *task, now clock.Time) bool {
	if len(t.crashes) < mostCrashes-1 {
		return true
	}
	return !slices.ContainsFunc(p.crashes, func(c *crash) bool {
		return !c.explained && !c.jobs[t.step.time.job.job.ID] && now.Sub(c.at) < noCrashFor
	})
}

// sureNeeded is how many crashes for which nothing but a job can be the cause give it up: more while workers
// crash for other causes, and while a new owner can't know whether they do.
func (p *Pool) sureNeeded(j *jobState) int {
	if p.now.Sub(p.createdAt) < crashMemory {
		return sureAmongMany
	}
	others := 0
	for _, c := range p.crashes {
		if !c.jobs[j.job.ID] {
			others++
		}
	}
	perWorker := float64(others) / float64(max(len(p.workers), 1))
	if perWorker*proofTakes.Seconds()/crashMemory.Seconds() > proneShare {
		return sureAmongMany
	}
	return sureCrashes
}

// sure counts the workers that crashed so that nothing but the task can be the cause. The lives of one worker count once: one that crashes by itself
// does so again and again, and gave jobs up.
func sure(crashes []job.Crash) int {
	workers := map[string]bool{}
	for _, c := range crashes {
		if c.Alone {
			workers[WorkerID(c.Worker).Name()] = true
		}
	}
	return len(workers)
}

// withdrawCrashes takes back the crashes of a worker that had only been cut off for long.
func (p *Pool) withdrawCrashes(id WorkerID) {
	p.crashes = slices.DeleteFunc(p.crashes, func(c *crash) bool { return c.worker == id })
	for _, j := range p.jobs {
		for s := range j.steps() {
			for i := range s.tasks {
				p.withdrawCrash(&s.tasks[i], id)
			}
		}
	}
}

func (p *Pool) withdrawCrash(t *task, id WorkerID) {
	n := len(t.crashes)
	t.crashes = slices.DeleteFunc(t.crashes, func(c job.Crash) bool { return c.Worker == string(id) })
	if len(t.crashes) < n {
		p.storeProgress(t)
	}
}

// describeStarts names starts for logs, such as "a.0.0.1:3,b.0.0.0:1"; a few of them.
func describeStarts(starts suspectStarts) string {
	const most = 8
	names := make([]string, 0, most)
	for _, s := range starts[:min(len(starts), most)] {
		names = append(names, fmt.Sprintf("%s:%d", s.task.id(), s.run))
	}
	if len(starts) > most {
		names = append(names, fmt.Sprintf("and %d more", len(starts)-most))
	}
	return strings.Join(names, ",")
}

// describeCrashes names crashes for logs, such as "w1:1,w7:2(alone)".
func describeCrashes(crashes []job.Crash) string {
	names := make([]string, 0, len(crashes))
	for _, c := range crashes {
		name := fmt.Sprintf("%s:%d", c.Worker, c.Run)
		if c.Alone {
			name += "(alone)"
		}
		names = append(names, name)
	}
	return strings.Join(names, ",")
}
