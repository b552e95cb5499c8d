package dispatch

import (
	"cmp"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/advice"
	"foldarch.dev/foldarch/pkg/clock"
)

// roomMargin is by how much the room of named workers exceeds the need, since other steps
// take room while a call lasts.
const roomMargin = 1.2

// roomy is a worker and how many tasks of a step it has room for.
type roomy struct {
	worker *worker
	room   int
}

// naming is a list of workers to be named in a call: first those that are known to be allowed, last those without room.
type naming struct {
	workers []WorkerID
	known   int // how many are known to be allowed
	roomy   int // how many have room, or are expected to
}

// parts splits them up for calls that name a number of workers each.
func (n naming) parts(size int) []naming {
	var out []naming
	for part := range slices.Chunk(n.workers, size) {
		out = append(out, naming{part, min(n.known, len(part)), min(n.roomy, len(part))})
		n.known, n.roomy = max(n.known-len(part), 0), max(n.roomy-len(part), 0)
	}
	return out
}

// name lists the workers to name in calls that go out together: those known to be allowed whose tickets have
// lapsed, as many others as make the calls for the step shortest (advice.Prices), and some without
// room, so that no other call has to learn of them.
func (p *Pool) name(s *step, reserved *reservations, calls advice.Prices, now clock.Time) naming {
	waiting := p.startable(s)
	if s.goesFirst {
		waiting = s.waiting() // its tickets are to be there when its customer's quota has room
	}
	known, covered := p.knownWorkers(s, reserved, calls, now)
	need := float64(waiting - covered)
	if need <= 0 {
		return naming{}
	}
	enough := roomEnough * need / p.advice.rates.Of(s.time.job.queue.Name)
	others, full := p.otherWorkers(s, reserved, enough, s.spec.Gang || waiting > fewTasks, now)
	if s.spec.Gang && totalRoom(known)+totalRoom(others) < need {
		known, others = nil, nil // there is no room for all members, whoever is allowed
	}
	workers, need := nameKnown(known, need*roomMargin, calls.MostNamed())
	nKnown := len(workers)
	n, suffices := p.countOthers(s, others, need, calls, nKnown)
	for _, o := range others[:n] {
		workers = append(workers, o.worker.info.ID)
	}
	roomy := len(workers)
	workers = append(workers, p.nameToLearn(s, full, suffices, advice.MaxNamed-len(workers), now)...)
	return naming{workers, nKnown, roomy}
}

// countOthers is how many of the workers, in their order, calls name beside the known ones, and the
// probability that they suffice.
func (p *Pool) countOthers(s *step, others []roomy, need float64, calls advice.Prices, known int) (n int, suffices float64) {
	rate := p.advice.rates.Of(s.time.job.queue.Name)
	if p.without(NamingByCost) {
		return advice.JustEnough(roomsOf(others), need/rate, calls.MostNamed()-known), 1
	}
	return calls.Cheapest(roomsOf(others), need, rate, known)
}

// nameToLearn lists workers without room to be named in a call, those first that will have room
// soonest. Which workers may run a step does not change, so what is learned now saves the fixed part of
// a later call, if there is one: that is why they may take as long as that part times the probability
// that the call does not suffice. It lists none when enough is known for the time when there is room.
func (p *Pool) nameToLearn(s *step, full []*worker, suffices float64, most int, now clock.Time) []WorkerID {
	if p.without(LearningFullWorkers) {
		return nil
	}
	q := s.time.job.queue
	missing := enoughKnown * float64(len(s.tasks))
	for id := range s.advice.good {
		if w, ok := p.workers[id]; ok && !w.gone && !w.leaving() {
			missing -= float64(roomWhenEmpty(s, w))
		}
	}
	budget := time.Duration((1 - suffices) * float64(q.Advice.Base))
	if missing <= 0 || budget < q.Advice.PerWorker {
		return nil
	}
	var out []WorkerID
	for _, w := range byRoomIn(s, full, now) {
		if missing <= 0 || len(out) >= most || budget < q.Advice.PerWorker {
			break
		}
		out = append(out, w.info.ID)
		budget -= q.Advice.PerWorker
		missing -= p.advice.rates.Of(q.Name) * float64(roomWhenEmpty(s, w))
	}
	return out
}

// byRoomIn sorts workers by when they will have room for a task of a step; like ones keep their order.
func byRoomIn(s *step, workers []*worker, now clock.Time) []*worker {
	type entry struct {
		worker *worker
		in     time.Duration
	}
	entries := make([]entry, len(workers))
	for i, w := range workers {
		entries[i] = entry{w, w.roomIn(s, now)}
	}
	slices.SortStableFunc(entries, func(a, b entry) int { return cmp.Compare(a.in, b.in) })
	out := make([]*worker, len(workers))
	for i, e := range entries {
		out[i] = e.worker
	}
	return out
}

// enoughKnown is how many times the tasks of a step the allowed workers should hold when empty, for
// the step to find room among others soon: in a pool that is used to three quarters, one in four has room.
const enoughKnown = 4

// roomEnough is how many times the room that a step needs, at the queue's rate, has to be there for room that
// is only expected to be of no use.
const roomEnough = 2

// roomNow is how many tasks of a step a worker has room for; 0 also when it is held for other steps.
func (p *Pool) roomNow(s *step, w *worker, reserved *reservations) int {
	if reserved.holds(w.info.ID, s.time.job.queue.Priority) {
		return 0
	}
	return fits(s, w)
}

