package upkeep

import (
	"math"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	. "github.com/onsi/gomega"
)

func machinesInStates(states ...MachineState) []Machine {
	names := []MachineID{"m1", "m2", "m3"}
	var out []Machine
	for i, s := range states {
		out = append(out, Machine{ID: names[i], State: s, Worker: "w-" + string(names[i])})
	}
	return out
}

func newPlannerWithWave(maxUnavailable int) *Planner {
	return newPlannerWithWaveOf(maxUnavailable, "m1", "m2", "m3")
}

func newPlannerWithWaveOf(maxUnavailable int, machines ...MachineID) *Planner {
	p := New()
	p.PutWave(Wave{Number: 1, Machines: machines, Duration: 30 * time.Second, MaxUnavailable: maxUnavailable})
	return p
}

func TestPlanIsEmptyBeforeTheFirstMachineList(t *testing.T) {
	NewWithT(t).Expect(newPlannerWithWave(1).Plan(1)).To(Equal(Plan{}))
}

func TestMachinesAreUpkeptOneAtATime(t *testing.T) {
	g := NewWithT(t)
	p := newPlannerWithWave(1)
	p.SetMachines(machinesInStates(StateUp, StateUp, StateUp))
	plan := p.Plan(100)
	g.Expect(plan.CloseWorkers).To(Equal([]string{"w-m1"}))
	g.Expect(plan.Orders).To(HaveLen(1))
	g.Expect(plan.StateUpdates).To(Equal([]StateUpdate{{1, 0, WaveRunning}}))
	p.RecordState(plan.StateUpdates[0])
	p.RecordOrder(plan.Orders[0], true, 100)
	g.Expect(p.Plan(200).Orders).To(BeEmpty(), "the machine list may be older than the order")
	p.SetMachines(machinesInStates(StateUpkeep, StateUp, StateUp))
	g.Expect(p.Plan(300).Orders).To(BeEmpty())
	p.SetMachines(machinesInStates(StateUp, StateUp, StateUp))
	g.Expect(p.Plan(400).Orders[0].Machine.ID).To(Equal(MachineID("m2")))
}

func TestMachineDownForAnotherReasonCountsAsUnavailable(t *testing.T) {
	g := NewWithT(t)
	p := newPlannerWithWave(1)
	p.SetMachines(machinesInStates(StateDown, StateUp, StateUp))
	g.Expect(p.Plan(100).Orders).To(BeEmpty())
}

func TestOrderIsForcedAfterTheDrainTime(t *testing.T) {
	g := NewWithT(t)
	p := newPlannerWithWave(1)
	p.SetMachines(machinesInStates(StateUp, StateUp, StateUp))
	g.Expect(p.Plan(100).Orders[0].Force).To(BeFalse())
	g.Expect(p.Plan(100 + 6000).Orders[0].Force).To(BeTrue(), "each machine has 10 s, and 5 s of them for draining")
}

func TestWaveIsCompletedWhenAllMachinesAreDoneOrGone(t *testing.T) {
	g := NewWithT(t)
	p := newPlannerWithWave(3)
	p.SetMachines(machinesInStates(StateUp, StateUp))
	now := clock.Time(100)
	for _, o := range p.Plan(now).Orders {
		p.RecordOrder(o, true, now)
	}
	p.SetMachines(machinesInStates(StateUpkeep, StateUpkeep))
	g.Expect(p.Plan(200).StateUpdates).To(Equal([]StateUpdate{{1, 0, WaveRunning}}))
	p.SetMachines(machinesInStates(StateUp, StateUp))
	for list := 3; list < missingListsUntilGone; list++ {
		g.Expect(p.Plan(300).StateUpdates).To(Equal([]StateUpdate{{1, 0, WaveRunning}}), "list %d", list)
	}
	g.Expect(p.Plan(400).StateUpdates).To(Equal([]StateUpdate{{1, 0, WaveCompleted}}))
	p.RecordState(StateUpdate{1, 0, WaveCompleted})
	g.Expect(p.HasActiveWave()).To(BeFalse())
}

func TestMachineUpkeptBeforeATakeoverCountsAsDone(t *testing.T) {
	g := NewWithT(t)
	p := newPlannerWithWave(3)
	p.SetMachines(machinesInStates(StateUp, StateUp, StateUp))
	for _, o := range p.Plan(100).Orders {
		p.RecordOrder(o, true, 100) // the platform answers that it was carried out before
	}
	g.Expect(p.Plan(100 + 3500).StateUpdates).To(Equal([]StateUpdate{{1, 0, WaveCompleted}}))
}

// Guards against a wave that is shown as completed although a machine never had its upkeep: the order got no
// answer and was not carried out, and then the machine was down for another reason.
func TestCrashAfterAnUnansweredOrderIsNoUpkeep(t *testing.T) {
	g := NewWithT(t)
	p := newPlannerWithWaveOf(3, "m1")
	p.SetMachines(machinesInStates(StateUp))
	p.RecordOrder(p.Plan(100).Orders[0], false, 100)
	p.SetMachines(machinesInStates(StateDown))
	p.Plan(1100)
	p.SetMachines(machinesInStates(StateUp))
	p.Plan(2100)
	g.Expect(p.Plan(2200).StateUpdates).NotTo(ContainElement(StateUpdate{1, 0, WaveCompleted}))
	again := p.Plan(100 + 3500).Orders
	g.Expect(again).To(HaveLen(1))
	p.RecordOrder(again[0], true, 3600)
	p.SetMachines(machinesInStates(StateDown)) // acknowledged, so that this is the upkeep
	p.Plan(3700)
	p.SetMachines(machinesInStates(StateUp))
	g.Expect(p.Plan(3800).StateUpdates).To(ContainElement(StateUpdate{1, 0, WaveCompleted}))
}

// An order without an answer may or may not have been carried out. It is repeated after orderSettleTime,
// and its machine counts as unavailable until then.
func TestUnacknowledgedOrderIsRepeated(t *testing.T) {
	g := NewWithT(t)
	p := newPlannerWithWave(1)
	p.SetMachines(machinesInStates(StateUp, StateUp, StateUp))
	first := p.Plan(100).Orders[0]
	p.RecordOrder(first, false, 100)
	g.Expect(p.Plan(200).Orders).To(BeEmpty(), "the order may still be carried out")
	again := p.Plan(100 + 3500).Orders
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0].Machine.ID).To(Equal(first.Machine.ID))
	p.RecordOrder(again[0], true, 3600)
	g.Expect(p.Plan(3700).Orders).To(BeEmpty())
}

// Guards against a share of the wave's time that overflows, so that machines are ordered before they are vacated.
func TestWaveOfManyAtOnceLeavesTimeToVacate(t *testing.T) {
	g := NewWithT(t)
	p := New()
	p.PutWave(Wave{Number: 1, Machines: []MachineID{"m1"}, Duration: 100 * 365 * 24 * time.Hour, MaxUnavailable: math.MaxInt})
	p.SetMachines(machinesInStates(StateUp))
	g.Expect(p.Plan(100).Orders[0].Force).To(BeFalse())
	g.Expect(p.Plan(clock.Time(100).Add(time.Hour)).Orders[0].Force).To(BeFalse())
}
