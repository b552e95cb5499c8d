package placement

import (
	"fmt"
	"maps"
	"slices"

	"foldarch.dev/foldarch/pkg/cell"
)

// Usage is the capacity and the load of a shard.
type Usage struct {
	Workers int
	Placed  int            // tasks that are placed on a worker
	Waiting int            // tasks in the queue
	Total   cell.Resources // capacity of all workers
	Used    cell.Resources // resources of all placed tasks
}

// Usage returns the capacity and the load, summed over all workers.
func (p *Placer) Usage() Usage {
	u := Usage{Workers: len(p.workers), Placed: len(p.placed), Waiting: len(p.waitQueue.tasks), Total: p.total}
	for _, w := range p.workers {
		u.Used = u.Used.Add(w.used)
	}
	return u
}

// WorkerOf returns the id of the worker on which a task is placed.
func (p *Placer) WorkerOf(taskID string) (string, bool) {
	t, ok := p.placed[taskID]
	if !ok {
		return "", false
	}
	return t.worker.ID, true
}

// Placed returns a task if it is placed on a worker.
func (p *Placer) Placed(taskID string) (Task, bool) {
	t, ok := p.placed[taskID]
	if !ok {
		return Task{}, false
	}
	return t.Task, true
}

// IsWaiting reports whether a task is in the queue.
func (p *Placer) IsWaiting(taskID string) bool {
	_, ok := p.waitQueue.tasks[taskID]
	return ok
}

// Explain returns where a task is placed or, for a waiting task, why workers can't take
// it: each reason once, with the number of workers to which it applies.
func (p *Placer) Explain(taskID string) string {
	if w, ok := p.WorkerOf(taskID); ok {
		return "placed on " + w
	}
	t, ok := p.waitQueue.tasks[taskID]
	if !ok {
		return "not known"
	}
	reasons := map[string]int{}
	for _, w := range p.workers {
		reasons[w.rejectReason(t)]++
	}
	text := "waits"
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		text += fmt.Sprintf("; %d workers: %s", reasons[reason], reason)
	}
	return text
}

// rejectReason returns why the worker can't take the task now, or "would do" when it can.
func (w *worker) rejectReason(t *Task) string {
	allowed, reason := t.Place.Allows(w.Site)
	free := w.free()
	switch {
	case !allowed:
		return reason
	case w.closed:
		return "takes no new tasks"
	case w.reserved != "" && w.reserved != t.ID:
		return "kept free for " + w.reserved
	case t.Resources.CPUMillis > free.CPUMillis:
		return "too few processors free"
	case t.Resources.MemoryMB > free.MemoryMB:
		return "too little memory free"
	case t.Resources.Accelerators > free.Accelerators:
		return "too few accelerators free"
	}
	return "would do"
}
