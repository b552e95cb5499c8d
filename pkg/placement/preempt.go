package placement

import (
	"cmp"
	"maps"
	"slices"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/settings"
)

// reserve reserves a worker for a task that has waited for ReserveAfter: of the workers
// that are large enough, the one with the lowest utilization, since the least has to end
// there before the task fits. A worker is reserved for one task at a time.
func (p *Placer) reserve(t *Task) {
	if _, ok := p.reserved[t.ID]; ok {
		return
	}
	var best *worker
	for _, id := range slices.Sorted(maps.Keys(p.workers)) {
		w := p.workers[id]
		allowed, _ := t.Place.Allows(w.Site)
		if w.closed || w.reserved != "" || !allowed || !t.Resources.Fits(w.Capacity) {
			continue
		}
		if best == nil || w.used.DominantShare(w.Capacity) < best.used.DominantShare(best.Capacity) {
			best = w
		}
	}
	if best != nil {
		p.reserveWorker(best, t.ID)
	}
}

func (p *Placer) reserveWorker(w *worker, taskID string) {
	w.reserved = taskID
	p.reserved[taskID] = w
}

func (p *Placer) unreserve(taskID string) {
	if w, ok := p.reserved[taskID]; ok {
		w.reserved = ""
		delete(p.reserved, taskID)
	}
}

// preempt chooses the worker on which the fewest tasks have to be stopped for an urgent
// task, and among equals the one where they use the fewest processors, and returns a
// decision for each task to stop. Only repeatable tasks of the classes batch and
// best-effort are stopped. Urgent tasks never are, so that two of them can't preempt each
// other in turn. The worker is reserved for the urgent task until that starts.
func (p *Placer) preempt(t *Task) []Decision {
	if _, ok := p.reserved[t.ID]; ok {
		return nil // its victims are already being stopped
	}
	var best *worker
	var bestVictims []*placed
	for _, id := range slices.Sorted(maps.Keys(p.workers)) {
		w := p.workers[id]
		allowed, _ := t.Place.Allows(w.Site)
		if w.closed || w.reserved != "" || !allowed {
			continue
		}
		victims, enough := w.victimsFor(t)
		if enough && (best == nil || lessCostly(victims, bestVictims)) {
			best, bestVictims = w, victims
		}
	}
	if best == nil {
		return nil
	}
	p.reserveWorker(best, t.ID)
	var out []Decision
	for _, v := range bestVictims {
		v.preempted = true
		out = append(out, Decision{Kind: Preempt, Task: v.Task, Worker: best.ID, For: t.ID})
	}
	return out
}

// victimsFor returns the tasks to stop on the worker so that t fits. It takes the lowest
// class first and the largest tasks first within a class, and then leaves out those that
// need not be stopped. enough is false when t would not fit even with all candidates stopped.
func (w *worker) victimsFor(t *Task) (victims []*placed, enough bool) {
	free := w.free()
	var candidates []*placed
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		v := w.tasks[id]
		if v.Class.Rank() >= settings.ClassBatch.Rank() && v.Repeatable && !v.preempted {
			candidates = append(candidates, v)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *placed) int {
		return cmp.Or(cmp.Compare(b.Class.Rank(), a.Class.Rank()),
			cmp.Compare(b.Resources.DominantShare(w.Capacity), a.Resources.DominantShare(w.Capacity)))
	})
	for _, v := range candidates {
		if t.Resources.Fits(free) {
			break
		}
		victims = append(victims, v)
		free = free.Add(v.Resources)
	}
	if !t.Resources.Fits(free) {
		return nil, false
	}
	return dropUnneeded(victims, t, free), true
}

// dropUnneeded returns the victims without those that t does not need stopped; free is
// what would be free with all of them stopped.
func dropUnneeded(victims []*placed, t *Task, free cell.Resources) []*placed {
	var needed []*placed
	for _, v := range victims {
		if remaining := free.Sub(v.Resources); t.Resources.Fits(remaining) {
			free = remaining
			continue
		}
		needed = append(needed, v)
	}
	return needed
}

func lessCostly(a, b []*placed) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return totalCPUMillis(a) < totalCPUMillis(b)
}

func totalCPUMillis(victims []*placed) int64 {
	var sum int64
	for _, v := range victims {
		sum += v.Resources.CPUMillis
	}
	return sum
}
