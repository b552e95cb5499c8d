package upkeep

import (
	"testing"

	. "github.com/onsi/gomega"
)

// The list of machines comes in pages, which are not of one moment, so a list may miss a machine. One that a single list missed counted as having left
// for good, and the wave was shown as completed without its upkeep though the next list had it. Found by a review, without a play of it.
func TestMachineThatOneListMissesIsNotDone(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(3)
	p.SetMachines(machines(Up, Up)) // without m3
	p.Plan(100)
	p.SetMachines(machines(Up, Up, Up))
	var ordered []MachineID
	for _, o := range p.Plan(200).Orders {
		ordered = append(ordered, o.Machine.ID)
	}
	g.Expect(ordered).To(ConsistOf(MachineID("m1"), MachineID("m2"), MachineID("m3")))
}
