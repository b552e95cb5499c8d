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

// gangPromotions are the gangs that go first.
type gangPromotions struct {
	promotions []gangPromotion // by when the gangs' jobs were accepted
	updatedAt  clock.Time
}

// gangPromotion is the time in which a gang goes first.
type gangPromotion struct {
	gang  *step
	since clock.Time
}

const (
	// promotionInterval is the least time between two choices of the gangs that go first: one goes over all steps that
	// wait.
	promotionInterval = 100 * time.Millisecond
	// maxGangWait is how long a gang may starve while smaller steps of its customer use the quota.
	maxGangWait = 6 * time.Second
	// A gang goes first for maxPromotionTime at most, and then not for as long: one for which no workers have room must not
	// keep its customer's quota unused.
	maxPromotionTime = 10 * time.Second
	// maxReservedLowQuotaTime is how long a quota may be little used while a gang is kept room in it that lacks workers or tickets, too: the
	// platform allows 3 s, of which a call for advice and a start take up to 0.9 s.
	maxReservedLowQuotaTime = 2 * time.Second
)

// placePromotedGangs has those gangs have their turns that go first.
func (p *Pool) placePromotedGangs(reserved *reservations, now clock.Time, out *Actions) {
	if p.waitingSteps.gangCount == 0 && len(p.promotedGangs.promotions) == 0 || p.isDisabled(GangPromotion) {
		return
	}
	if now.Sub(p.promotedGangs.updatedAt) >= promotionInterval {
		p.updatePromotions(now)
	}
	p.promotedGangs.promotions = slices.DeleteFunc(p.promotedGangs.promotions, func(t gangPromotion) bool {
		t.gang.promoted = t.gang.isQueued()
		return !t.gang.promoted
	})
	for _, t := range p.promotedGangs.promotions {
		if !p.isBlockedByTakeover(t.gang.occurrence.job) {
			p.placePromotedGang(t.gang, reserved, now, out)
		}
	}
}

// placePromotedGang starts a gang that goes first, or keeps what it lacks of its customer's quota.
func (p *Pool) placePromotedGang(s *step, reserved *reservations, now clock.Time, out *Actions) {
	if s.awaitsProbe(now) {
		return
	}
	longAtOnce := p.maxLongCalls() + extraLongCalls
	if p.awaitsQuota(s) {
		longAtOnce = p.advice.advisers.Count() / 2 // these calls bring no start at once, so others go beside them
		p.preemptForQuota(s, reserved, now)
	} else {
		s.awaitsLowQuotaSince = 0
		p.placeGang(s, reserved, now, out)
		p.preempt(s, now)
	}
	if s.waitingTasks() == 0 {
		p.waitingSteps.remove(s)
		return
	}
	p.requestAdvice(s, longAtOnce, reserved, now, out)
	p.reserveWorkers(s, reserved, now)
	if p.mayReserveQuota(s, reserved, now) {
		s.reserveQuota()
	}
}

// mayReserveQuota says whether a gang that goes first is kept room in its customer's quota. One that lacks workers or tickets is not kept any when little of the quota
// has been used for too long.
func (p *Pool) mayReserveQuota(s *step, reserved *reservations, now clock.Time) bool {
	a := s.occurrence.job.account
	if a.Used().DominantShare(a.Customer().Quota) >= lowQuotaShare {
		s.lowQuotaSince = 0
		return true
	}
	if s.lowQuotaSince == 0 {
		s.lowQuotaSince = now
	}
	return now.Sub(s.lowQuotaSince) < maxReservedLowQuotaTime || p.gangWorkers(s, p.gangCandidates(s, reserved, now)) != nil
}

// updatePromotions chooses the gangs that go first: of each customer the one whose job was accepted first, of those that
// starve.
func (p *Pool) updatePromotions(now clock.Time) {
	since := p.clearPromotions(now)
	oldest := map[*account.Account]*step{}
	for s := range p.waitingSteps.all() {
		a := s.occurrence.job.account
		if a == nil || !p.mayPromote(s, now) {
			continue
		}
		if o := oldest[a]; o == nil || compareAccepted(s, o) < 0 {
			oldest[a] = s
		}
	}
	p.promotedGangs.updatedAt = now
	for _, s := range oldest {
		s.promoted = true
		if since[s] == 0 {
			since[s], s.awaitsLowQuotaSince, s.lowQuotaSince = now, 0, 0
		}
		p.promotedGangs.promotions = append(p.promotedGangs.promotions, gangPromotion{s, since[s]})
	}
	slices.SortFunc(p.promotedGangs.promotions, func(a, b gangPromotion) int { return compareAccepted(a.gang, b.gang) })
}

// clearPromotions ends all turns, and returns since when the gangs have gone first that may do so again at once.
func (p *Pool) clearPromotions(now clock.Time) map[*step]clock.Time {
	since := make(map[*step]clock.Time, len(p.promotedGangs.promotions))
	for _, t := range p.promotedGangs.promotions {
		t.gang.promoted = false
		if now.Sub(t.since) >= maxPromotionTime {
			t.gang.promotionNotBefore = now.Add(maxPromotionTime)
		} else {
			since[t.gang] = t.since
		}
	}
	p.promotedGangs.promotions = p.promotedGangs.promotions[:0]
	return since
}

// mayPromote says that a step is a gang that starves in a pool that is not well used, and that its customer has a quota
// that is not well used either, or it has starved for long.
func (p *Pool) mayPromote(s *step, now clock.Time) bool {
	if !s.spec.Gang || s.hasMissingMembers() || now < s.promotionNotBefore || p.poolLoad(s.occurrence.job.queue.Pool).isMostlyUsed() {
		return false
	}
	a, waited := s.occurrence.job.account, now.Sub(s.readySince)
	if a.Customer().Quota == (cell.Resources{}) {
		return false
	}
	return waited > maxGangWait || waited > adviceDelayLimit && !a.IsMostlyUsed()
}

// compareAccepted orders steps by when their jobs were accepted.
func compareAccepted(a, b *step) int {
	return cmp.Or(cmp.Compare(a.occurrence.job.accepted, b.occurrence.job.accepted), cmp.Compare(a.seq, b.seq))
}
