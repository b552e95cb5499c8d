package upkeep

import (
	"testing"

	"foldarch.dev/foldarch/pkg/clock"
	. "github.com/onsi/gomega"
)

// The pages of a machine list are read at different times, so one list may omit a machine that still
// exists. If such a machine counted as removed, the wave would be completed without its upkeep although
// the next list has it again.
func TestMachineMissingFromOneListIsNotDone(t *testing.T) {
	g := NewWithT(t)
	p := newPlannerWithWave(3)
	p.SetMachines(machinesInStates(StateUp, StateUp)) // m3 is missing
	p.Plan(100)
	p.SetMachines(machinesInStates(StateUp, StateUp, StateUp))
	var ordered []MachineID
	for _, o := range p.Plan(200).Orders {
		ordered = append(ordered, o.Machine.ID)
	}
	g.Expect(ordered).To(ConsistOf(MachineID("m1"), MachineID("m2"), MachineID("m3")))
}

// Guards against a wave that is shown as completed although a machine never had its upkeep: several lists in
// a row omitted the machine, as those of a machine service that has just started may do.
func TestMachineMissingFromSeveralListsIsNotDone(t *testing.T) {
	g := NewWithT(t)
	p := newPlannerWithWave(3)
	p.SetMachines(machinesInStates(StateUp, StateUp, StateUp))
	for _, o := range p.Plan(100).Orders {
		p.RecordOrder(o, o.Machine.ID != "m3", 100)
	}
	p.SetMachines(machinesInStates(StateUp, StateUp)) // m3 is missing
	for now := clock.Time(600); now < 4600; now += 500 {
		g.Expect(p.Plan(now).StateUpdates).To(Equal([]StateUpdate{{1, 0, WaveRunning}}), "at %d", now)
	}
	p.SetMachines(machinesInStates(StateUp, StateUp, StateUp))
	g.Expect(p.Plan(4600).Orders).To(HaveLen(1))
}

// Guards against more machines in upkeep than the wave allows: a list omitted a machine in upkeep, and its
// place was given to another machine.
func TestMachineMissingFromAListKeepsItsPlace(t *testing.T) {
	g := NewWithT(t)
	p := newPlannerWithWave(1)
	p.SetMachines(machinesInStates(StateUp, StateUp, StateUp))
	p.RecordOrder(p.Plan(100).Orders[0], true, 100)
	p.SetMachines(machinesInStates(StateUp, StateUp, StateUp)[1:]) // m1 is missing
	g.Expect(p.Plan(600).Orders).To(BeEmpty())
	g.Expect(p.Plan(1100).Orders).To(BeEmpty())
	p.SetMachines(machinesInStates(StateUpkeep, StateUp, StateUp))
	g.Expect(p.Plan(1600).Orders).To(BeEmpty())
}

// Waves end although machines are removed: their places go to the machines that stay.
func TestRemovedMachineFreesItsPlace(t *testing.T) {
	g := NewWithT(t)
	p := newPlannerWithWave(1)
	p.SetMachines(machinesInStates(StateUp, StateUp, StateUp))
	p.RecordOrder(p.Plan(100).Orders[0], false, 100)
	p.SetMachines(machinesInStates(StateUp, StateUp, StateUp)[1:]) // m1 is missing
	var orders []Order
	for list := 0; list < missingListsUntilGone; list++ {
		g.Expect(orders).To(BeEmpty())
		orders = p.Plan(clock.Time(600 + 500*list)).Orders
	}
	g.Expect(orders).To(HaveLen(1))
	g.Expect(orders[0].Machine.ID).To(Equal(MachineID("m2")))
}
