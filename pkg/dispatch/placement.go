package dispatch

import (
	"cmp"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/fit"
)

// gangWorkers chooses a worker for each member, on as few workers and if possible in one
// rack; nil when there is no room for all.
func (p *Pool) gangWorkers(s *step, candidates []*worker) []*worker {
	if s.hasBound() {
		return fillBound(s, candidates)
	}
	if s.spec.SameRack {
		for _, rack := range racks(candidates) {
			if chosen := fill(s, rack); chosen != nil {
				return chosen
			}
		}
	}
	return fill(s, candidates)
}

// racks groups workers by their rack, in the order of the racks' names.
func racks(workers []*worker) [][]*worker {
	byRack := map[string][]*worker{}
	var names []string
	for _, w := range workers {
		if _, ok := byRack[w.info.Rack]; !ok {
			names = append(names, w.info.Rack)
		}
		byRack[w.info.Rack] = append(byRack[w.info.Rack], w)
	}
	slices.Sort(names)
	out := make([][]*worker, 0, len(names))
	for _, n := range names {
		out = append(out, byRack[n])
	}
	return out
}

// fill gives each member a worker, those with most room first; nil when they don't suffice.
func fill(s *step, workers []*worker) []*worker {
	sorted := slices.Clone(workers)
	slices.SortFunc(sorted, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(fits(s, b), fits(s, a)), cmp.Compare(a.info.ID, b.info.ID))
	})
	var chosen []*worker
	for _, w := range sorted {
		for range fits(s, w) {
			if chosen = append(chosen, w); len(chosen) == len(s.tasks) {
				return chosen
			}
		}
	}
	return nil
}

// fits is how many more tasks of a step a worker has room for.
func fits(s *step, w *worker) int {
	return fitsInto(s, w, w.free())
}

// fitsInto is how many more tasks of a step a worker has room for with an amount free.
func fitsInto(s *step, w *worker, free cell.Resources) int {
	n := tasksWithin(s, free)
	if s.perOf != nil {
		n = min(n, s.spec.MaxPerWorker-s.perOf[w.info.ID])
	}
	return max(n, 0)
}

// tasksWithin is how many tasks of a step resources suffice for, at most all.
func tasksWithin(s *step, free cell.Resources) int {
	return fit.Tasks(s.spec.Need(), free, len(s.tasks))
}

// eligible says whether a worker may run tasks of a step at all, advice apart.
func (p *Pool) eligible(s *step, w *worker, now clock.Time) bool {
	return w.info.Pool == s.time.job.queue.Pool && w.usable(now) && !w.claimedByOther(s, now) && p.mayNameFor(s.time.job, w, now) &&
		(s.spec.Requirement == "" || slices.Contains(w.info.Labels, s.spec.Requirement))
}

// ticketMargin is how long a ticket must hold on for a start to be sent with it.
const ticketMargin = 80 * time.Millisecond

// candidates lists the workers that may be given a task of the step now, by id.
func (p *Pool) candidates(s *step, reserved *reservations, now clock.Time) []*worker {
	priority := s.time.job.queue.Priority
	j := s.time.job
	room := 0
	var unnamed []*worker
	may := func(w *worker) bool {
		if !p.eligible(s, w, now) || reserved.holds(w.info.ID, priority) || fits(s, w) == 0 {
			return false
		}
		if !p.mayStartOn(j, w) {
			unnamed = append(unnamed, w)
			return false
		}
		room += fits(s, w)
		return true
	}
	if j.queue.Advice != nil {
		return p.among(s.advice.ticketed(now), may) // named when the call was made
	}
	candidates := p.allOf(j.queue.Pool, now, may)
	p.nameSome(s, unnamed, room)
	return candidates
}

// allOf lists all usable workers of a pool that satisfy a condition, by id.
func (p *Pool) allOf(pool string, now clock.Time, may func(*worker) bool) []*worker {
	var out []*worker
	for _, w := range p.usableIn(pool, now) {
		if may(w.worker) {
			out = append(out, w.worker)
		}
	}
	return out
}

// among lists those of some workers that satisfy a condition, by id.
func (p *Pool) among(ids []WorkerID, may func(*worker) bool) []*worker {
	var out []*worker
	for _, id := range ids {
		if w, ok := p.workers[id]; ok && may(w) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	return out
}

// ticketed lists the workers whose tickets hold for long enough to be used now.
func (s *stepAdvice) ticketed(now clock.Time) []WorkerID {
	out := make([]WorkerID, 0, len(s.tickets))
	for id, t := range s.tickets {
		if now.Add(ticketMargin) < t.until {
			out = append(out, id)
		}
	}
	return out
}

// avoid has a task placed away from a worker if there is another one.
func (p *Pool) avoid(t *task, w *worker) {
	if !p.without(Avoidance) {
		t.avoid = w.info.ID
	}
}

// bestFit chooses the worker that a task uses up most, near its data and away from where it
// failed; nil when none has room.
func bestFit(t *task, candidates []*worker) *worker {
	var best *worker
	var bestCost float64
	need := t.step.spec.Need()
	for _, w := range candidates {
		if !t.mayRunOn(w) || fits(t.step, w) == 0 {
			continue
		}
		cost := fit.Worker{
			Free: w.free(), Capacity: w.info.Capacity, Far: t.step.spec.Affinity != "" && w.info.Rack != t.step.spec.Affinity,
			FailedThere: t.avoid == w.info.ID, FailsLately: t.avoid != "" && w.failures > 0,
		}.Cost(need)
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}
