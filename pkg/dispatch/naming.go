package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/queue"
)

const (
	// maxNamed is how many workers a call names at most.
	maxNamed = 100
	// roomMargin is by how much the room of named workers exceeds the need, since other steps
	// take room while a call lasts.
	roomMargin = 1.2
	// callAgain is the time that is lost between a call which did not suffice and the next.
	callAgain = 100 * time.Millisecond
)

// name lists the workers to name in a call: those known to be allowed whose tickets have
// lapsed, and as many others as make the calls for the step shortest (namedOthers).
func (p *Pool) name(s *step, reserved *reservations, now clock.Time) (named []WorkerID, nKnown int) {
	need := float64(s.waiting())
	usedBy := p.ticketsUsedBy(s, now)
	var known, others []*worker
	for id, w := range p.workers {
		if !p.eligible(s, w, now) || reserved.holds(id, s.time.job.queue.Priority) || s.advice.denied[id] {
			continue
		}
		n := fits(s, w)
		if n == 0 {
			continue
		}
		switch {
		case usedBy < s.advice.tickets[id].until:
			need -= float64(n)
		case s.advice.good[id]:
			known = append(known, w)
		default:
			others = append(others, w)
		}
	}
	if need <= 0 {
		return nil, 0
	}
	if s.spec.Gang && len(s.advice.denied) > 0 && totalRoom(s, known)+totalRoom(s, others) < need {
		return nil, 0 // there is no room for all members, whoever is allowed
	}
	named, need = nameKnown(s, known, need*roomMargin)
	nKnown = len(named)
	others = p.shuffled(s, others)
	n := namedOthers(s, others, need, p.rate(s.time.job.queue.Name), *s.time.job.queue.Advice, nKnown)
	for _, w := range others[:n] {
		named = append(named, w.info.ID)
	}
	return named, nKnown
}

// ticketsUsedBy is until when a ticket must hold to be of use beside those of the call that is
// made now. Tasks of a gang start together, so after the answer; others start at once.
func (p *Pool) ticketsUsedBy(s *step, now clock.Time) clock.Time {
	by := now.Add(ticketMargin)
	if s.spec.Gang {
		by = by.Add(s.time.job.queue.Advice.Of(adviceWorkers))
	}
	return by
}

// nameKnown names workers that are certainly allowed until the room suffices, and returns the
// room that is still needed.
func nameKnown(s *step, known []*worker, need float64) (named []WorkerID, left float64) {
	slices.SortFunc(known, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(fits(s, b), fits(s, a)), cmp.Compare(a.info.ID, b.info.ID))
	})
	for _, w := range known {
		if need <= 0 || len(named) >= maxNamed {
			break
		}
		named = append(named, w.info.ID)
		need -= float64(fits(s, w))
	}
	return named, need
}

func totalRoom(s *step, workers []*worker) float64 {
	room := 0
	for _, w := range workers {
		room += fits(s, w)
	}
	return float64(room)
}

// shuffled orders workers by room, and those with the same room in changing order, so that
// steps that ask at the same moment name different ones.
func (p *Pool) shuffled(s *step, workers []*worker) []*worker {
	slices.SortFunc(workers, func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	if n := len(workers); n > 0 {
		p.advice.offset += 7
		at := p.advice.offset % n
		workers = append(slices.Clone(workers[at:]), workers[:at]...)
	}
	if s.spec.Gang || s.waiting() > 3 {
		slices.SortStableFunc(workers, func(a, b *worker) int { return cmp.Compare(fits(s, b), fits(s, a)) })
	}
	return workers
}

// namedOthers is how many of the workers, in their order, a call should name beside the known
// ones: the number for which calls take the least time until the room suffices. A call that
// names n takes a fixed time and some for each; it suffices with the probability that enough
// of the n are allowed, each with the probability rate. Otherwise another call follows.
func namedOthers(s *step, workers []*worker, need, rate float64, advice queue.AdviceCost, known int) int {
	if need <= 0 {
		return 0
	}
	most := min(len(workers), maxNamed-known)
	best, bestTime := most, math.Inf(1)
	room := 0
	for n := 1; n <= most; n++ {
		room += fits(s, workers[n-1])
		enough := int(math.Ceil(need * float64(n) / float64(room)))
		suffices := atLeast(enough, n, rate)
		if suffices < minSuffices {
			continue
		}
		call := advice.Of(known + n)
		expected := (float64(call) + (1-suffices)*float64(callAgain)) / suffices
		if expected < bestTime {
			best, bestTime = n, expected
		}
	}
	return best
}

// minSuffices is the probability below which a call is not expected to suffice.
const minSuffices = 0.01

// atLeast is the probability that at least k of n independent trials succeed, each with the
// probability rate.
func atLeast(k, n int, rate float64) float64 {
	if k > n {
		return 0
	}
	if rate >= 1 {
		return 1
	}
	term := math.Pow(1-rate, float64(n)) // exactly i successes
	fewer := 0.0
	for i := range k {
		fewer += term
		term *= float64(n-i) / float64(i+1) * rate / (1 - rate)
	}
	return max(1-fewer, 0)
}

func (p *Pool) rate(queueName string) float64 {
	if r, ok := p.advice.rates[queueName]; ok {
		return max(r, 0.05)
	}
	return firstRate
}
