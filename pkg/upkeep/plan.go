package upkeep

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// MachineID names a machine.
type MachineID string

// MachineState is the operating state of a machine as the platform reports it.
type MachineState string

// Machine states; the values are the platform's.
const (
	StateUp     MachineState = "up"
	StateMoving MachineState = "moving"
	StateDown   MachineState = "down"
	StateUpkeep MachineState = "upkeep"
)

// Machine is a machine as the platform lists it.
type Machine struct {
	ID     MachineID
	Pool   string
	State  MachineState
	Worker string // ID of the worker that runs on the machine
}

// Wave is an operator's request for the upkeep of a set of machines.
type Wave struct {
	Number   int64
	Revision int64 // the store's revision at which the operator wrote the request
	Machines []MachineID
	Duration time.Duration
	// MaxUnavailable is how many machines of the wave may be unavailable at the same time.
	MaxUnavailable int
}

// missingListsUntilGone is the number of consecutive lists without a machine after which it counts
// as removed. The pages of a list are read at different times, so a list may omit a machine that
// still exists.
const missingListsUntilGone = 10

// orderSettleTime is how long a machine may still be listed as up after its order. If the platform
// confirmed the order, the machine then counts as maintained before; otherwise the order is repeated. A
// refused order is repeated after the same time.
const orderSettleTime = 3 * time.Second

// drainShare is the fraction of a machine's share of the wave's duration that is left for its
// running tasks to end; after that the order is forced.
const drainShare = 0.5

// Planner schedules the upkeep of all waves. It is not safe for concurrent use.
type Planner struct {
	waves         map[int64]*wave
	machines      map[MachineID]Machine
	machinesKnown bool
}

type wave struct {
	Wave
	recordedState string
	progress      map[MachineID]*progress
}

// orderState is the state of the upkeep of a machine in a wave. Only the platform's confirmation of an order
// leads to orderConfirmed. The state of a machine in a list proves nothing: the machine may have crashed, or
// be down for another wave.
type orderState int

const (
	notOrdered       orderState = iota
	orderUnconfirmed            // the order got no answer; it may have been carried out, or may be yet
	orderConfirmed              // the platform answered that the upkeep has begun or is over
	upkeepDone                  // confirmed, and the machine is up again
)

type progress struct {
	state        orderState
	closedAt     clock.Time // 0 until the machine's worker is closed
	orderedAt    clock.Time // of the last order
	refusedAt    clock.Time // when an order was last refused as not of the wave; 0 for never
	wasDown      bool       // the machine was listed as not up after the order was confirmed
	missingLists int        // consecutive calls of Plan whose machine list lacked the machine
}

// isUnavailable reports whether the machine may be down because of its order.
func (pr *progress) isUnavailable() bool {
	return pr.state == orderUnconfirmed || pr.state == orderConfirmed
}

// New returns a planner that has no waves.
func New() *Planner {
	return &Planner{waves: map[int64]*wave{}, machines: map[MachineID]Machine{}}
}

// PutWave adds a wave, or replaces the request of a known number if the given one was written later. The
// wave is then completed anew. Machines keep their progress: the platform identifies an upkeep by machine and
// number.
func (p *Planner) PutWave(w Wave) {
	known, ok := p.waves[w.Number]
	if !ok {
		p.waves[w.Number] = &wave{Wave: w, progress: map[MachineID]*progress{}}
		return
	}
	if w.Revision > known.Revision {
		known.Wave, known.recordedState = w, ""
	}
}

// RemoveWave removes a wave that the operator has withdrawn.
func (p *Planner) RemoveWave(number int64) {
	delete(p.waves, number)
}

// HasActiveWave reports whether any wave is not completed.
func (p *Planner) HasActiveWave() bool {
	for _, w := range p.waves {
		if w.recordedState != WaveCompleted {
			return true
		}
	}
	return false
}

// SetMachines replaces the list of all machines.
func (p *Planner) SetMachines(machines []Machine) {
	clear(p.machines)
	for _, m := range machines {
		p.machines[m.ID] = m
	}
	p.machinesKnown = true
}

// Wave states, as operators read them.
const (
	WaveRunning   = "running"
	WaveCompleted = "completed"
)

// Order is an order that sends a machine into upkeep.
type Order struct {
	Machine Machine
	Wave    int64
	// Force means that the time for draining is over: the order need not wait for tasks to end.
	Force bool
}

// StateUpdate is a state of a wave that the caller has to store.
type StateUpdate struct {
	Wave     int64
	Revision int64 // of the request that the state belongs to
	State    string
}

// Plan lists the actions that are due.
type Plan struct {
	// CloseWorkers lists the workers that must get no new tasks; their running tasks may end.
	CloseWorkers []string
	// Orders are for machines whose workers are closed. The caller holds an order back until the
	// machine is empty, unless the order is forced.
	Orders       []Order
	StateUpdates []StateUpdate
}

// Plan returns the actions that are due. Before the first SetMachines there are none.
func (p *Planner) Plan(now clock.Time) Plan {
	var out Plan
	if !p.machinesKnown {
		return out
	}
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		if w := p.waves[number]; w.recordedState != WaveCompleted {
			p.planWave(w, now, &out)
		}
	}
	return out
}

