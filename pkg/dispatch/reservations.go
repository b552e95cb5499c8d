package dispatch

import (
	"cmp"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/worth"
)

const (
	// gangMargin is by how much the workers held for a gang exceed what it needs: one in five of them is
	// lost or slow before the gang begins on days with trouble.
	gangMargin = 1.25
	// gangsAtOnce is how many gangs of a pool that are worth nothing any more hold workers: one, and the next
	// one meanwhile, so that all begin in bounded time at little cost to jobs that are worth something.
	gangsAtOnce = 2
	// heldShare is the part of a pool's workers that gangs hold at most (measured with mostBacklog).
	heldShare = 0.15
)

// reservations hold the workers that a step waits for from steps that come later in the order.
type reservations struct {
	priorities map[WorkerID]int             // steps of a lower priority don't get the worker
	gangs      map[string]*gangReservations // by pool
}

// gangReservations count what the gangs of a pool hold.
type gangReservations struct {
	workers   int // that gangs hold
	worthless int // gangs that are worth nothing any more and hold workers
}

func newReservations() *reservations {
	return &reservations{priorities: map[WorkerID]int{}, gangs: map[string]*gangReservations{}}
}

// ofGangs returns what the gangs of a pool hold.
func (r *reservations) ofGangs(pool string) *gangReservations {
	g, ok := r.gangs[pool]
	if !ok {
		g = &gangReservations{}
		r.gangs[pool] = g
	}
	return g
}

// holds says that a worker is kept from steps of a priority.
func (r *reservations) holds(id WorkerID, priority int) bool {
	held, ok := r.priorities[id]
	return ok && held < priority
}

// put keeps a worker from steps of a lower priority.
func (r *reservations) put(id WorkerID, priority int) {
	if held, ok := r.priorities[id]; !ok || held > priority {
		r.priorities[id] = priority
	}
}

// reserve keeps workers for a step that waits, from steps that come later.
//
// A gang needs room on many workers at once, which it never finds while others fill each gap:
// it holds just as many as it needs, also from later steps of its own priority. Other steps
// hold all that may run them from steps of lower priorities.
func (p *Pool) reserve(s *step, r *reservations, now clock.Time) {
	standing, priority := s.standing(now), s.time.job.queue.Priority
	gangs := r.ofGangs(s.time.job.queue.Pool)
	switch {
	case s.spec.Gang && standing == worth.Worthless:
		if gangs.worthless < gangsAtOnce {
			gangs.worthless++
			p.reserveGang(s, r, beforeAll, now)
		}
	case standing <= worth.InTime:
		if s.spec.Gang {
			p.reserveGang(s, r, priority-1, now)
		}
		if !p.without(PriorityReservations) {
			p.reserveSoonest(s, r, priority, now)
		}
	}
}

// reserveSoonest holds as many workers as the waiting tasks of a step need, those on which there will
// be room soonest, from steps of lower priorities.
func (p *Pool) reserveSoonest(s *step, r *reservations, priority int, now clock.Time) {
	if now >= s.holds.until || s.holds.room(s) < min(p.startable(s), s.holds.chosenRoom) {
		s.holds = stepHolds{until: now.Add(holdsLast), workers: p.soonestFor(s, r, priority, now)}
		s.holds.chosenRoom = s.holds.room(s)
	}
	for _, w := range s.holds.workers {
		r.put(w.info.ID, priority)
	}
}

// soonestFor lists as many workers as the waiting tasks of a step need, those on which there will be
// room soonest.
func (p *Pool) soonestFor(s *step, r *reservations, priority int, now clock.Time) []*worker {
	workers := p.soonest(s, r, priority, now)
	need := p.startable(s)
	for n, w := range workers {
		if need <= 0 {
			return workers[:n]
		}
		need -= roomOrNext(s, w)
	}
	return workers
}

// roomOrNext is how many tasks of a step a worker is held for: those that it has room for, or the next one.
func roomOrNext(s *step, w *worker) int {
	return max(fits(s, w), 1)
}

// holdsLast is how long a step goes on holding the workers that were chosen for it. Choosing sorts all
// workers that may run the step by when they will have room; with each plan, every few milliseconds, it took a
// fifth of the owner's time for decisions in a busy pool of 1,100 workers (BenchmarkBusyPool).
const holdsLast = 40 * time.Millisecond

// stepHolds are the workers that are held for a waiting step, for a time.
type stepHolds struct {
	until      clock.Time
	workers    []*worker
	chosenRoom int // for how many tasks they were held when they were chosen
}

// room is for how many tasks of the step the workers are held.
func (h *stepHolds) room(s *step) int {
	n := 0
	for _, w := range h.workers {
		n += roomOrNext(s, w)
	}
	return n
}

// beforeAll is a priority above that of any queue.
const beforeAll = -1

// reserveGang holds the workers on which a gang may have room soonest.
func (p *Pool) reserveGang(s *step, r *reservations, priority int, now clock.Time) {
	pool := s.time.job.queue.Pool
	load, gangs := p.load(pool), r.ofGangs(pool)
	if p.without(GangReservations) || load.overloaded() && !p.without(OverloadCheck) {
		return
	}
	if now >= s.gangSoonest.until {
		s.gangSoonest = stepHolds{until: now.Add(holdsLast), workers: p.soonest(s, r, priority, now)}
	}
	need := gangMargin * float64(len(s.tasks))
	for _, w := range s.gangSoonest.workers {
		if need <= 0 || float64(gangs.workers) >= heldShare*float64(load.workers) {
			return
		}
		if !p.eligible(s, w, now) || r.holds(w.info.ID, priority+1) {
			continue
		}
		r.put(w.info.ID, priority)
		gangs.workers++
		need -= float64(roomWhenEmpty(s, w))
	}
}

// soonest lists the workers that may run a step and are not held for others, those first on which
// there will be room soonest.
func (p *Pool) soonest(s *step, r *reservations, priority int, now clock.Time) []*worker {
	var out []*worker
	for id := range s.advice.good {
		w, ok := p.workers[id]
		if ok && p.eligible(s, w, now) && !r.holds(id, priority+1) {
			out = append(out, w)
		}
	}
	in := make(map[WorkerID]time.Duration, len(out))
	for _, w := range out {
		in[w.info.ID] = w.roomIn(s, now)
	}
	slices.SortFunc(out, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(in[a.info.ID], in[b.info.ID]), cmp.Compare(fits(s, b), fits(s, a)), cmp.Compare(a.info.ID, b.info.ID))
	})
	return out
}

// roomWhenEmpty is how many tasks of a step a worker holds that has nothing else to run.
func roomWhenEmpty(s *step, w *worker) int {
	n := tasksWithin(s, w.info.Capacity)
	if s.perOf != nil {
		n = min(n, s.spec.MaxPerWorker)
	}
	return n
}
