package upkeep

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	. "github.com/onsi/gomega"
)

func machines(states ...MachineState) []Machine {
	names := []MachineID{"m1", "m2", "m3"}
	var out []Machine
	for i, s := range states {
		out = append(out, Machine{ID: names[i], State: s, Worker: "w-" + string(names[i])})
	}
	return out
}

func newPlanner(maxUnavailable int) *Planner {
	p := New()
	p.PutWave(Wave{Number: 1, Machines: []MachineID{"m1", "m2", "m3"}, Duration: 30 * time.Second, AtOnce: maxUnavailable}, 0)
	return p
}

func TestNothingIsPlannedBeforeTheMachinesAreKnown(t *testing.T) {
	NewWithT(t).Expect(newPlanner(1).Plan(1)).To(Equal(Plan{}))
}

func TestMachinesGoOneByOne(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(1)
	p.SetMachines(machines(Up, Up, Up))
	plan := p.Plan(100)
	g.Expect(plan.Close).To(Equal([]string{"w-m1"}))
	g.Expect(plan.Orders).To(HaveLen(1))
	g.Expect(plan.Shows).To(Equal([]Show{{1, Running}}))
	p.Shown(plan.Shows[0])
	p.Ordered(plan.Orders[0], true, 100)
	g.Expect(p.Plan(200).Orders).To(BeEmpty(), "the machine list may be older than the order")
	p.SetMachines(machines(Upkeep, Up, Up))
	g.Expect(p.Plan(300).Orders).To(BeEmpty())
	p.SetMachines(machines(Up, Up, Up))
	g.Expect(p.Plan(400).Orders[0].Machine.ID).To(Equal(MachineID("m2")))
}

func TestMachineThatIsDownForAnotherReasonCounts(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(1)
	p.SetMachines(machines(Down, Up, Up))
	g.Expect(p.Plan(100).Orders).To(BeEmpty())
}

func TestOrderIsForcedWhenItsTimeRunsOut(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(1)
	p.SetMachines(machines(Up, Up, Up))
	g.Expect(p.Plan(100).Orders[0].Force).To(BeFalse())
	g.Expect(p.Plan(100 + 6000).Orders[0].Force).To(BeTrue(), "each machine has 10 s, and 5 s of them for draining")
}

func TestWaveIsCompletedWhenAllHadTheirUpkeepOrAreGone(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(3)
	p.SetMachines(machines(Up, Up))
	now := clock.Time(100)
	for _, o := range p.Plan(now).Orders {
		p.Ordered(o, true, now)
	}
	p.SetMachines(machines(Upkeep, Upkeep))
	g.Expect(p.Plan(200).Shows).To(Equal([]Show{{1, Running}}))
	p.SetMachines(machines(Up, Up))
	g.Expect(p.Plan(300).Shows).To(Equal([]Show{{1, Completed}}))
	p.Shown(Show{1, Completed})
	g.Expect(p.Active()).To(BeFalse())
}

func TestMachineThatHadItsUpkeepBeforeATakeoverCountsAsDone(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(3)
	p.SetMachines(machines(Up, Up, Up))
	for _, o := range p.Plan(100).Orders {
		p.Ordered(o, true, 100) // the platform answers that it was carried out before
	}
	g.Expect(p.Plan(100 + 3500).Shows).To(Equal([]Show{{1, Completed}}))
}

// An order without an answer may or may not have been carried out. It is repeated after orderSettleTime,
// and its machine counts as unavailable until then.
func TestOrderWithoutAnAnswerIsGivenAgain(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(1)
	p.SetMachines(machines(Up, Up, Up))
	first := p.Plan(100).Orders[0]
	p.Ordered(first, false, 100)
	g.Expect(p.Plan(200).Orders).To(BeEmpty(), "the order may still be carried out")
	again := p.Plan(100 + 3500).Orders
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0].Machine.ID).To(Equal(first.Machine.ID))
	p.Ordered(again[0], true, 3600)
	g.Expect(p.Plan(3700).Orders).To(BeEmpty())
}