// roomFor is how many tasks of a step a worker may be given by the time that a call for advice is
// answered; 0 also when it is held for other steps. For wide gangs only room counts that is there: what
// is expected on many workers does not come on all of them at the same time.
func (p *Pool) roomFor(s *step, w *worker, reserved *reservations, now clock.Time) int {
	if reserved.holds(w.info.ID, s.time.job.queue.Priority) {
		return 0
	}
	n := fits(s, w)
	if n > 0 || s.spec.Gang && len(s.tasks) > fewTasks || p.without(ExpectedRoom) {
		return n
	}
	return fitsInto(s, w, w.freeBy(s.time.job.queue.Advice.Of(1), now))
}

// knownWorkers lists the workers that are known to be allowed and whose tickets have lapsed,
// those with most room first, and counts the tasks for which the others have room.
func (p *Pool) knownWorkers(s *step, reserved *reservations, calls advice.Prices, now clock.Time) (known []roomy, covered int) {
	usedBy := ticketsUsedBy(s, calls, now)
	for id := range s.advice.good {
		w, ok := p.workers[id]
		if !ok || !p.eligible(s, w, now) {
			continue
		}
		room := p.roomFor(s, w, reserved, now)
		switch {
		case room == 0:
		case usedBy < s.advice.tickets[id].until:
			covered += room
		default:
			known = append(known, roomy{w, room})
		}
	}
	slices.SortFunc(known, func(a, b roomy) int {
		return cmp.Or(cmp.Compare(b.room, a.room), cmp.Compare(a.worker.info.ID, b.worker.info.ID))
	})
	return known, covered
}

// offsetStep is by how many workers the place moves at which a call begins to name.
const offsetStep = 7

// fewTasks is how many waiting tasks make a step small: a few workers will do, whichever.
const fewTasks = 3

// otherWorkers lists workers of which is not known whether they are allowed: those with room, and
// up to advice.MaxNamed full ones. Both begin at another place each time, so that steps that ask at the same moment
// name different ones; with byRoom, those with most room come first. Room that is expected by the time of the answer
// counts when the room that is there is less than a number of tasks: looking for it goes over all runs.
func (p *Pool) otherWorkers(s *step, reserved *reservations, enough float64, byRoom bool, now clock.Time) (others []roomy, full []*worker) {
	p.advice.offset += offsetStep
	workers, first := p.usableFrom(s.time.job.queue.Pool, p.advice.offset, now)
	for i := range workers {
		w := workers[(first+i)%len(workers)].worker
		if s.advice.denied[w.info.ID] || s.advice.good[w.info.ID] || !p.eligible(s, w, now) {
			continue
		}
		if room := p.roomNow(s, w, reserved); room > 0 {
			others = append(others, roomy{w, room})
		} else {
			full = append(full, w)
		}
		if !byRoom && len(others) == advice.MaxNamed {
			break
		}
	}
	if totalRoom(others) < enough {
		others, full = p.addExpectedRoom(s, others, full, reserved, now)
	}
	if byRoom {
		others = mostRoomFirst(others)
	}
	return others, full[:min(len(full), advice.MaxNamed)]
}

// addExpectedRoom moves workers that are expected to have room from the full ones to the others.
func (p *Pool) addExpectedRoom(s *step, others []roomy, full []*worker, reserved *reservations, now clock.Time) ([]roomy, []*worker) {
	still := full[:0]
	for _, w := range full {
		if room := p.roomFor(s, w, reserved, now); room > 0 {
			others = append(others, roomy{w, room})
		} else {
			still = append(still, w)
		}
	}
	return others, still
}

// ticketsUsedBy is until when a ticket must hold to be of use beside those of the calls that are
// made now. Tasks of a gang start together, so after the answers; others start at once.
func ticketsUsedBy(s *step, calls advice.Prices, now clock.Time) clock.Time {
	by := now.Add(ticketMargin)
	if s.spec.Gang {
		by = by.Add(calls.Wait(max(adviceWorkers, len(s.tasks))))
	}
	return by
}

// nameKnown names workers until the room suffices, most at most, and returns the room that is still needed.
func nameKnown(known []roomy, need float64, most int) (named []WorkerID, left float64) {
	for _, k := range known {
		if need <= 0 || len(named) >= most {
			break
		}
		named = append(named, k.worker.info.ID)
		need -= float64(k.room)
	}
	return named, need
}

// roomsOf lists the room of workers, in their order.
func roomsOf(workers []roomy) []int {
	rooms := make([]int, len(workers))
	for i, w := range workers {
		rooms[i] = w.room
	}
	return rooms
}

// mostRoomFirst sorts workers by their room; like ones keep their order. Rooms are few different numbers.
func mostRoomFirst(workers []roomy) []roomy {
	most := 0
	for _, w := range workers {
		most = max(most, w.room)
	}
	ends := make([]int, most+1) // of those with as much room
	for _, w := range workers {
		ends[w.room]++
	}
	for room := most - 1; room >= 0; room-- {
		ends[room] += ends[room+1]
	}
	out := make([]roomy, len(workers))
	for _, w := range slices.Backward(workers) {
		ends[w.room]--
		out[ends[w.room]] = w
	}
	return out
}

func totalRoom(workers []roomy) float64 {
	room := 0
	for _, w := range workers {
		room += w.room
	}
	return float64(room)
}
