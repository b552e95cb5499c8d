package dispatch

import (
	"cmp"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/advice"
	"foldarch.dev/foldarch/pkg/clock"
)

const (
	// targetRoomMargin is by how much the room of the targets must exceed the need, since other steps take room
	// while a call is pending.
	targetRoomMargin = 1.2
	// maxGangRoomMargin is the largest such margin of a gang. The platform requires that a gang starts if there is
	// room for it twice over.
	maxGangRoomMargin = 2
)

// workerRoom is a worker and how many tasks of a step it has room for.
type workerRoom struct {
	worker *worker
	room   int
}

// adviceTargets are the workers that advice calls ask about: those known to be allowed come first, those
// without room last.
type adviceTargets struct {
	workers  []WorkerID
	known    int // how many are known to be allowed
	withRoom int // how many have room, or are expected to
}

// split divides the targets into parts of at most size workers, one for each call.
func (t adviceTargets) split(size int) []adviceTargets {
	var out []adviceTargets
	for part := range slices.Chunk(t.workers, size) {
		out = append(out, adviceTargets{part, min(t.known, len(part)), min(t.withRoom, len(part))})
		t.known, t.withRoom = max(t.known-len(part), 0), max(t.withRoom-len(part), 0)
	}
	return out
}

// selectAdviceTargets selects the workers to ask about in calls that are made at the same time: those known
// to be allowed whose tickets have expired, as many others as make the total time of the calls for the step
// shortest (advice.Prices), and some without room, so that no later call has to ask about them.
func (p *Pool) selectAdviceTargets(s *step, reserved *reservations, prices advice.Prices, now clock.Time) adviceTargets {
	waiting := p.startableTasks(s)
	if s.promoted {
		waiting = s.waitingTasks() // it needs tickets by the time its customer's quota has room
	}
	known, covered := p.allowedWithoutTickets(s, reserved, prices, now)
	need := float64(waiting - covered)
	if need <= 0 {
		return adviceTargets{}
	}
	enoughRoom := sufficientRoomFactor * need / p.advice.rates.Of(s.occurrence.job.queue.Name)
	others, full := p.workersWithUnknownAdvice(s, reserved, enoughRoom, s.spec.Gang || waiting > maxSmallStepTasks, now)
	if s.spec.Gang && totalRoom(known)+totalRoom(others) < need {
		known, others = nil, nil // there is no room for all members, whichever workers are allowed
	}
	if s.spec.Gang {
		need += (p.gangRoomMargin(s) - 1) * float64(waiting)
	} else {
		need *= targetRoomMargin
	}
	workers, need := selectKnownTargets(known, need, prices.MaxWorkers())
	nKnown := len(workers)
	n, suffices := p.otherTargetCount(s, others, need, prices, nKnown)
	for _, o := range others[:n] {
		workers = append(workers, o.worker.info.ID)
	}
	withRoom := len(workers)
	workers = append(workers, p.selectFullTargets(s, full, suffices, advice.MaxWorkersPerCall-len(workers), now)...)
	return adviceTargets{workers, nKnown, withRoom}
}

// gangRoomMargin is the targetRoomMargin of a gang. It applies to all members, since other steps also take room for
// which the gang has tickets already, and one ticket too few means another round of calls. In a pool that is not mostly
// used it grows with each round that did not suffice.
func (p *Pool) gangRoomMargin(s *step) float64 {
	if p.poolLoad(s.occurrence.job.queue.Pool).isMostlyUsed() {
		return targetRoomMargin
	}
	return min(1+(targetRoomMargin-1)*float64(1+s.advice.insufficientRounds), maxGangRoomMargin)
}

// otherTargetCount returns how many of the other workers, taken in their order, the calls should ask about
// beside the known ones, and the probability that they suffice.
func (p *Pool) otherTargetCount(s *step, others []workerRoom, need float64, prices advice.Prices, known int) (n int, suffices float64) {
	rate := p.advice.rates.Of(s.occurrence.job.queue.Name)
	if p.isDisabled(CostBasedAdviceSize) {
		return advice.SufficientCount(roomPerWorker(others), need/rate, prices.MaxWorkers()-known), 1
	}
	return prices.CheapestCount(roomPerWorker(others), need, rate, known)
}

