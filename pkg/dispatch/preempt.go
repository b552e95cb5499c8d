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
	limit := preemptLoss * preemption.Work(s.spec.Need(), s.spec.Estimate)
	need := p.startable(s)
	var options []*preemption.Option[*run]
	for _, w := range p.allowedWorkers(s, now) {
		need -= fits(s, w)
		options = append(options, p.stopsOn(w, s, now))
	}
	var stops []*run
	for ; need > 0; need-- {
		best := preemption.Cheapest(s.spec.Need(), options)
		if best == nil || s.standing(now) != worth.Overdue && best.Lost() > limit {
			break
		}
		stops = append(stops, best.Take(s.spec.Need())...)
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

// stopsOn lists the runs on a worker that may be stopped to make room for more tasks of a step than it has room for, in order.
func (p *Pool) stopsOn(w *worker, s *step, now clock.Time) *preemption.Option[*run] {
	room := fits(s, w)
	o := &preemption.Option[*run]{Free: w.free().Sub(s.spec.Need().Times(int64(room))), Most: math.MaxInt}
	if s.perOf != nil {
		o.Most = s.spec.MaxPerWorker - s.perOf[w.info.ID] - room
	}
	for _, r := range w.runs {
		if r.preemptable(s, now) {
			o.Victims = append(o.Victims, preemption.Victim[*run]{Run: r, Frees: r.task.step.spec.Need(), Lost: r.lostByStop(p.cfg.Restore, now)})
		}
	}
	slices.SortFunc(o.Victims, func(a, b preemption.Victim[*run]) int {
		return cmp.Or(cmp.Compare(a.Lost, b.Lost), compareTasks(b.Run.task, a.Run.task))
	})
	return o
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
		return float64(len(s.tasks)) * preemption.Work(s.spec.Need(), lost)
	}
	return preemption.Work(s.spec.Need(), lost)
}
