package dispatch

import (
	"cmp"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/worth"
)

const (
	// gangReservationFactor is the ratio between the workers reserved for a gang and the workers that
	// it needs: under failures, one in five of them is lost or slow before the gang begins.
	gangReservationFactor = 1.25
	// maxNoValueGangs is the maximum number of gangs of a pool that reserve workers although their ends
	// are worth nothing any more. The first one collects its workers and the next one begins to
	// meanwhile, so that all such gangs begin in bounded time at little cost to jobs that are still
	// worth something.
	maxNoValueGangs = 2
	// maxGangReservedShare is the maximum share of a pool's workers that gangs reserve. A good value
	// depends on maxBacklogShare.
	maxGangReservedShare = 0.15
)

// reservations are workers that a plan keeps for waiting steps, from steps that come later in the
// order.
type reservations struct {
	priorities map[WorkerID]int                  // steps of a lower priority than this may not use the worker
	gangs      map[string]*gangReservationTotals // by pool
}

// gangReservationTotals counts the reservations for the gangs of a pool.
type gangReservationTotals struct {
	workers      int // reserved for gangs
	noValueGangs int // gangs with reserved workers whose ends are worth nothing any more
}

func newReservations() *reservations {
	return &reservations{priorities: map[WorkerID]int{}, gangs: map[string]*gangReservationTotals{}}
}

// gangTotals returns the totals of the gangs of a pool.
func (r *reservations) gangTotals(pool string) *gangReservationTotals {
	g, ok := r.gangs[pool]
	if !ok {
		g = &gangReservationTotals{}
		r.gangs[pool] = g
	}
	return g
}

// isReserved reports whether a worker is reserved and steps of the given priority may not use it.
func (r *reservations) isReserved(id WorkerID, priority int) bool {
	reservedFor, ok := r.priorities[id]
	return ok && reservedFor < priority
}

// add keeps a worker from steps of a lower priority than the given one.
func (r *reservations) add(id WorkerID, priority int) {
	if reservedFor, ok := r.priorities[id]; !ok || reservedFor > priority {
		r.priorities[id] = priority
	}
}

// reserveWorkers reserves workers for a waiting step.
//
// A gang needs room on many workers at once, which it never finds while other steps fill each gap. So
// it reserves just as many workers as it needs, also from later steps of its own priority. Any step
// reserves the workers on which it will have room earliest, from steps of lower priorities.
func (p *Pool) reserveWorkers(s *step, r *reservations, now clock.Time) {
	class, priority := s.valueClass(now), s.occurrence.job.queue.Priority
	gangs := r.gangTotals(s.occurrence.job.queue.Pool)
	switch {
	case s.spec.Gang && class == worth.NoValue:
		if gangs.noValueGangs < maxNoValueGangs {
			gangs.noValueGangs++
			p.reserveGangWorkers(s, r, highestPriority, now)
		}
	case class <= worth.InTime:
		if s.spec.Gang {
			p.reserveGangWorkers(s, r, priority-1, now)
		}
		if !p.isDisabled(PriorityReservations) {
			p.reserveEarliestWorkers(s, r, priority, now)
		}
	}
}

// reserveEarliestWorkers reserves as many workers as the waiting tasks of a step need, those on which
// there will be room earliest, from steps of lower priorities.
func (p *Pool) reserveEarliestWorkers(s *step, r *reservations, priority int, now clock.Time) {
	if now >= s.reservation.expiresAt || s.reservation.taskRoom(s) < min(p.startableTasks(s), s.reservation.initialRoom) {
		s.reservation = stepReservation{expiresAt: now.Add(reservationValidity), workers: p.earliestWorkersFor(s, r, priority, now)}
		s.reservation.initialRoom = s.reservation.taskRoom(s)
	}
	for _, w := range s.reservation.workers {
		r.add(w.info.ID, priority)
	}
}