// selectFullTargets selects workers without room, those first that are expected to have room soonest.
// Whether a worker may run a step does not change, so asking now saves the fixed cost of a later call, if
// one is needed. That is why the time added for these workers is limited to the fixed cost times the
// probability that this call does not suffice. It selects none when the workers known to be allowed have
// enough room when empty.
func (p *Pool) selectFullTargets(s *step, full []*worker, suffices float64, maxTargets int, now clock.Time) []WorkerID {
	if p.isDisabled(AdviceOnFullWorkers) {
		return nil
	}
	q := s.occurrence.job.queue
	missing := allowedRoomFactor * float64(s.spec.Count)
	for id := range s.advice.allowed {
		if w, ok := p.workers[id]; ok && !w.terminated && !w.isLeaving() {
			missing -= float64(roomWhenEmpty(s, w))
		}
	}
	budget := time.Duration((1 - suffices) * float64(q.Advice.Base))
	if missing <= 0 || budget < q.Advice.PerWorker {
		return nil
	}
	var out []WorkerID
	for _, w := range sortByTimeUntilRoom(s, full, now) {
		if missing <= 0 || len(out) >= maxTargets || budget < q.Advice.PerWorker {
			break
		}
		out = append(out, w.info.ID)
		budget -= q.Advice.PerWorker
		missing -= p.advice.rates.Of(q.Name) * float64(roomWhenEmpty(s, w))
	}
	return out
}

// sortByTimeUntilRoom sorts workers by when they are expected to have room for a task of a step, and keeps
// the order of equal ones.
func sortByTimeUntilRoom(s *step, workers []*worker, now clock.Time) []*worker {
	type entry struct {
		worker *worker
		in     time.Duration
	}
	entries := make([]entry, len(workers))
	for i, w := range workers {
		entries[i] = entry{w, w.timeUntilRoom(s, now)}
	}
	slices.SortStableFunc(entries, func(a, b entry) int { return cmp.Compare(a.in, b.in) })
	out := make([]*worker, len(workers))
	for i, e := range entries {
		out[i] = e.worker
	}
	return out
}

// allowedRoomFactor is for how many times the tasks of a step its allowed workers should have room when
// empty, so that the step soon finds room on one of them: when three quarters of a pool are in use, one
// worker in four has room.
const allowedRoomFactor = 4

// sufficientRoomFactor is how many times the room that a step needs, divided by its queue's rate of allowed
// workers, must be available for expected room to be left out of account.
const sufficientRoomFactor = 2

// availableRoom returns how many tasks of a step a worker has room for now; 0 also when the worker is
// reserved for other steps.
func (p *Pool) availableRoom(s *step, w *worker, reserved *reservations) int {
	if reserved.isReserved(w.info.ID, s.occurrence.job.queue.Priority) {
		return 0
	}
	return roomFor(s, w)
}

// expectedRoom returns how many tasks of a step a worker may be given by the time an advice call is
// answered; 0 also when the worker is reserved for other steps. For large gangs only the room available now
// counts, since the room expected on many workers does not become free at the same time.
func (p *Pool) expectedRoom(s *step, w *worker, reserved *reservations, now clock.Time) int {
	if reserved.isReserved(w.info.ID, s.occurrence.job.queue.Priority) {
		return 0
	}
	n := roomFor(s, w)
	if n > 0 || s.spec.Gang && s.spec.Count > maxSmallStepTasks || p.isDisabled(ExpectedRoom) {
		return n
	}
	return roomWithin(s, w, w.freeWithin(s.occurrence.job.queue.Advice.CallTime(1), now))
}

// allowedWithoutTickets lists the workers with room that are known to be allowed and whose tickets expire
// too soon, those with most room first, and counts the tasks for which the workers with valid tickets have
// room.
func (p *Pool) allowedWithoutTickets(s *step, reserved *reservations, prices advice.Prices, now clock.Time) (known []workerRoom, covered int) {
	minExpiry := minTicketExpiry(s, prices, now)
	for id := range s.advice.allowed {
		w, ok := p.workers[id]
		if !ok || !p.isEligible(s, w, now) {
			continue
		}
		room := p.expectedRoom(s, w, reserved, now)
		switch {
		case room == 0:
		case minExpiry < s.advice.tickets[id].expiresAt:
			covered += room
		default:
			known = append(known, workerRoom{w, room})
		}
	}
	slices.SortFunc(known, func(a, b workerRoom) int {
		return cmp.Or(cmp.Compare(b.room, a.room), cmp.Compare(a.worker.info.ID, b.worker.info.ID))
	})
	return known, covered
}

