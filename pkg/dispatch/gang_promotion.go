package dispatch

import (
	"cmp"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/account"
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
)

// gangPromotions are the gangs that are promoted, that is, placed before all other steps of a plan.
//
// A gang takes its share of its customer's quota all at once, and other steps take theirs task by task. So a
// gang without runs would wait for as long as smaller steps of its customer keep arriving, however little of
// the quota is in use. That is why the gang of each customer that has waited longest is promoted: what it
// lacks of the quota is reserved for it until it starts, whatever its end is still worth, and advice calls
// are made for it meanwhile, so that it starts as soon as the quota suffices. In a mostly used pool gangs
// keep their rank, since room is scarce there.
type gangPromotions struct {
	promotions []gangPromotion // by when the gangs' jobs were accepted
	updatedAt  clock.Time
}

// gangPromotion is one promoted gang, and since when it has been promoted.
type gangPromotion struct {
	gang  *step
	since clock.Time
}

const (
	// promotionInterval is the least time between two selections of the promoted gangs: a selection goes
	// over all waiting steps.
	promotionInterval = 100 * time.Millisecond
	// maxGangWait is how long a gang may wait while smaller steps of its customer use the quota.
	maxGangWait = 6 * time.Second
	// maxPromotionTime is how long a gang stays promoted at most, and for how long it is not promoted after
	// that: a gang for which no workers have room must not keep its customer's quota unused.
	maxPromotionTime = 10 * time.Second
	// maxReservedLowQuotaTime is how long little of a quota may be in use while it is reserved for a gang
	// that lacks workers or tickets, too. The platform allows 3 s, of which an advice call and a start take
	// up to 0.9 s.
	maxReservedLowQuotaTime = 2 * time.Second
)

// placePromotedGangs places the promoted gangs, which go before all other steps.
func (p *Pool) placePromotedGangs(reserved *reservations, now clock.Time, out *Actions) {
	if p.waitingSteps.gangCount == 0 && len(p.promotedGangs.promotions) == 0 || p.isDisabled(GangPromotion) {
		return
	}
	if now.Sub(p.promotedGangs.updatedAt) >= promotionInterval {
		p.updatePromotions(now)
	}
	p.promotedGangs.promotions = slices.DeleteFunc(p.promotedGangs.promotions, func(promotion gangPromotion) bool {
		promotion.gang.promoted = promotion.gang.isQueued()
		return !promotion.gang.promoted
	})
	for _, promotion := range p.promotedGangs.promotions {
		if !p.isBlockedByTakeover(promotion.gang.occurrence.job) {
			p.placePromotedGang(promotion.gang, reserved, now, out)
		}
	}
}

// placePromotedGang starts a promoted gang, or reserves for it what it lacks of its customer's quota.
func (p *Pool) placePromotedGang(s *step, reserved *reservations, now clock.Time, out *Actions) {
	if s.awaitsProbe(now) {
		return
	}
	maxLong := p.maxLongCalls() + extraLongCalls
	if p.awaitsQuota(s) {
		maxLong = p.advice.advisers.Count() / 2 // no start follows at once, so others get advisers too
		p.preemptForQuota(s, reserved, now)
	} else {
		s.lowQuotaWaitSince = 0
		p.placeGang(s, reserved, now, out)
		p.preempt(s, now)
	}
	if s.waitingTasks() == 0 {
		p.waitingSteps.remove(s)
		return
	}
	p.requestAdvice(s, maxLong, reserved, now, out)
	p.reserveWorkers(s, reserved, now)
	if p.mayReserveQuota(s, reserved, now) {
		s.reserveQuota()
	}
}

// mayReserveQuota reports whether quota is reserved for a promoted gang. A gang that lacks workers or
// tickets gets none once little of the quota has been in use for too long.
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

// updatePromotions selects the gangs to promote: for each customer, of the gangs that have waited too long,
// the one whose job was accepted first.
func (p *Pool) updatePromotions(now clock.Time) {
	since := p.clearPromotions(now)
	oldest := map[*account.Account]*step{}
	for s := range p.waitingSteps.all() {
		a := s.occurrence.job.account
		if a == nil || !p.mayPromote(s, now) {
			continue
		}
		if first := oldest[a]; first == nil || compareAccepted(s, first) < 0 {
			oldest[a] = s
		}
	}
	p.promotedGangs.updatedAt = now
	for _, s := range oldest {
		s.promoted = true
		if since[s] == 0 {
			since[s], s.lowQuotaWaitSince, s.lowQuotaSince = now, 0, 0
		}
		p.promotedGangs.promotions = append(p.promotedGangs.promotions, gangPromotion{s, since[s]})
	}
	slices.SortFunc(p.promotedGangs.promotions, func(a, b gangPromotion) int { return compareAccepted(a.gang, b.gang) })
}

// clearPromotions ends all promotions, and returns the start of each one that may continue at once.
func (p *Pool) clearPromotions(now clock.Time) map[*step]clock.Time {
	since := make(map[*step]clock.Time, len(p.promotedGangs.promotions))
	for _, promotion := range p.promotedGangs.promotions {
		promotion.gang.promoted = false
		if now.Sub(promotion.since) >= maxPromotionTime {
			promotion.gang.promotionNotBefore = now.Add(maxPromotionTime)
		} else {
			since[promotion.gang] = promotion.since
		}
	}
	p.promotedGangs.promotions = p.promotedGangs.promotions[:0]
	return since
}

// mayPromote reports whether a step is a gang of a customer with a quota that has waited too long in a pool
// that is not mostly used. If the quota is mostly used, it must have waited longer (maxGangWait).
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
