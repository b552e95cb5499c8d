package dispatch

import (
	"slices"

	"foldarch.dev/foldarch/pkg/clock"
)

// usableWorkersByPool are, by pool, the workers that may be given a task in one plan, so that not each choice of workers looks at all of them.
type usableWorkersByPool map[string][]usableWorker

// usableWorker is one of them, with its index among all workers by id.
type usableWorker struct {
	worker *worker
	index  int
}

// usableWorkersIn lists the usable workers of a pool, by id.
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

// usableWorkersFrom lists them, with the index on that list of the first one that comes at or after a place among all workers.
func (p *Pool) usableWorkersFrom(pool string, place int, now clock.Time) (list []usableWorker, first int) {
	list = p.usableWorkersIn(pool, now)
	place %= max(len(p.workersByID()), 1)
	first, _ = slices.BinarySearchFunc(list, place, func(w usableWorker, place int) int { return w.index - place })
	return list, first
}