// targetOffsetStep is by how many workers the start of a selection moves each time.
const targetOffsetStep = 7

// maxSmallStepTasks is up to how many waiting tasks a step counts as small: any few workers suffice for it.
const maxSmallStepTasks = 3

// workersWithUnknownAdvice lists the workers of which it is not known whether they may run the step: those
// with room, and up to advice.MaxWorkersPerCall full ones. Each call starts at another worker, so that
// steps that ask at the same time get different targets; with byRoom, the workers with most room come
// first. Expected room is considered only when the room available now is less than enoughRoom tasks, since
// computing it goes over all runs.
func (p *Pool) workersWithUnknownAdvice(s *step, reserved *reservations, enoughRoom float64, byRoom bool, now clock.Time) (others []workerRoom, full []*worker) {
	p.advice.targetOffset += targetOffsetStep
	workers, first := p.usableWorkersFrom(s.occurrence.job.queue.Pool, p.advice.targetOffset, now)
	for i := range workers {
		w := workers[(first+i)%len(workers)].worker
		if s.advice.denied[w.info.ID] || s.advice.allowed[w.info.ID] || !p.isEligible(s, w, now) {
			continue
		}
		if room := p.availableRoom(s, w, reserved); room > 0 {
			others = append(others, workerRoom{w, room})
		} else {
			full = append(full, w)
		}
		if !byRoom && len(others) == advice.MaxWorkersPerCall {
			break
		}
	}
	if totalRoom(others) < enoughRoom {
		others, full = p.addExpectedRoom(s, others, full, reserved, now)
	}
	if byRoom {
		others = sortByRoom(others)
	}
	return others, full[:min(len(full), advice.MaxWorkersPerCall)]
}

// addExpectedRoom moves workers that are expected to have room from full to others.
func (p *Pool) addExpectedRoom(s *step, others []workerRoom, full []*worker, reserved *reservations, now clock.Time) ([]workerRoom, []*worker) {
	remaining := full[:0]
	for _, w := range full {
		if room := p.expectedRoom(s, w, reserved, now); room > 0 {
			others = append(others, workerRoom{w, room})
		} else {
			remaining = append(remaining, w)
		}
	}
	return others, remaining
}

// minTicketExpiry is when a ticket must still be valid to be of use together with the tickets of the calls
// that are made now. Members of a gang start together, so only after the answers; other tasks start at once.
func minTicketExpiry(s *step, prices advice.Prices, now clock.Time) clock.Time {
	expiry := now.Add(minTicketValidity)
	if s.spec.Gang {
		expiry = expiry.Add(prices.CallTime(max(typicalAdviceWorkers, s.spec.Count)))
	}
	return expiry
}

// selectKnownTargets selects at most maxTargets workers, until their room suffices, and returns the room
// that is still needed.
func selectKnownTargets(known []workerRoom, need float64, maxTargets int) (targets []WorkerID, remaining float64) {
	for _, k := range known {
		if need <= 0 || len(targets) >= maxTargets {
			break
		}
		targets = append(targets, k.worker.info.ID)
		need -= float64(k.room)
	}
	return targets, need
}

// roomPerWorker returns the room of each worker, in the same order.
func roomPerWorker(workers []workerRoom) []int {
	rooms := make([]int, len(workers))
	for i, w := range workers {
		rooms[i] = w.room
	}
	return rooms
}

// sortByRoom sorts workers by their room, largest first, and keeps the order of equal ones. It is a counting
// sort, since few different values occur.
func sortByRoom(workers []workerRoom) []workerRoom {
	maxRoom := 0
	for _, w := range workers {
		maxRoom = max(maxRoom, w.room)
	}
	ends := make([]int, maxRoom+1) // where the workers with a given room end in the result
	for _, w := range workers {
		ends[w.room]++
	}
	for room := maxRoom - 1; room >= 0; room-- {
		ends[room] += ends[room+1]
	}
	out := make([]workerRoom, len(workers))
	for _, w := range slices.Backward(workers) {
		ends[w.room]--
		out[ends[w.room]] = w
	}
	return out
}

func totalRoom(workers []workerRoom) float64 {
	room := 0
	for _, w := range workers {
		room += w.room
	}
	return float64(room)
}
