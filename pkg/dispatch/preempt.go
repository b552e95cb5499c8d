package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/preemption"
	"foldarch.dev/foldarch/pkg/worth"
)

const (
	// preemptionInterval is the minimum time between two preemptions for a step: the first one takes
	// some time to have effect, and other room may become free meanwhile. It covers the grace time of a
	// stop (0.4 s), the report of the end and a plan.
	preemptionInterval = 600 * time.Millisecond
	// preemptionRetryInterval is the minimum time between two searches for runs to preempt when the
	// first one found none. A search visits all workers that may run the step, with their runs. Without
	// this limit the searches took a third of the owner's time for decisions in a busy pool of 1,100
	// workers (BenchmarkBusyPool).
	preemptionRetryInterval = 100 * time.Millisecond
	// maxPreemptionLoss is how much work a preemption may throw away, as a share of the work of the
	// tasks that it makes room for. With 0.25 jobs earn 0.003 less in a pool of 48 workers; with 1.0 up
	// to 3,200 core-seconds are thrown away per minute.
	maxPreemptionLoss = 0.6
	// endsSoonWithin is the remaining time up to which a run is not preempted: it frees its room by
	// itself about as soon as a stopped run would.
	endsSoonWithin = 500 * time.Millisecond
)

// preempt stops runs of lower priority to make room for the waiting tasks of a step that can still end
// in time. A stopped run saves its checkpoint, if its step has any, and its task waits again; this does
// not count as a failure. A gang gets room for all its members or for none.
func (p *Pool) preempt(s *step, now clock.Time) {
	if !p.mayPreempt(s, now) {
		return
	}
	s.preemptNotBefore = now.Add(preemptionRetryInterval)
	victims := p.selectVictims(s, now)
	for _, r := range victims {
		p.preemptRun(r, s)
	}
	if len(victims) > 0 {
		s.preemptNotBefore = now.Add(preemptionInterval)
	}
}

// preemptRun stops a run to make room for a step. If the run belongs to a gang, all members are
// stopped.
func (p *Pool) preemptRun(r *run, s *step) {
	p.cfg.Log(Event{Name: "run_preempted", Task: r.task.id(), Run: r.number, Worker: r.worker.info.ID, Detail: "for " + s.id().String()})
	p.stopRunOrGang(r)
}

// mayPreempt reports whether preemption for a step is allowed now and can still make its end timely.
func (p *Pool) mayPreempt(s *step, now clock.Time) bool {
	if p.isDisabled(Preemption) || s.spec.Filler || s.waitingTasks() == 0 || s.hasMissingMembers() {
		return false
	}
	if now < s.preemptNotBefore || s.occurrence.job.overShare && !s.isService() {
		return false
	}
	if s.hasBoundTasks() {
		return false // late starts bind tasks to certain workers, where the freed room may not be
	}
	return s.isService() || now.Add(p.cfg.StopGrace+s.spec.Estimate) <= s.occurrence.objective
}

// selectVictims selects the runs whose stops throw away the least work and make room for the waiting
// tasks of a step. For a gang it returns none when there would not be room for all members.
func (p *Pool) selectVictims(s *step, now clock.Time) []*run {
	limit := maxPreemptionLoss * preemption.CoreSeconds(s.spec.Need(), s.spec.Estimate)
	need := p.startableTasks(s)
	var options []*preemption.Option[*run]
	for _, w := range p.allowedWorkers(s, now) {
		need -= roomFor(s, w)
		options = append(options, p.preemptionOption(w, s, now))
	}
	var victims []*run
	for ; need > 0; need-- {
		best := preemption.SelectCheapest(s.spec.Need(), options)
		if best == nil || s.valueClass(now) != worth.Overdue && best.LostWork() > limit {
			break
		}
		victims = append(victims, best.TakeVictims(s.spec.Need())...)
	}
	if s.spec.Gang && need > 0 {
		return nil
	}
	return victims
}

// allowedWorkers lists the workers that are known to be allowed to run a step, sorted by ID.
func (p *Pool) allowedWorkers(s *step, now clock.Time) []*worker {
	accept := func(w *worker) bool { return p.isEligible(s, w, now) }
	if s.occurrence.job.queue.Advice == nil {
		return p.filterUsable(s.occurrence.job.queue.Pool, now, accept)
	}
	return p.filterWorkers(slices.Collect(maps.Keys(s.advice.allowed)), accept)
}

// preemptionOption lists the runs on a worker that may be stopped to make room for more tasks of a step
// than it has room for now. The runs are sorted by the work that a stop throws away.
func (p *Pool) preemptionOption(w *worker, s *step, now clock.Time) *preemption.Option[*run] {
	room := roomFor(s, w)
	o := &preemption.Option[*run]{Free: w.free().Sub(s.spec.Need().Times(int64(room))), MaxTasks: math.MaxInt}
	if s.runsPerWorker != nil {
		o.MaxTasks = s.spec.MaxPerWorker - s.runsPerWorker[w.info.ID] - room
	}
	for _, r := range w.runs {
		if r.isPreemptable(s, now) {
			o.Victims = append(o.Victims, preemption.Victim[*run]{Run: r, Resources: r.task.step.spec.Need(), LostWork: r.workLostByStop(p.cfg.RestoreTime, now)})
		}
	}
	slices.SortFunc(o.Victims, func(a, b preemption.Victim[*run]) int {
		return cmp.Or(cmp.Compare(a.LostWork, b.LostWork), compareTasks(b.Run.task, a.Run.task))
	})
	return o
}

// isPreemptable reports whether a run may be stopped for a waiting step. Its priority must be lower.
// For a service that has been without a running task for too long (worth.Overdue), any run may be
// stopped that is not long-running itself.
func (r *run) isPreemptable(waiting *step, now clock.Time) bool {
	s := r.task.step
	if r.state != runActive || r.stopRequested || r.task.current != r || s.spec.LongRunning {
		return false
	}
	if waiting.valueClass(now) == worth.Overdue {
		return true
	}
	if s.occurrence.job.queue.Priority <= waiting.occurrence.job.queue.Priority || s.spec.Gang {
		return false
	}
	return s.spec.Estimate-now.Sub(r.runningSince) > endsSoonWithin && r.toleratesDelay(waiting.spec.Estimate, now)
}

// toleratesDelay reports whether a run can be delayed by d without making its job late, or its job is
// late already.
func (r *run) toleratesDelay(d time.Duration, now clock.Time) bool {
	s := r.task.step
	left := r.timeLeft(now) + s.chainEstimate - s.spec.Estimate
	return now > s.occurrence.objective || now.Add(d+left) <= s.occurrence.objective
}

// workLostByStop returns the work, in core-seconds, that has to be repeated after a stop. A run that
// saves checkpoints loses at most the time that it takes to resume from one.
func (r *run) workLostByStop(restore time.Duration, now clock.Time) float64 {
	s := r.task.step
	lost := now.Sub(r.runningSince)
	if s.spec.Checkpointing {
		lost = min(lost, restore)
	}
	if s.spec.Gang {
		return float64(s.spec.Count) * preemption.CoreSeconds(s.spec.Need(), lost)
	}
	return preemption.CoreSeconds(s.spec.Need(), lost)
}
