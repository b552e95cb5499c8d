package dispatch

import (
	"cmp"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/fit"
)

// gangWorkers selects a worker for each member of a gang. It uses as few workers as possible, in one
// rack if there is one with enough room. It returns nil when there is no room for all members; for a
// step with SameRack it falls back to several racks.
func (p *Pool) gangWorkers(s *step, candidates []*worker) []*worker {
	if s.hasBoundTasks() {
		return assignBoundMembers(s, candidates)
	}
	if s.spec.SameRack {
		for _, rack := range groupByRack(candidates) {
			if chosen := assignMembers(s, rack); chosen != nil {
				return chosen
			}
		}
	}
	return assignMembers(s, candidates)
}

// groupByRack groups workers by their rack, sorted by the names of the racks.
func groupByRack(workers []*worker) [][]*worker {
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

// assignMembers assigns a worker to each member of a gang, filling those with most room first. It
// returns nil when the workers don't have room for all members.
func assignMembers(s *step, workers []*worker) []*worker {
	sorted := slices.Clone(workers)
	slices.SortFunc(sorted, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(roomFor(s, b), roomFor(s, a)), cmp.Compare(a.info.ID, b.info.ID))
	})
	var chosen []*worker
	for _, w := range sorted {
		for range roomFor(s, w) {
			if chosen = append(chosen, w); len(chosen) == s.spec.Count {
				return chosen
			}
		}
	}
	return nil
}

// roomFor returns how many more tasks of a step a worker has room for.
func roomFor(s *step, w *worker) int {
	return roomWithin(s, w, w.free())
}

// roomWithin returns how many more tasks of a step a worker would have room for if the given resources
// were free on it.
func roomWithin(s *step, w *worker, free cell.Resources) int {
	n := maxTasksWithin(s, free)
	if s.runsPerWorker != nil {
		n = min(n, s.spec.MaxPerWorker-s.runsPerWorker[w.info.ID])
	}
	return max(n, 0)
}

// maxTasksWithin returns how many tasks of a step fit into the given resources, at most the number of
// tasks of the step.
func maxTasksWithin(s *step, free cell.Resources) int {
	return fit.MaxTasks(s.spec.Need(), free, s.spec.Count)
}

// isEligible reports whether a worker may run tasks of a step. Advice is not considered.
func (p *Pool) isEligible(s *step, w *worker, now clock.Time) bool {
	return w.isUsable(now) && (!w.isDistrusted(now) || s.mayUseDistrusted(now)) && !w.isClaimedByOther(s, now) && p.mayUseWorker(s.occurrence.job, w, now) && p.isFit(s, w)
}

// isFit reports whether a worker, whatever its state, is in the pool of a step and has the label that the step
// requires.
func (p *Pool) isFit(s *step, w *worker) bool {
	return w.info.Pool == s.occurrence.job.queue.Pool && (s.spec.Requirement == "" || slices.Contains(w.info.Labels, s.spec.Requirement))
}

// minTicketValidity is the minimum time for which a ticket must still be valid when a start is sent
// with it.
const minTicketValidity = 80 * time.Millisecond

// candidates lists the workers that may be given a task of the step now, sorted by ID.
func (p *Pool) candidates(s *step, reserved *reservations, now clock.Time) []*worker {
	priority := s.occurrence.job.queue.Priority
	j := s.occurrence.job
	room := 0
	var unrecorded []*worker
	accept := func(w *worker) bool {
		if !p.isEligible(s, w, now) || reserved.isReserved(w.info.ID, priority) || roomFor(s, w) == 0 {
			return false
		}
		if !p.isWorkerRecorded(j, w) {
			unrecorded = append(unrecorded, w)
			return false
		}
		room += roomFor(s, w)
		return true
	}
	if j.queue.Advice != nil {
		// These workers were recorded when the advice call was made.
		return preferTrusted(s, p.filterWorkers(s.advice.workersWithTickets(now), accept), now)
	}
	candidates := p.filterUsable(j.queue.Pool, now, accept)
	p.recordMoreWorkers(s, unrecorded, room)
	return preferTrusted(s, candidates, now)
}

// filterUsable lists the usable workers of a pool that satisfy a condition, sorted by ID.
func (p *Pool) filterUsable(pool string, now clock.Time, accept func(*worker) bool) []*worker {
	var out []*worker
	for _, w := range p.usableWorkersIn(pool, now) {
		if accept(w.worker) {
			out = append(out, w.worker)
		}
	}
	return out
}

// filterWorkers lists those of the given workers that satisfy a condition, sorted by ID.
func (p *Pool) filterWorkers(ids []WorkerID, accept func(*worker) bool) []*worker {
	var out []*worker
	for _, id := range ids {
		if w, ok := p.workers[id]; ok && accept(w) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	return out
}

// workersWithTickets lists the workers for which the step has a ticket that is valid for long enough to
// be used now.
func (s *stepAdvice) workersWithTickets(now clock.Time) []WorkerID {
	out := make([]WorkerID, 0, len(s.tickets))
	for id, t := range s.tickets {
		if now.Add(minTicketValidity) < t.expiresAt {
			out = append(out, id)
		}
	}
	return out
}

// avoidWorker makes a task prefer other workers than the given one.
func (p *Pool) avoidWorker(t *task, w *worker) {
	if !p.isDisabled(Avoidance) {
		t.avoidedWorker = w.info.ID
	}
}

// bestFit selects the worker on which the task leaves the least capacity unused. It prefers workers
// near the task's data, and workers other than the one on which the task failed. It returns nil when no
// candidate has room.
func bestFit(t *task, candidates []*worker) *worker {
	var best *worker
	var bestCost float64
	need := t.step.spec.Need()
	for _, w := range candidates {
		if !t.lateStartsAllow(w) || roomFor(t.step, w) == 0 {
			continue
		}
		cost := fit.Candidate{
			Free: w.free(), Capacity: w.info.Capacity, FarFromData: t.step.spec.Affinity != "" && w.info.Rack != t.step.spec.Affinity,
			FailedHere: t.avoidedWorker == w.info.ID, RecentFailures: t.avoidedWorker != "" && w.consecutiveFailures > 0,
		}.Cost(need)
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}
