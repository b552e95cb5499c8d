package dispatch

import (
	"cmp"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/account"
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
)

// A gang takes its customer's quota as a whole, and other steps take it task by task, so that a gang which holds
// nothing waits as long as smaller steps come, with however little in use. That is why the gang that has waited longest
// of each customer has its turn before all other steps of a plan: what it lacks of the quota is kept for it until it
// starts, whatever its end is still worth, and calls for advice are made for it meanwhile, so that it starts as soon as
// there is enough. In a pool that is well used gangs take their turns like others: room is scarce there.

// firstTurns are the gangs that go first.
type firstTurns struct {
	turns    []firstTurn // by when the gangs' jobs were accepted
	chosenAt clock.Time
}

// firstTurn is the time in which a gang goes first.
type firstTurn struct {
	gang  *step
	since clock.Time
}

const (
	// chooseFirstEvery is the least time between two choices of the gangs that go first: one goes over all steps that
	// wait.
	chooseFirstEvery = 100 * time.Millisecond
	// starvesForLong is how long a gang may starve while smaller steps of its customer use the quota.
	starvesForLong = 6 * time.Second
	// A gang goes first for firstTurnLasts at most, and then not for as long: one for which no workers have room must not
	// keep its customer's quota unused.
	firstTurnLasts = 10 * time.Second
	// unusedFor is how long a quota may be little used while a gang is kept room in it that lacks workers or tickets, too: the
	// platform allows 3 s, of which a call for advice and a start take up to 0.9 s.
	unusedFor = 2 * time.Second
)

// placeFirst has those gangs have their turns that go first.
func (p *Pool) placeFirst(reserved *reservations, now clock.Time, out *Actions) {
	if p.ready.gangs == 0 && len(p.first.turns) == 0 || p.without(StarvingGangsFirst) {
		return
	}
	if now.Sub(p.first.chosenAt) >= chooseFirstEvery {
		p.chooseFirst(now)
	}
	p.first.turns = slices.DeleteFunc(p.first.turns, func(t firstTurn) bool {
		t.gang.goesFirst = t.gang.waits()
		return !t.gang.goesFirst
	})
	for _, t := range p.first.turns {
		if !p.blocked(t.gang.time.job) {
			p.placeFirstGang(t.gang, reserved, now, out)
		}
	}
}

// placeFirstGang starts a gang that goes first, or keeps what it lacks of its customer's quota.
func (p *Pool) placeFirstGang(s *step, reserved *reservations, now clock.Time, out *Actions) {
	if s.held(now) {
		return
	}
	longAtOnce := p.longAtOnce() + longForStarving
	if p.awaitsQuota(s) {
		longAtOnce = p.advice.advisers.Joined() / 2 // these calls bring no start at once, so others go beside them
		p.stopForQuota(s, reserved, now)
	} else {
		s.quotaIdleSince = 0
		p.placeGang(s, reserved, now, out)
		p.preempt(s, now)
	}
	if s.waiting() == 0 {
		p.ready.remove(s)
		return
	}
	p.ask(s, longAtOnce, reserved, now, out)
	p.reserve(s, reserved, now)
	if p.keepsQuota(s, reserved, now) {
		s.promiseQuota()
	}
}

// keepsQuota says whether a gang that goes first is kept room in its customer's quota. One that lacks workers or tickets is not kept any when little of the quota
// has been used for too long.
func (p *Pool) keepsQuota(s *step, reserved *reservations, now clock.Time) bool {
	a := s.time.job.account
	if a.Used().DominantShare(a.Customer().Quota) >= quotaLittleUsed {
		s.quotaUnusedSince = 0
		return true
	}
	if s.quotaUnusedSince == 0 {
		s.quotaUnusedSince = now
	}
	return now.Sub(s.quotaUnusedSince) < unusedFor || p.gangWorkers(s, p.gangCandidates(s, reserved, now)) != nil
}

// chooseFirst chooses the gangs that go first: of each customer the one whose job was accepted first, of those that
// starve.
func (p *Pool) chooseFirst(now clock.Time) {
	since := p.endFirstTurns(now)
	oldest := map[*account.Account]*step{}
	for s := range p.ready.all() {
		a := s.time.job.account
		if a == nil || !p.mayGoFirst(s, now) {
			continue
		}
		if o := oldest[a]; o == nil || compareAccepted(s, o) < 0 {
			oldest[a] = s
		}
	}
	p.first.chosenAt = now
	for _, s := range oldest {
		s.goesFirst = true
		if since[s] == 0 {
			since[s], s.quotaIdleSince, s.quotaUnusedSince = now, 0, 0
		}
		p.first.turns = append(p.first.turns, firstTurn{s, since[s]})
	}
	slices.SortFunc(p.first.turns, func(a, b firstTurn) int { return compareAccepted(a.gang, b.gang) })
}

// endFirstTurns ends all turns, and returns since when the gangs have gone first that may do so again at once.
func (p *Pool) endFirstTurns(now clock.Time) map[*step]clock.Time {
	since := make(map[*step]clock.Time, len(p.first.turns))
	for _, t := range p.first.turns {
		t.gang.goesFirst = false
		if now.Sub(t.since) >= firstTurnLasts {
			t.gang.firstNotBefore = now.Add(firstTurnLasts)
		} else {
			since[t.gang] = t.since
		}
	}
	p.first.turns = p.first.turns[:0]
	return since
}

// mayGoFirst says that a step is a gang that starves in a pool that is not well used, and that its customer has a quota
// that is not well used either, or it has starved for long.
func (p *Pool) mayGoFirst(s *step, now clock.Time) bool {
	if !s.spec.Gang || s.missing() || now < s.firstNotBefore || p.load(s.time.job.queue.Pool).isWellUsed() {
		return false
	}
	a, waited := s.time.job.account, now.Sub(s.readySince)
	if a.Customer().Quota == (cell.Resources{}) {
		return false
	}
	return waited > starvesForLong || waited > starvingAfter && !a.WellUsed()
}

// compareAccepted orders steps by when their jobs were accepted.
func compareAccepted(a, b *step) int {
	return cmp.Or(cmp.Compare(a.time.job.accepted, b.time.job.accepted), cmp.Compare(a.number, b.number))
}
