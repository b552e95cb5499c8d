package dispatch

import (
	"slices"

	"foldarch.dev/foldarch/pkg/clock"
)

// usableWorkersByPool caches for one plan the workers of each pool that may be given a task, so that
// not every selection has to visit all workers.
type usableWorkersByPool map[string][]usableWorker

// usableWorker is a usable worker with its index in the list of all workers (workersByID).
type usableWorker struct {
	worker *worker
	index  int
}

// usableWorkersIn lists the usable workers of a pool, sorted by ID.
func (p *Pool) usableWorkersIn(pool string, now clock.Time) []usableWorker {
	if list, known := p.usableWorkers[pool]; known {
		return list
	}
	var list []usableWorker
	for i, w := range p.workersByID() {
		if w.info.Pool == pool && w.isUsable(now) {
			list = append(list, usableWorker{w, i})
		}
	}
	if p.usableWorkers != nil {
		p.usableWorkers[pool] = list
	}
	return list
}

// usableWorkersFrom returns the usable workers of a pool, and the position in this list of the first
// one whose index among all workers is at least the given one.
func (p *Pool) usableWorkersFrom(pool string, from int, now clock.Time) (list []usableWorker, first int) {
	list = p.usableWorkersIn(pool, now)
	from %= max(len(p.workersByID()), 1)
	first, _ = slices.BinarySearchFunc(list, from, func(w usableWorker, from int) int { return w.index - from })
	return list, first
}
