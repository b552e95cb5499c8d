package upkeep

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	. "github.com/onsi/gomega"
)

// Guards against a wave that is shown as completed although a machine never had its upkeep for it: the order
// got no answer and was not carried out, and the machine was in upkeep for another wave.
func TestUpkeepForAnotherWaveIsNoConfirmation(t *testing.T) {
	g := NewWithT(t)
	p := New()
	for number := range int64(2) {
		p.PutWave(Wave{Number: number + 1, Machines: []MachineID{"m1"}, Duration: 30 * time.Second, MaxUnavailable: 1})
	}
	p.SetMachines(machinesInStates(StateUp))
	orders := p.Plan(100).Orders
	g.Expect(orders).To(HaveLen(2))
	p.RecordOrder(orders[0], false, 100)
	p.RecordOrder(orders[1], true, 100)
	p.SetMachines(machinesInStates(StateUpkeep))
	p.Plan(600)
	p.SetMachines(machinesInStates(StateUp))
	updates := p.Plan(2600).StateUpdates
	g.Expect(updates).To(ContainElement(StateUpdate{2, 0, WaveCompleted}))
	g.Expect(updates).NotTo(ContainElement(StateUpdate{1, 0, WaveCompleted}))
	p.RecordState(StateUpdate{2, 0, WaveCompleted})

	again := p.Plan(100 + 3500)
	g.Expect(again.Orders).To(HaveLen(1))
	g.Expect(again.Orders[0].Wave).To(Equal(int64(1)))
	p.RecordOrder(again.Orders[0], true, 3600)
	p.SetMachines(machinesInStates(StateUpkeep))
	p.Plan(4100)
	p.SetMachines(machinesInStates(StateUp))
	g.Expect(p.Plan(6100).StateUpdates).To(Equal([]StateUpdate{{1, 0, WaveCompleted}}))
}

// Guards against more machines in upkeep than the wave allows: an order without an answer may be carried out
// late, whatever the machine's state was in between, so it occupies a place until it is confirmed.
func TestUnconfirmedOrderOccupiesAPlace(t *testing.T) {
	g := NewWithT(t)
	p := newPlannerWithWave(1)
	p.SetMachines(machinesInStates(StateUp, StateUp, StateUp))
	p.RecordOrder(p.Plan(100).Orders[0], false, 100)
	for now := clock.Time(600); now < 20_000; now += 500 {
		state := StateUp
		if now < 3000 {
			state = StateDown
		}
		p.SetMachines(machinesInStates(state, StateUp, StateUp))
		for _, o := range p.Plan(now).Orders {
			g.Expect(o.Machine.ID).To(Equal(MachineID("m1")), "at %d", now)
		}
	}
}

// An order without an answer may be carried out at any time, so its worker gets no new tasks meanwhile.
func TestWorkerStaysClosedUntilItsOrderIsConfirmed(t *testing.T) {
	g := NewWithT(t)
	p := newPlannerWithWave(1)
	p.SetMachines(machinesInStates(StateUp, StateUp, StateUp))
	o := p.Plan(100).Orders[0]
	p.RecordOrder(o, false, 100)
	plan := p.Plan(600)
	g.Expect(plan.CloseWorkers).To(Equal([]string{"w-m1"}))
	g.Expect(plan.Orders).To(BeEmpty())
	p.RecordOrder(o, true, 700)
	g.Expect(p.Plan(1100).CloseWorkers).To(BeEmpty())
}
