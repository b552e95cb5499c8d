package upkeep

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	. "github.com/onsi/gomega"
)

// Guards against a wave that never ends since the platform refuses one of its machines as not of the wave: the
// others get their upkeep, and the wave ends once the operator has corrected the request.
func TestMachineThatIsNotOfTheWaveDelaysNoOther(t *testing.T) {
	g := NewWithT(t)
	p := New()
	p.PutWave(Wave{Number: 1, Revision: 5, Machines: []MachineID{"m1", "m2"}, Duration: 30 * time.Second, MaxUnavailable: 1})
	p.SetMachines(machinesInStates(StateUp, StateUp))
	orders := map[MachineID]int{}
	for now := clock.Time(100); now < 15_000; now += 500 {
		plan := p.Plan(now)
		g.Expect(plan.CloseWorkers).To(HaveLen(len(plan.Orders)), "no worker is closed without an order")
		if now < 6000 && now != 100 {
			g.Expect(plan.CloseWorkers).NotTo(ContainElement("w-m1"), "m2 has its place until its tasks have ended")
		}
		g.Expect(plan.StateUpdates).To(Equal([]StateUpdate{{1, 5, WaveRunning}}), "m1 has had no upkeep")
		for _, o := range plan.Orders {
			orders[o.Machine.ID]++
			if o.Machine.ID == "m1" {
				p.RecordNotInWave(o, now)
				continue
			}
			if now < 6000 { // tasks run on its worker
				continue
			}
			p.RecordOrder(o, true, now)
		}
	}
	g.Expect(orders["m1"]).To(BeNumerically(">", 1), "the order is repeated")
	g.Expect(orders["m2"]).To(Equal(12), "once in each plan until its tasks have ended")
	p.PutWave(Wave{Number: 1, Revision: 8, Machines: []MachineID{"m2"}, Duration: 30 * time.Second, MaxUnavailable: 1})
	g.Expect(p.Plan(15_000).StateUpdates).To(Equal([]StateUpdate{{1, 8, WaveCompleted}}))
}

// The platform may know a request later than foldarch does; its first answers are then no final ones.
func TestMachineThatIsNotOfTheWaveYetIsOrderedAgain(t *testing.T) {
	g := NewWithT(t)
	p := newPlannerWithWaveOf(1, "m1")
	p.SetMachines(machinesInStates(StateUp))
	p.RecordNotInWave(p.Plan(100).Orders[0], 100)
	g.Expect(p.Plan(600).Orders).To(BeEmpty())
	again := p.Plan(100 + 3500).Orders
	g.Expect(again).To(HaveLen(1))
	p.RecordOrder(again[0], true, 3600)
	g.Expect(p.Plan(7000).StateUpdates).To(Equal([]StateUpdate{{1, 0, WaveCompleted}}))
}

// Guards against more machines in upkeep than the wave allows: an order got no answer, its repetition was
// refused since the platform had not read the request yet, and the first order was carried out late.
func TestRefusalAfterAnUnansweredOrderFreesNoPlace(t *testing.T) {
	g := NewWithT(t)
	p := newPlannerWithWaveOf(1, "m1", "m2")
	p.SetMachines(machinesInStates(StateUp, StateUp))
	p.RecordOrder(p.Plan(100).Orders[0], false, 100)
	p.RecordNotInWave(p.Plan(100 + 3500).Orders[0], 3600)
	g.Expect(p.Plan(4100).Orders).To(BeEmpty())
	again := p.Plan(3600 + 3500).Orders
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0].Machine.ID).To(Equal(MachineID("m1")))
}
