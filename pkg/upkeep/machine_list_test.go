package upkeep

import (
	"testing"

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