func (p *Planner) planWave(w *wave, now clock.Time, out *Plan) {
	unavailable, remaining := p.countDropped(w, now), 0
	for _, id := range w.Machines {
		m, listed := p.machines[id]
		pr := w.progressOf(id)
		if !listed {
			if pr.missingLists++; pr.missingLists < missingListsUntilGone && pr.state != upkeepDone {
				remaining++
				unavailable++ // its upkeep may be in progress
			}
			continue
		}
		pr.missingLists = 0
		pr.observe(m, now)
		if m.State != StateUp || pr.isUnavailable() {
			unavailable++
		}
		if pr.state != upkeepDone {
			remaining++
		}
	}
	if remaining == 0 {
		out.StateUpdates = append(out.StateUpdates, StateUpdate{w.Number, w.Revision, WaveCompleted})
		return
	}
	if w.recordedState == "" {
		out.StateUpdates = append(out.StateUpdates, StateUpdate{w.Number, w.Revision, WaveRunning})
	}
	p.orderMachines(w, unavailable, now, out)
}

// countDropped counts the machines that may be down for a wave although its latest request no longer names
// them.
func (p *Planner) countDropped(w *wave, now clock.Time) (unavailable int) {
	for id, pr := range w.progress {
		if !pr.isUnavailable() || slices.Contains(w.Machines, id) {
			continue
		}
		m, listed := p.machines[id]
		if !listed {
			pr.missingLists++
		} else {
			pr.missingLists = 0
			pr.observe(m, now)
		}
		if pr.missingLists >= missingListsUntilGone {
			continue
		}
		// The platform refuses orders for a machine that is not named, so one that is up has none to come.
		if pr.state == orderConfirmed || pr.state == orderUnconfirmed && m.State != StateUp {
			unavailable++
		}
	}
	return unavailable
}

// orderMachines repeats the orders that the platform has not confirmed. Then it closes machines and orders
// them into upkeep until MaxUnavailable machines of the wave are unavailable. The parameter unavailable
// counts those that already are.
func (p *Planner) orderMachines(w *wave, unavailable int, now clock.Time, out *Plan) {
	for _, id := range w.machinesByRefusal() {
		pr, m := w.progressOf(id), p.machines[id]
		if m.State != StateUp { // an unlisted machine has an empty state
			continue
		}
		switch pr.state {
		case orderUnconfirmed:
			// The worker stays closed: the platform may carry out the order at any time.
			out.CloseWorkers = append(out.CloseWorkers, m.Worker)
			if now.Sub(pr.orderedAt) > orderSettleTime {
				out.Orders = append(out.Orders, w.order(m, now))
			}
		case notOrdered:
			if unavailable >= max(w.MaxUnavailable, 1) || pr.refusedAt != 0 && now.Sub(pr.refusedAt) <= orderSettleTime {
				continue
			}
			unavailable++
			if pr.closedAt == 0 {
				pr.closedAt = now
			}
			out.CloseWorkers = append(out.CloseWorkers, m.Worker)
			out.Orders = append(out.Orders, w.order(m, now))
		}
	}
}

// machinesByRefusal returns the machines in the order of the request, apart from those whose orders were refused
// as not of the wave: they come last, so that no other machine waits for them.
func (w *wave) machinesByRefusal() []MachineID {
	out := slices.Clone(w.Machines)
	slices.SortStableFunc(out, func(a, b MachineID) int {
		return cmp.Compare(w.progressOf(a).refusedAt, w.progressOf(b).refusedAt)
	})
	return out
}

// order returns the order for a machine that has been closed.
func (w *wave) order(m Machine, now clock.Time) Order {
	atOnce := min(max(w.MaxUnavailable, 1), len(w.Machines))
	share := time.Duration(float64(w.Duration) * float64(atOnce) / float64(len(w.Machines)))
	closedFor := now.Sub(w.progressOf(m.ID).closedAt)
	return Order{Machine: m, Wave: w.Number, Force: closedFor > time.Duration(drainShare*float64(share))}
}

func (w *wave) progressOf(id MachineID) *progress {
	pr, ok := w.progress[id]
	if !ok {
		pr = &progress{}
		w.progress[id] = pr
	}
	return pr
}

// observe updates the progress of a machine whose order was confirmed from its listed state.
func (pr *progress) observe(m Machine, now clock.Time) {
	switch {
	case pr.state != orderConfirmed:
	case m.State != StateUp:
		pr.wasDown = true
	case pr.wasDown, now.Sub(pr.orderedAt) > orderSettleTime:
		pr.state = upkeepDone
	}
}

// RecordOrder records that an order was sent. confirmed is false if the platform did not answer or answered
// with an error; the order may have been carried out even then, and is repeated until it is confirmed.
func (p *Planner) RecordOrder(o Order, confirmed bool, now clock.Time) {
	w, ok := p.waves[o.Wave]
	if !ok {
		return
	}
	pr := w.progressOf(o.Machine.ID)
	pr.state, pr.orderedAt = orderUnconfirmed, now
	if confirmed {
		pr.state = orderConfirmed
	}
}

// RecordNotInWave records that the platform refused an order since the machine is not of the wave, as it knows
// the wave: the operator has changed the request, or the platform has not read it yet. Other machines take the
// machine's place until the order is repeated, unless an earlier order has got no answer and may be carried out
// late. The refusal is no upkeep, so that the wave goes on.
func (p *Planner) RecordNotInWave(o Order, now clock.Time) {
	w, ok := p.waves[o.Wave]
	if !ok {
		return
	}
	pr := w.progressOf(o.Machine.ID)
	if pr.state == orderUnconfirmed {
		pr.orderedAt = now
		return
	}
	pr.state, pr.closedAt, pr.refusedAt = notOrdered, 0, now
}

// RecordState records that a wave's state has been stored, by this owner or a previous one. A state of an
// earlier request is ignored.
func (p *Planner) RecordState(s StateUpdate) {
	if w, ok := p.waves[s.Wave]; ok && w.Revision == s.Revision {
		w.recordedState = s.State
	}
}
