package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
)

// poolLoad sums up the workers of one pool, without those in halls that are being evacuated, and what waits for them. Pools have nothing in common but
// the owner: what waits for one says nothing of the room in another.
type poolLoad struct {
	workers  int
	capacity cell.Resources
	used     cell.Resources
	// waiting is what tasks need that may be started: all of them, or so many that more waits than the pool gets through soon.
	waitingNeed cell.Resources
}

// maxBacklogShare is the part of a pool up to which what waits may need it for gangs to hold workers.
// With more, the room that stands idle is worth more to others. The scarcest resource decides.
// Of 0.2, 0.3, 0.5 and no limit it earned most in a pool of 48 workers under bursts of short jobs.
const maxBacklogShare = 0.3

// isOverloaded says that more waits than the pool gets through soon.
func (l *poolLoad) isOverloaded() bool {
	return l.waitingNeed.DominantShare(l.capacity) > maxBacklogShare
}

// mostlyUsedShare is the part of a pool from which on all steps take their turns. The platform counts a job as lost that waits while less than
// half of a pool is in use, and a plan's sums are up to 20 ms old.
const mostlyUsedShare = 0.6

// isMostlyUsed says that most of the pool is in use.
func (l *poolLoad) isMostlyUsed() bool {
	return l.used.DominantShare(l.capacity) > mostlyUsedShare
}

// poolLoad returns the sums of a pool; those of one that has no workers are empty.
func (p *Pool) poolLoad(pool string) *poolLoad {
	l, ok := p.loads[pool]
	if !ok {
		l = &poolLoad{}
		p.loads[pool] = l
	}
	return l
}

// surveyInterval is the least time between two looks at all workers: plans follow each other
// within milliseconds, and there may be thousands of workers.
const surveyInterval = 20 * time.Millisecond

// updateLoads ends what has lapsed, and sums up what the workers hold.
func (p *Pool) updateLoads(now clock.Time) {
	if p.surveyedAt != 0 && now.Sub(p.surveyedAt) < surveyInterval {
		return
	}
	p.surveyedAt = now
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

// sumBacklog sums up what waits for each pool, until it is more than the pool gets through soon. What waits for its customer's quota does not
// count.
func (p *Pool) sumBacklog() {
	for _, l := range p.loads {
		l.waitingNeed = cell.Resources{}
	}
	left := len(p.loads)
	for s := range p.waitingSteps.all() {
		if left == 0 {
			return
		}
		l, known := p.loads[s.occurrence.job.queue.Pool]
		if !known || l.isOverloaded() {
			continue
		}
		l.waitingNeed = l.waitingNeed.Add(s.spec.Need().Times(int64(p.startableTasks(s))))
		if l.isOverloaded() {
			left--
		}
	}
}
