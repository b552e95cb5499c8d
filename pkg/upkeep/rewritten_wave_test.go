package upkeep

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func waveOf(revision int64, machines ...MachineID) Wave {
	return Wave{Number: 1, Revision: revision, Machines: machines, Duration: 30 * time.Second, MaxUnavailable: 3}
}

// completeWave confirms all orders of the planner's only wave and lets their machines come back.
func completeWave(g *WithT, p *Planner, revision int64) {
	for _, o := range p.Plan(100).Orders {
		p.RecordOrder(o, true, 100)
	}
	g.Expect(p.Plan(100 + 3500).StateUpdates).To(Equal([]StateUpdate{{1, revision, WaveCompleted}}))
	p.RecordState(StateUpdate{1, revision, WaveCompleted})
}

// Guards against a wave that is shown as completed although a machine never had its upkeep: the operator wrote
// the wave again with one more machine, and the first request was kept.
func TestRewrittenWaveIncludesItsNewMachines(t *testing.T) {
	for _, completed := range []bool{false, true} {
		g := NewWithT(t)
		p := New()
		p.SetMachines(machinesInStates(StateUp, StateUp))
		p.PutWave(waveOf(5, "m1"))
		if completed {
			completeWave(g, p, 5)
		}
		p.PutWave(waveOf(8, "m1", "m2"))
		plan := p.Plan(4000)
		g.Expect(plan.StateUpdates).To(Equal([]StateUpdate{{1, 8, WaveRunning}}))
		g.Expect(plan.Orders).NotTo(BeEmpty())
		g.Expect(plan.Orders[len(plan.Orders)-1].Machine.ID).To(Equal(MachineID("m2")))
	}
}

// A machine whose upkeep is confirmed keeps it when its wave is written again, so that its worker is not
// vacated a second time.
func TestRewrittenWaveKeepsConfirmedUpkeeps(t *testing.T) {
	g := NewWithT(t)
	p := New()
	p.SetMachines(machinesInStates(StateUp, StateUp))
	p.PutWave(waveOf(5, "m1", "m2"))
	completeWave(g, p, 5)
	p.PutWave(waveOf(8, "m2"))
	plan := p.Plan(4000)
	g.Expect(plan.CloseWorkers).To(BeEmpty())
	g.Expect(plan.StateUpdates).To(Equal([]StateUpdate{{1, 8, WaveCompleted}}))
}

// Requests may arrive out of order, and a state may be stored while its request is replaced.
func TestOutdatedRequestsAndStatesAreIgnored(t *testing.T) {
	g := NewWithT(t)
	p := New()
	p.SetMachines(machinesInStates(StateUp, StateUp))
	p.PutWave(waveOf(8, "m1", "m2"))
	p.PutWave(waveOf(5, "m1"))
	p.RecordState(StateUpdate{1, 5, WaveCompleted})
	g.Expect(p.HasActiveWave()).To(BeTrue())
	g.Expect(p.Plan(100).Orders).To(HaveLen(2))
}

func TestWithdrawnWaveIsNotCarriedOut(t *testing.T) {
	g := NewWithT(t)
	p := New()
	p.SetMachines(machinesInStates(StateUp))
	p.PutWave(waveOf(5, "m1"))
	o := p.Plan(100).Orders[0]
	p.RemoveWave(1)
	p.RecordOrder(o, true, 100)
	p.RecordState(StateUpdate{1, 5, WaveRunning})
	g.Expect(p.HasActiveWave()).To(BeFalse())
	g.Expect(p.Plan(200)).To(Equal(Plan{}))
}

func TestRequestsIgnoreOutdatedChanges(t *testing.T) {
	g := NewWithT(t)
	r := NewRequests()
	g.Expect(r.Put(waveOf(5, "m1"))).To(BeTrue())
	g.Expect(r.Put(waveOf(5, "m1"))).To(BeFalse(), "known")
	g.Expect(r.WithdrawOthers(map[int64]bool{}, 4)).To(BeEmpty(), "the list is older than the request")
	g.Expect(r.WithdrawOthers(map[int64]bool{1: true}, 9)).To(BeEmpty())
	g.Expect(r.WithdrawOthers(map[int64]bool{}, 9)).To(Equal([]int64{1}))
	g.Expect(r.Put(waveOf(5, "m1"))).To(BeFalse(), "withdrawn since")
	g.Expect(r.Waves()).To(BeEmpty())
	g.Expect(r.Put(waveOf(12, "m2"))).To(BeTrue())
	g.Expect(r.Withdraw(1, 11)).To(BeFalse())
	g.Expect(r.Waves()).To(Equal([]Wave{waveOf(12, "m2")}))
}

// Guards against more machines in upkeep than the wave allows: a machine was in upkeep, the operator wrote the
// wave again without it, and another machine took its place.
func TestDroppedMachineKeepsItsPlaceWhileItIsDown(t *testing.T) {
	for _, confirmed := range []bool{false, true} {
		g := NewWithT(t)
		p := New()
		w := waveOf(5, "m1", "m2")
		w.MaxUnavailable = 1
		p.PutWave(w)
		p.SetMachines(machinesInStates(StateUp, StateUp))
		p.RecordOrder(p.Plan(100).Orders[0], confirmed, 100)
		w = waveOf(8, "m2")
		w.MaxUnavailable = 1
		p.PutWave(w)
		p.SetMachines(machinesInStates(StateUpkeep, StateUp))
		g.Expect(p.Plan(600).Orders).To(BeEmpty())
		p.SetMachines(machinesInStates(StateUp, StateUp)[1:]) // m1 is missing
		g.Expect(p.Plan(1100).Orders).To(BeEmpty())
		p.SetMachines(machinesInStates(StateUp, StateUp))
		g.Expect(p.Plan(1600).Orders).To(HaveLen(1))
	}
}
