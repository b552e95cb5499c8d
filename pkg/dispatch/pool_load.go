package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
)

// poolLoad sums up the workers of one pool, without those in data halls that are being evacuated, and
// the tasks that wait for them. Each pool has its own sums, since tasks that wait for one pool don't
// affect the room in another.
type poolLoad struct {
	workers  int
	capacity cell.Resources
	used     cell.Resources
	// waitingNeed is the sum of the resources of the tasks that may be started. Summing stops when it
	// exceeds what the pool gets through soon (isOverloaded).
	waitingNeed cell.Resources
}

// maxBacklogShare is the share of a pool's scarcest resource that the waiting tasks may need while
// gangs may still reserve workers. With a larger backlog, other tasks make better use of the reserved
// room. Of 0.2, 0.3, 0.5 and no limit, 0.3 earned most in a pool of 48 workers under bursts of short
// jobs.
const maxBacklogShare = 0.3

// isOverloaded reports whether more tasks wait than the pool gets through soon.
func (l *poolLoad) isOverloaded() bool {
	return l.waitingNeed.DominantShare(l.capacity) > maxBacklogShare
}

// mostlyUsedShare is the share of a pool in use above which waiting is excused. The platform counts a
// job as lost that waits while less than half of a pool is in use, and the sums that a plan uses are up
// to 20 ms old.
const mostlyUsedShare = 0.6

// isMostlyUsed reports whether most of the pool is in use.
func (l *poolLoad) isMostlyUsed() bool {
	return l.used.DominantShare(l.capacity) > mostlyUsedShare
}

// poolLoad returns the sums of a pool. For a pool without workers they are empty.
func (p *Pool) poolLoad(pool string) *poolLoad {
	l, ok := p.loads[pool]
	if !ok {
		l = &poolLoad{}
		p.loads[pool] = l
	}
	return l
}

// loadUpdateInterval is the minimum time between two passes over all workers: plans follow each other
// within milliseconds, and there may be thousands of workers.
const loadUpdateInterval = 20 * time.Millisecond

// updateLoads ends runs whose leases have expired, retires draining workers and computes the sums of
// all pools.
func (p *Pool) updateLoads(now clock.Time) {
	if p.loadsUpdatedAt != 0 && now.Sub(p.loadsUpdatedAt) < loadUpdateInterval {
		return
	}
	p.loadsUpdatedAt = now
	clear(p.loads)
	p.updateUnreportedUse()
	for _, w := range p.workersByID() {
		p.expireWorker(w, now)
		p.retireIfDraining(w)
		if !w.terminated && !w.evacuated {
			l := p.poolLoad(w.info.Pool)
			l.workers++
			l.capacity = l.capacity.Add(w.info.Capacity)
			l.used = l.used.Add(w.used)
		}
	}
}

// updateBacklogs computes the waiting need of each pool. Tasks that wait for their customer's quota
// don't count.
func (p *Pool) updateBacklogs() {
	for _, l := range p.loads {
		l.waitingNeed = cell.Resources{}
	}
	poolsLeft := len(p.loads)
	for s := range p.waitingSteps.all() {
		if poolsLeft == 0 {
			return
		}
		l, known := p.loads[s.occurrence.job.queue.Pool]
		if !known || l.isOverloaded() {
			continue
		}
		l.waitingNeed = l.waitingNeed.Add(s.spec.Need().Times(int64(p.startableTasks(s))))
		if l.isOverloaded() {
			poolsLeft--
		}
	}
}
