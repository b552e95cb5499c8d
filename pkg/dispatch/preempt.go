package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/worth"
)

const (
	// preemptAgain is the least time between two preemptions for a step: the first takes its
	// time, and other room may come meanwhile. It covers the grace of a stop (0.4 s), the report
	// of the end and a plan.
	preemptAgain = 600 * time.Millisecond
	// preemptRetry is the least time between two looks for runs to be stopped when nothing was found. A look
	// goes over all workers that may run the step, with their runs; it took a third of the owner's time for
	// decisions in a busy pool of 1,100 workers (BenchmarkBusyPool).
	preemptRetry = 100 * time.Millisecond
	// preemptLoss is how much work a preemption may throw away, in parts of the work of the
	// tasks that it is made for. With 0.25 jobs earn 0.003 less in a pool of 48 workers,
	// with 1.0 up to 3,200 core-seconds are thrown away in a minute.
	preemptLoss = 0.6
	// soonOver is how long a run may still take to be left alone: its room comes by itself, about as
	// soon as that of a stopped one.
	soonOver = 500 * time.Millisecond
	// acceleratorCores is how many processors an accelerator counts for in work, as the platform
	// prices it.
	acceleratorCores = 8
)

// preempt stops runs of lower priorities so that the waiting tasks of a step find room while their
// end is in time. A stopped run saves its checkpoint, if its step has any, and its task waits again;
// it is not counted as a failure. A gang gets room for all its members or none.
func (p *Pool) preempt(s *step, now clock.Time) {
	if !p.mayPreempt(s, now) {
		return
	}
	s.preemptNotBefore = now.Add(preemptRetry)
	stops := p.cheapestStops(s, now)
	for _, r := range stops {
		p.stopForStep(r, s)
	}
	if len(stops) > 0 {
		s.preemptNotBefore = now.Add(preemptAgain)
	}
}

// stopForStep stops a run to make room for a step; with a gang, all its members.
func (p *Pool) stopForStep(r *run, s *step) {
	p.cfg.Log(Event{Name: "run_preempted", Task: r.task.id(), Run: r.number, Worker: r.worker.info.ID, Detail: "for " + s.id().String()})
	p.stopWithGang(r)
}

// mayPreempt says whether stopping others can still bring a step's end in time.
func (p *Pool) mayPreempt(s *step, now clock.Time) bool {
	if p.without(Preemption) || s.spec.Filler || s.waiting() == 0 || s.missing() {
		return false
	}
	if now < s.preemptNotBefore || s.time.job.beyond && !s.lasting() {
		return false
	}
	if s.hasBound() {
		return false // the room that is made may be of no use
	}
	return s.lasting() || now.Add(p.cfg.StopGrace+s.spec.Estimate) <= s.time.objective
}

// cheapestStops chooses the runs whose stops throw least work away and make room for the waiting
// tasks of a step; for a gang none when there can't be room for all.
func (p *Pool) cheapestStops(s *step, now clock.Time) []*run {
	limit := preemptLoss * work(s.spec.Need(), s.spec.Estimate)
	need := p.startable(s)
	var options []*roomOption
	for _, w := range p.allowedWorkers(s, now) {
		need -= fits(s, w)
		options = append(options, newRoomOption(s, w, p.cfg.Restore, now))
	}
	var stops []*run
	for ; need > 0; need-- {
		best, found := cheapestOption(s, options, now)
		if !found || s.standing(now) != worth.Overdue && best.lost > limit {
			break
		}
		stops = append(stops, best.take(s)...)
	}
	if s.spec.Gang && need > 0 {
		return nil
	}
	return stops
}

// allowedWorkers lists the workers that are known to be allowed to run a step, by id.
func (p *Pool) allowedWorkers(s *step, now clock.Time) []*worker {
	may := func(w *worker) bool { return p.eligible(s, w, now) }
	if s.time.job.queue.Advice == nil {
		return p.allOf(s.time.job.queue.Pool, now, may)
	}
	return p.among(slices.Collect(maps.Keys(s.advice.good)), may)
}

// roomOption is a worker on which stops can make room for one more task of a step.
type roomOption struct {
	worker  *worker
	restore time.Duration // Config.Restore
	free    cell.Resources
	per     int    // tasks of the step there, with those that stops made room for
	runs    []*run // that may be stopped, those that throw least away first
	stops   []*run // of them, those that make room for one more task
	lost    float64
}