// earliestWorkersFor lists as many workers as the waiting tasks of a step need, those on which there
// will be room earliest.
func (p *Pool) earliestWorkersFor(s *step, r *reservations, priority int, now clock.Time) []*worker {
	workers := p.workersByTimeUntilRoom(s, r, priority, now)
	need := p.startableTasks(s)
	for n, w := range workers {
		if need <= 0 {
			return workers[:n]
		}
		need -= reservedRoom(s, w)
	}
	return workers
}

// reservedRoom returns for how many tasks of a step a worker is reserved: those that it has room for
// now, at least one.
func reservedRoom(s *step, w *worker) int {
	return max(roomFor(s, w), 1)
}

// reservationValidity is how long the workers selected for a step stay reserved before they are
// selected anew. A selection sorts all workers that may run the step by the time at which they will
// have room. Done with each plan, every few milliseconds, it took a fifth of the owner's time for
// decisions in a busy pool of 1,100 workers (BenchmarkBusyPool).
const reservationValidity = 40 * time.Millisecond

// stepReservation holds the workers that are reserved for a waiting step until a time.
type stepReservation struct {
	expiresAt   clock.Time
	workers     []*worker
	initialRoom int // taskRoom when the workers were selected
}

// taskRoom returns for how many tasks of the step the workers are reserved.
func (r *stepReservation) taskRoom(s *step) int {
	n := 0
	for _, w := range r.workers {
		n += reservedRoom(s, w)
	}
	return n
}

// highestPriority is higher than the priority of any queue. A lower number is a higher priority.
const highestPriority = -1

// reserveGangWorkers reserves the workers on which a gang may have room earliest.
func (p *Pool) reserveGangWorkers(s *step, r *reservations, priority int, now clock.Time) {
	pool := s.occurrence.job.queue.Pool
	load, gangs := p.poolLoad(pool), r.gangTotals(pool)
	if p.isDisabled(GangReservations) || load.isOverloaded() && !p.isDisabled(OverloadCheck) {
		return
	}
	if now >= s.gangReservation.expiresAt {
		s.gangReservation = stepReservation{expiresAt: now.Add(reservationValidity), workers: p.workersByTimeUntilRoom(s, r, priority, now)}
	}
	need := gangReservationFactor * float64(s.spec.Count)
	for _, w := range s.gangReservation.workers {
		if need <= 0 || float64(gangs.workers) >= maxGangReservedShare*float64(load.workers) {
			return
		}
		if !p.isEligible(s, w, now) || r.isReserved(w.info.ID, priority+1) {
			continue
		}
		r.add(w.info.ID, priority)
		gangs.workers++
		need -= float64(roomWhenEmpty(s, w))
	}
}

// workersByTimeUntilRoom lists the workers that may run a step and are not reserved for others, sorted
// by the time until they have room for it.
func (p *Pool) workersByTimeUntilRoom(s *step, r *reservations, priority int, now clock.Time) []*worker {
	var out []*worker
	for id := range s.advice.allowed {
		w, ok := p.workers[id]
		if ok && p.isEligible(s, w, now) && !r.isReserved(id, priority+1) {
			out = append(out, w)
		}
	}
	roomTimes := make(map[WorkerID]time.Duration, len(out))
	for _, w := range out {
		roomTimes[w.info.ID] = w.timeUntilRoom(s, now)
	}
	slices.SortFunc(out, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(roomTimes[a.info.ID], roomTimes[b.info.ID]), cmp.Compare(roomFor(s, b), roomFor(s, a)), cmp.Compare(a.info.ID, b.info.ID))
	})
	return out
}

// roomWhenEmpty returns how many tasks of a step fit on a worker that runs nothing else.
func roomWhenEmpty(s *step, w *worker) int {
	n := maxTasksWithin(s, w.info.Capacity)
	if s.runsPerWorker != nil {
		n = min(n, s.spec.MaxPerWorker)
	}
	return n
}
