package fit

import "foldarch.dev/foldarch/pkg/cell"

// MaxTasks is how many tasks of a need resources suffice for, at most most.
func MaxTasks(need, free cell.Resources, most int) int {
	n := most
	if need.CPUMillis > 0 {
		n = min(n, int(free.CPUMillis/need.CPUMillis))
	}
	if need.MemoryMB > 0 {
		n = min(n, int(free.MemoryMB/need.MemoryMB))
	}
	if need.Accelerators > 0 {
		n = min(n, int(free.Accelerators/need.Accelerators))
	}
	return max(n, 0)
}

// Candidate is a worker with room for a task, as the task sees it.
type Candidate struct {
	Free, Capacity cell.Resources
	Far            bool // from the task's data
	FailedThere    bool // the task failed there last
	FailsLately    bool // the task has failed somewhere, and so did the last tasks on this worker
}

// What a worker costs beside what is left free there, which is at most 1 + otherResourcesWeight. Only the
// order of these matters: data near goes before a good fit, a worker that has not failed lately before data
// near, and any other worker before the one where the task failed.
const (
	farFromDataCost    = 10
	recentFailuresCost = 50
	failedHereCost     = 100
)

// Cost is what it costs to run a task of a need on the worker: the one that a task uses up most, near its data and away from where it
// failed, costs least.
func (w Candidate) Cost(need cell.Resources) float64 {
	cost := w.remainingShare(need)
	if w.Far {
		cost += farFromDataCost
	}
	if w.FailedThere {
		cost += failedHereCost
	}
	if w.FailsLately {
		cost += recentFailuresCost
	}
	return cost
}

// otherResourcesWeight makes the other resources decide among workers that are alike in the scarcest one.
const otherResourcesWeight = 0.1

// remainingShare is what the worker keeps free beside a task: first of the resource of which the task takes
// the largest share, so that workers which are broken into already fill up and whole ones stay whole.
func (w Candidate) remainingShare(need cell.Resources) float64 {
	left := w.Free.Sub(need)
	return left.ShareOf(need.Dominant(w.Capacity), w.Capacity) + otherResourcesWeight*left.DominantShare(w.Capacity)
}
