package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/customer"
	. "github.com/onsi/gomega"
)

// planFromScratch is Plan without anything that is kept between plans: it sorts and sums up all waiting
// steps and chooses among all workers.
func (p *Pool) planFromScratch(now clock.Time, authority bool) Actions {
	p.now = now
	p.updateLoads(now)
	p.expireAdviceCalls(now)
	p.updateTakeover(now)
	for _, j := range slices.SortedFunc(maps.Keys(p.growingJobs), compareJobs) {
		p.createDueOccurrences(j)
	}
	var out Actions
	if authority {
		p.orderStoredStarts(now, &out)
		p.placeFromScratch(now, &out)
	}
	p.addStopOrders(now, &out)
	p.addPaceOrders(&out)
	p.newWorkers, p.workersToFence = p.newWorkers[:0], p.workersToFence[:0]
	out.ConfirmOwnership, p.needsOwnershipCheck = p.needsOwnershipCheck, false
	return out
}

func (p *Pool) placeFromScratch(now clock.Time, out *Actions) {
	p.clearQuotaReservations()
	p.sumBacklogFromScratch()
	reserved := newReservations()
	p.placePromotedGangs(reserved, now, out)
	ordered := p.rankFromScratch(now)
	p.countStepsWithoutTargets()
	p.requestDelayedAdviceFromScratch(ordered, reserved, now, out)
	for _, s := range ordered {
		if s.promoted || p.isStepBlockedByTakeover(s) {
			continue
		}
		if p.awaitsQuota(s) {
			p.reserveGangQuota(s, now)
			continue
		}
		if s.spec.Gang {
			p.placeGang(s, reserved, now, out)
		} else {
			p.placeTasks(s, reserved, now, out)
		}
		if s.awaitsProbe(now) {
			continue
		}
		p.preempt(s, now)
		if s.waitingTasks() == 0 {
			p.waitingSteps.remove(s)
			continue
		}
		p.requestAdvice(s, p.maxLongCalls(), reserved, now, out)
		p.reserveWorkers(s, reserved, now)
	}
}

func (p *Pool) sumBacklogFromScratch() {
	for _, l := range p.loads {
		l.waitingNeed = cell.Resources{}
	}
	for s := range p.waitingSteps.all() {
		l := p.poolLoad(s.occurrence.job.queue.Pool)
		l.waitingNeed = l.waitingNeed.Add(s.spec.Need().Times(int64(p.startableTasks(s))))
	}
}

func (p *Pool) rankFromScratch(now clock.Time) []*step {
	ordered := slices.Collect(p.waitingSteps.all())
	slices.SortFunc(ordered, func(a, b *step) int { return a.rank(now).Compare(b.rank(now)) })
	return ordered
}

func (p *Pool) requestDelayedAdviceFromScratch(ordered []*step, reserved *reservations, now clock.Time, out *Actions) {
	if p.advice.advisers.IdleCount() == 0 || p.isDisabled(DelayedAdviceFirst) {
		return
	}
	var delayed []*step
	for _, s := range ordered {
		if !s.promoted && p.isAdviceDelayed(s, now) && !p.isStepBlockedByTakeover(s) && !p.awaitsQuota(s) {
			delayed = append(delayed, s)
		}
	}
	slices.SortStableFunc(delayed, func(a, b *step) int { return cmp.Compare(b.responseRatio(now), a.responseRatio(now)) })
	for _, s := range delayed {
		if p.advice.advisers.IdleCount() == 0 {
			return
		}
		p.requestAdvice(s, p.maxLongCalls()+extraLongCalls, reserved, now, out)
	}
}

// comparePlans simulates two pools, of which one plans from scratch, and compares the decisions of each
// plan.
func comparePlans(t *testing.T, newPool func() *busyPool, d time.Duration) {
	g := NewWithT(t)
	incremental, scratch := newPool(), newPool()
	scratch.plan = scratch.pool.planFromScratch
	var expected []Actions
	scratch.afterPlan = func(a Actions) { expected = append(expected, a) }
	scratch.simulate(d)
	n := 0
	incremental.afterPlan = func(a Actions) {
		g.Expect(a.Starts).To(Equal(expected[n].Starts), "plan %d", n)
		g.Expect(a.AdviceCalls).To(Equal(expected[n].AdviceCalls), "plan %d", n)
		g.Expect(a.Stops).To(Equal(expected[n].Stops), "plan %d", n)
		n++
	}
	incremental.simulate(d)
	g.Expect(n).To(Equal(len(expected)))
	g.Expect(incremental.startCount).To(BeNumerically(">", 0))
}

// Guards against a plan that decides otherwise than one made from scratch.
func TestPlanEqualsPlanFromScratch(t *testing.T) {
	const (
		workers = 60
		length  = 12 * time.Second
	)
	for seed := range uint64(12) {
		comparePlans(t, func() *busyPool { return randomBusyPool(seed, workers) }, length)
	}
}

// randomBusyPool returns a small pool with more jobs than it has room for: in queues with advice and
// without, of customers with quotas and without, with gangs, long-running tasks and a change of the
// configuration on the way.
func randomBusyPool(seed uint64, workers int) *busyPool {
	kinds := slices.Clone(busyJobKinds)
	for i := range kinds {
		kinds[i].perSecond *= float64(workers) / busyWorkers * (1 + float64(seed%4))
		kinds[i].step.Count = max(kinds[i].step.Count/4, 2)
	}
	plain := kinds[1]
	plain.queue.Name, plain.queue.Advice, plain.queue.Priority = "plain", nil, int(seed%3)
	longRunning := kinds[2]
	longRunning.queue.Name, longRunning.step.LongRunning, longRunning.perSecond = "long running", true, 0.3
	kinds = append(kinds, plain, longRunning)
	b := newBusyPoolWithSize(kinds, workers, busyAdvisers*workers/busyWorkers, seed, nil)
	if seed%2 == 0 {
		for n := range 4 {
			quota := cell.Resources{CPUMillis: int64(workers) * 16000 / int64(2+n)}
			b.customers = append(b.customers, customer.Customer{Name: string(rune('a' + n)), Weight: float64(n), Quota: quota})
		}
	}
	b.at(5*time.Second, func() {
		for i := range kinds {
			kinds[i].queue.Priority = 2 - kinds[i].queue.Priority
		}
		b.configureQueues(3, kinds)
	})
	return b
}
