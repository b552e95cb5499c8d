package dispatch

import (
	"maps"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
)

const (
	// preempting is the priority of the queues whose steps may preempt others.
	preempting = 0
	// preemptAgain is the least time between two preemptions for a step: the first takes its
	// time, and other room may come meanwhile.
	preemptAgain = 600 * time.Millisecond
	// preemptLoss is how much work a preemption may throw away, in parts of the work of the
	// task that it is made for.
	preemptLoss = 1.0
	// soonOver is how long a run may still take to be left alone: its room comes by itself.
	soonOver = 500 * time.Millisecond
	// restoring stands for the time that a run takes to go on from its checkpoint.
	restoring = 250 * time.Millisecond
)

// preempt stops runs of lower priorities so that waiting tasks of an urgent step find room
// while their end is in time. A stopped run saves its checkpoint, if its step has any, and its
// task waits again; it is not counted as a failure.
func (p *Pool) preempt(s *step, now clock.Time) {
	if !p.mayPreempt(s, now) {
		return
	}
	limit := preemptLoss * work(s.spec.Need(), s.spec.Estimate)
	stopped := 0
	for _, w := range p.preemptCandidates(s, now) {
		if stopped == s.waiting() {
			break
		}
		if r := cheapestRun(w, s, limit, now); r != nil {
			p.cfg.Log(Event{Name: "run_preempted", Task: r.task.id(), Run: r.number, Worker: w.info.ID, Detail: "for " + s.id().String()})
			p.stopRun(r)
			stopped++
		}
	}
	if stopped > 0 {
		s.preemptedAt = now
	}
}

// mayPreempt says whether stopping others can still bring a step's end in time.
func (p *Pool) mayPreempt(s *step, now clock.Time) bool {
	if s.time.job.queue.Priority != preempting || s.spec.Gang || s.waiting() == 0 {
		return false
	}
	if s.preemptedAt != 0 && now.Sub(s.preemptedAt) < preemptAgain {
		return false
	}
	return now.Add(p.cfg.StopGrace+s.spec.Estimate) <= s.time.objective
}

// preemptCandidates lists the workers that may run tasks of a step and have no room for one.
func (p *Pool) preemptCandidates(s *step, now clock.Time) []*worker {
	var out []*worker
	take := func(w *worker) {
		if p.eligible(s, w, now) && fits(s, w) == 0 {
			out = append(out, w)
		}
	}
	if s.time.job.queue.Advice == nil {
		for _, w := range p.workersByID() {
			take(w)
		}
		return out
	}
	for _, id := range slices.Sorted(maps.Keys(s.advice.good)) {
		if w, ok := p.workers[id]; ok {
			take(w)
		}
	}
	return out
}

// cheapestRun is the run of a lower priority on a worker that is worth least to go on with and
// makes room for a task of a step; nil when there is none within a limit of lost work.
func cheapestRun(w *worker, s *step, limit float64, now clock.Time) *run {
	if s.perOf != nil && s.perOf[w.info.ID] >= s.spec.MaxPerWorker {
		return nil
	}
	var best *run
	least := limit
	for _, r := range sortedRuns(w) {
		if !r.preemptable(s.time.job.queue.Priority, now) || !s.spec.Need().Fits(w.free().Add(r.task.step.spec.Need())) {
			continue
		}
		if lost := r.lostByStop(now); lost <= least {
			best, least = r, lost
		}
	}
	return best
}

// preemptable says whether a run may be stopped for a step of a priority.
func (r *run) preemptable(priority int, now clock.Time) bool {
	s := r.task.step
	if r.state != runActive || r.stopAsked || r.task.current != r || s.time.job.queue.Priority <= priority {
		return false
	}
	if s.spec.Gang || s.spec.LongRunning || s.spec.Filler {
		return false
	}
	return s.spec.Estimate-now.Sub(r.confirmedAt) > soonOver
}

// lostByStop is the work, in core-seconds, that is done anew after a stop.
func (r *run) lostByStop(now clock.Time) float64 {
	s := r.task.step
	lost := now.Sub(r.confirmedAt)
	if s.spec.Checkpointing {
		lost = min(lost, restoring)
	}
	return work(s.spec.Need(), lost)
}

// work is what resources do in a time, in core-seconds.
func work(need cell.Resources, d time.Duration) float64 {
	return float64(need.CPUMillis) / 1000 * d.Seconds()
}
