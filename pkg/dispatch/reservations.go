package dispatch

import (
	"cmp"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/worth"
)

const (
	// gangReservationFactor is by how much the workers held for a gang exceed what it needs: one in five of them is
	// lost or slow before the gang begins on days with trouble.
	gangReservationFactor = 1.25
	// maxNoValueGangs is how many gangs of a pool that are worth nothing any more hold workers: one, and the next
	// one meanwhile, so that all begin in bounded time at little cost to jobs that are worth something.
	maxNoValueGangs = 2
	// maxGangReservedShare is the part of a pool's workers that gangs hold at most (measured with maxBacklogShare).
	maxGangReservedShare = 0.15
)

// reservations hold the workers that a step waits for from steps that come later in the order.
type reservations struct {
	priorities map[WorkerID]int                  // steps of a lower priority don't get the worker
	gangs      map[string]*gangReservationTotals // by pool
}

// gangReservationTotals count what the gangs of a pool hold.
type gangReservationTotals struct {
	workers      int // that gangs hold
	noValueGangs int // gangs that are worth nothing any more and hold workers
}

func newReservations() *reservations {
	return &reservations{priorities: map[WorkerID]int{}, gangs: map[string]*gangReservationTotals{}}
}

// gangTotals returns what the gangs of a pool hold.
func (r *reservations) gangTotals(pool string) *gangReservationTotals {
	g, ok := r.gangs[pool]
	if !ok {
		g = &gangReservationTotals{}
		r.gangs[pool] = g
	}
	return g
}

// holds says that a worker is kept from steps of a priority.
func (r *reservations) isReserved(id WorkerID, priority int) bool {
	held, ok := r.priorities[id]
	return ok && held < priority
}

// put keeps a worker from steps of a lower priority.
func (r *reservations) add(id WorkerID, priority int) {
	if held, ok := r.priorities[id]; !ok || held > priority {
		r.priorities[id] = priority
	}
}

// reserveWorkers keeps workers for a step that waits, from steps that come later.
//
// A gang needs room on many workers at once, which it never finds while others fill each gap:
// it holds just as many as it needs, also from later steps of its own priority. Other steps
// hold all that may run them from steps of lower priorities.
func (p *Pool) reserveWorkers(s *step, r *reservations, now clock.Time) {
	standing, priority := s.valueClass(now), s.occurrence.job.queue.Priority
	gangs := r.gangTotals(s.occurrence.job.queue.Pool)
	switch {
	case s.spec.Gang && standing == worth.NoValue:
		if gangs.noValueGangs < maxNoValueGangs {
			gangs.noValueGangs++
			p.reserveGangWorkers(s, r, highestPriority, now)
		}
	case standing <= worth.InTime:
		if s.spec.Gang {
			p.reserveGangWorkers(s, r, priority-1, now)
		}
		if !p.isDisabled(PriorityReservations) {
			p.reserveEarliestWorkers(s, r, priority, now)
		}
	}
}

// reserveEarliestWorkers holds as many workers as the waiting tasks of a step need, those on which there will
// be room soonest, from steps of lower priorities.
func (p *Pool) reserveEarliestWorkers(s *step, r *reservations, priority int, now clock.Time) {
	if now >= s.reservation.expiresAt || s.reservation.taskRoom(s) < min(p.startableTasks(s), s.reservation.initialRoom) {
		s.reservation = stepReservation{expiresAt: now.Add(reservationValidity), workers: p.earliestWorkersFor(s, r, priority, now)}
		s.reservation.initialRoom = s.reservation.taskRoom(s)
	}
	for _, w := range s.reservation.workers {
		r.add(w.info.ID, priority)
	}
}

// earliestWorkersFor lists as many workers as the waiting tasks of a step need, those on which there will be
// room soonest.
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

// reservedRoom is how many tasks of a step a worker is held for: those that it has room for, or the next one.
func reservedRoom(s *step, w *worker) int {
	return max(roomFor(s, w), 1)
}

// reservationValidity is how long a step goes on holding the workers that were chosen for it. Choosing sorts all
// workers that may run the step by when they will have room; with each plan, every few milliseconds, it took a
// fifth of the owner's time for decisions in a busy pool of 1,100 workers (BenchmarkBusyPool).
const reservationValidity = 40 * time.Millisecond

// stepReservation are the workers that are held for a waiting step, for a time.
type stepReservation struct {
	expiresAt   clock.Time
	workers     []*worker
	initialRoom int // for how many tasks they were held when they were chosen
}

// taskRoom is for how many tasks of the step the workers are held.
func (h *stepReservation) taskRoom(s *step) int {
	n := 0
	for _, w := range h.workers {
		n += reservedRoom(s, w)
	}
	return n
}

// highestPriority is a priority above that of any queue.
const highestPriority = -1

// reserveGangWorkers holds the workers on which a gang may have room soonest.
func (p *Pool) reserveGangWorkers(s *step, r *reservations, priority int, now clock.Time) {
	pool := s.occurrence.job.queue.Pool
	load, gangs := p.poolLoad(pool), r.gangTotals(pool)
	if p.isDisabled(GangReservations) || load.isOverloaded() && !p.isDisabled(OverloadCheck) {
		return
	}
	if now >= s.gangReservation.expiresAt {
		s.gangReservation = stepReservation{expiresAt: now.Add(reservationValidity), workers: p.workersByTimeUntilRoom(s, r, priority, now)}
	}
	need := gangReservationFactor * float64(len(s.tasks))
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

// workersByTimeUntilRoom lists the workers that may run a step and are not held for others, those first on which
// there will be room soonest.
func (p *Pool) workersByTimeUntilRoom(s *step, r *reservations, priority int, now clock.Time) []*worker {
	var out []*worker
	for id := range s.advice.allowed {
		w, ok := p.workers[id]
		if ok && p.isEligible(s, w, now) && !r.isReserved(id, priority+1) {
			out = append(out, w)
		}
	}
	in := make(map[WorkerID]time.Duration, len(out))
	for _, w := range out {
		in[w.info.ID] = w.timeUntilRoom(s, now)
	}
	slices.SortFunc(out, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(in[a.info.ID], in[b.info.ID]), cmp.Compare(roomFor(s, b), roomFor(s, a)), cmp.Compare(a.info.ID, b.info.ID))
	})
	return out
}

// roomWhenEmpty is how many tasks of a step a worker holds that has nothing else to run.
func roomWhenEmpty(s *step, w *worker) int {
	n := maxTasksWithin(s, w.info.Capacity)
	if s.runsPerWorker != nil {
		n = min(n, s.spec.MaxPerWorker)
	}
	return n
}
