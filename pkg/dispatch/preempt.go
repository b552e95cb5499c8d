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
	// preemptionInterval is the least time between two preemptions for a step: the first takes its
	// time, and other room may come meanwhile. It covers the grace of a stop (0.4 s), the report
	// of the end and a plan.
	preemptionInterval = 600 * time.Millisecond
	// preemptRetry is the least time between two looks for runs to be stopped when nothing was found. A look
	// goes over all workers that may run the step, with their runs; it took a third of the owner's time for
	// decisions in a busy pool of 1,100 workers (BenchmarkBusyPool).
	preemptRetry = 100 * time.Millisecond
	// maxPreemptionLoss is how much work a preemption may throw away, in parts of the work of the
	// tasks that it is made for. With 0.25 jobs earn 0.003 less in a pool of 48 workers,
	// with 1.0 up to 3,200 core-seconds are thrown away in a minute.
	maxPreemptionLoss = 0.6
	// endsSoonWithin is how long a run may still take to be left alone: its room comes by itself, about as
	// soon as that of a stopped one.
	endsSoonWithin = 500 * time.Millisecond
)

// preempt stops runs of lower priorities so that the waiting tasks of a step find room while their
// end is in time. A stopped run saves its checkpoint, if its step has any, and its task waits again;
// it is not counted as a failure. A gang gets room for all its members or none.
func (p *Pool) preempt(s *step, now clock.Time) {
	if !p.mayPreempt(s, now) {
		return
	}
	s.preemptNotBefore = now.Add(preemptRetry)
	stops := p.selectVictims(s, now)
	for _, r := range stops {
		p.preemptRun(r, s)
	}
	if len(stops) > 0 {
		s.preemptNotBefore = now.Add(preemptionInterval)
	}
}

// preemptRun stops a run to make room for a step; with a gang, all its members.
func (p *Pool) preemptRun(r *run, s *step) {
	p.cfg.Log(Event{Name: "run_preempted", Task: r.task.id(), Run: r.number, Worker: r.worker.info.ID, Detail: "for " + s.id().String()})
	p.stopRunOrGang(r)
}

// mayPreempt says whether stopping others can still bring a step's end in time.
func (p *Pool) mayPreempt(s *step, now clock.Time) bool {
	if p.isDisabled(Preemption) || s.spec.Filler || s.waitingTasks() == 0 || s.hasMissingMembers() {
		return false
	}
	if now < s.preemptNotBefore || s.occurrence.job.overShare && !s.isService() {
		return false
	}
	if s.hasBoundTasks() {
		return false // the room that is made may be of no use
	}
	return s.isService() || now.Add(p.cfg.StopGrace+s.spec.Estimate) <= s.occurrence.objective
}

// selectVictims chooses the runs whose stops throw least work away and make room for the waiting
// tasks of a step; for a gang none when there can't be room for all.
func (p *Pool) selectVictims(s *step, now clock.Time) []*run {
	limit := maxPreemptionLoss * preemption.CoreSeconds(s.spec.Need(), s.spec.Estimate)
	need := p.startableTasks(s)
	var options []*preemption.Option[*run]
	for _, w := range p.allowedWorkers(s, now) {
		need -= roomFor(s, w)
		options = append(options, p.preemptionOption(w, s, now))
	}
	var stops []*run
	for ; need > 0; need-- {
		best := preemption.SelectCheapest(s.spec.Need(), options)
		if best == nil || s.valueClass(now) != worth.Overdue && best.LostWork() > limit {
			break
		}
		stops = append(stops, best.TakeVictims(s.spec.Need())...)
	}
	if s.spec.Gang && need > 0 {
		return nil
	}
	return stops
}

// allowedWorkers lists the workers that are known to be allowed to run a step, by id.
func (p *Pool) allowedWorkers(s *step, now clock.Time) []*worker {
	may := func(w *worker) bool { return p.isEligible(s, w, now) }
	if s.occurrence.job.queue.Advice == nil {
		return p.filterUsable(s.occurrence.job.queue.Pool, now, may)
	}
	return p.filterWorkers(slices.Collect(maps.Keys(s.advice.allowed)), may)
}

// preemptionOption lists the runs on a worker that may be stopped to make room for more tasks of a step than it has room for, in order.
func (p *Pool) preemptionOption(w *worker, s *step, now clock.Time) *preemption.Option[*run] {
	room := roomFor(s, w)
	o := &preemption.Option[*run]{Free: w.free().Sub(s.spec.Need().Times(int64(room))), Most: math.MaxInt}
	if s.runsPerWorker != nil {
		o.Most = s.spec.MaxPerWorker - s.runsPerWorker[w.info.ID] - room
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

// isPreemptable says whether a run may be stopped for a step: one of a lower priority or, for a task
// that has been away for too long though it is to last, any that does not last itself.
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

// toleratesDelay says that a run may wait for a time without making its job late: the job has time left, or is
// late already.
func (r *run) toleratesDelay(d time.Duration, now clock.Time) bool {
	s := r.task.step
	left := r.timeLeft(now) + s.chainEstimate - s.spec.Estimate
	return now > s.occurrence.objective || now.Add(d+left) <= s.occurrence.objective
}

// workLostByStop is the work, in core-seconds, that is done anew after a stop. A run that saves its progress
// loses the time that it takes to go on from its checkpoint.
func (r *run) workLostByStop(restore time.Duration, now clock.Time) float64 {
	s := r.task.step
	lost := now.Sub(r.runningSince)
	if s.spec.Checkpointing {
		lost = min(lost, restore)
	}
	if s.spec.Gang {
		return float64(len(s.tasks)) * preemption.CoreSeconds(s.spec.Need(), lost)
	}
	return preemption.CoreSeconds(s.spec.Need(), lost)
}
