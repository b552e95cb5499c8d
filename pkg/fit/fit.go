package fit

import "foldarch.dev/foldarch/pkg/cell"

// MaxTasks returns for how many tasks that need these resources the free ones suffice, up to limit.
func MaxTasks(need, free cell.Resources, limit int) int {
	n := limit
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

// Candidate is a worker with room for a task.
type Candidate struct {
	Free, Capacity cell.Resources
	FarFromData    bool // far from the task's data
	FailedHere     bool // the task's last attempt failed on this worker
	RecentFailures bool // the task has failed before, and so did the last tasks on this worker
}

// These costs are added to the share that a task leaves free, which is at most 1 + otherResourcesWeight. Only
// their order matters: nearness of the data counts more than a good fit, a worker without recent failures more
// than nearness, and any other worker is better than the one on which the task failed.
const (
	farFromDataCost    = 10
	recentFailuresCost = 50
	failedHereCost     = 100
)

// Cost returns the cost of running a task on the worker. It is lowest on a worker that the task fills up
// most, that is near the task's data, and on which the task has not failed.
func (w Candidate) Cost(need cell.Resources) float64 {
	cost := w.remainingShare(need)
	if w.FarFromData {
		cost += farFromDataCost
	}
	if w.FailedHere {
		cost += failedHereCost
	}
	if w.RecentFailures {
		cost += recentFailuresCost
	}
	return cost
}

// otherResourcesWeight lets the other resources decide among workers that are equal in the scarcest one.
const otherResourcesWeight = 0.1

// remainingShare returns the share of the worker that stays free when the task runs there. It counts
// above all the resource of which the task needs the largest share, so that partly used workers fill up
// and unused ones stay unused.
func (w Candidate) remainingShare(need cell.Resources) float64 {
	left := w.Free.Sub(need)
	return left.ShareOf(need.Dominant(w.Capacity), w.Capacity) + otherResourcesWeight*left.DominantShare(w.Capacity)
}