func newRoomOption(s *step, w *worker, restore time.Duration, now clock.Time) *roomOption {
	o := &roomOption{worker: w, restore: restore, free: w.free(), per: s.perOf[w.info.ID]}
	for range fits(s, w) { // room that is there is not made anew
		o.free = o.free.Sub(s.spec.Need())
		o.per++
	}
	for _, r := range w.runs {
		if r.preemptable(s, now) {
			o.runs = append(o.runs, r)
		}
	}
	slices.SortFunc(o.runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.lostByStop(restore, now), b.lostByStop(restore, now)), compareTasks(b.task, a.task))
	})
	return o
}

// choose finds the runs to be stopped for one more task; ok is false when they don't suffice.
func (o *roomOption) choose(s *step, now clock.Time) bool {
	o.stops, o.lost = nil, 0
	if s.perOf != nil && o.per >= s.spec.MaxPerWorker {
		return false
	}
	free, need := o.free, s.spec.Need()
	for _, r := range o.runs {
		if need.Fits(free) {
			break
		}
		free = free.Add(r.task.step.spec.Need())
		o.stops = append(o.stops, r)
	}
	if !need.Fits(free) {
		return false
	}
	for i := len(o.stops) - 1; i >= 0; i-- { // those that turned out not to be needed go on
		if less := free.Sub(o.stops[i].task.step.spec.Need()); need.Fits(less) {
			free = less
			o.stops = slices.Delete(o.stops, i, i+1)
		}
	}
	for _, r := range o.stops {
		o.lost += r.lostByStop(o.restore, now)
	}
	return true
}

// take counts the chosen stops and the task that they make room for, and returns them.
func (o *roomOption) take(s *step) []*run {
	for _, r := range o.stops {
		o.free = o.free.Add(r.task.step.spec.Need())
		o.runs = slices.DeleteFunc(o.runs, func(x *run) bool { return x == r })
	}
	o.free = o.free.Sub(s.spec.Need())
	o.per++
	return o.stops
}

// cheapestOption is the worker on which room for one more task throws least work away.
func cheapestOption(s *step, options []*roomOption, now clock.Time) (best *roomOption, found bool) {
	for _, o := range options {
		if o.choose(s, now) && (best == nil || o.lost < best.lost) {
			best = o
		}
	}
	return best, best != nil
}

// preemptable says whether a run may be stopped for a step: one of a lower priority or, for a task
// that has been away for too long though it is to last, any that does not last itself.
func (r *run) preemptable(waiting *step, now clock.Time) bool {
	s := r.task.step
	if r.state != runActive || r.stopAsked || r.task.current != r || s.spec.LongRunning {
		return false
	}
	if waiting.standing(now) == worth.Overdue {
		return true
	}
	if s.time.job.queue.Priority <= waiting.time.job.queue.Priority || s.spec.Gang {
		return false
	}
	return s.spec.Estimate-now.Sub(r.confirmedAt) > soonOver && r.bears(waiting.spec.Estimate, now)
}

// bears says that a run may wait for a time without making its job late: the job has time left, or is
// late already.
func (r *run) bears(d time.Duration, now clock.Time) bool {
	s := r.task.step
	left := r.left(now) + s.chain - s.spec.Estimate
	return now > s.time.objective || now.Add(d+left) <= s.time.objective
}

// lostByStop is the work, in core-seconds, that is done anew after a stop. A run that saves its progress
// loses the time that it takes to go on from its checkpoint.
func (r *run) lostByStop(restore time.Duration, now clock.Time) float64 {
	s := r.task.step
	lost := now.Sub(r.confirmedAt)
	if s.spec.Checkpointing {
		lost = min(lost, restore)
	}
	if s.spec.Gang {
		return float64(len(s.tasks)) * work(s.spec.Need(), lost)
	}
	return work(s.spec.Need(), lost)
}

// work is what resources do in a time, in core-seconds.
func work(need cell.Resources, d time.Duration) float64 {
	cores := float64(need.CPUMillis)/1000 + acceleratorCores*float64(need.Accelerators)
	return cores * d.Seconds()
}
