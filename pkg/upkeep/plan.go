package upkeep

import (
	"maps"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// MachineID names a machine.
type MachineID string

// MachineState says what a machine does.
type MachineState string

// The states of machines.
const (
	Up     MachineState = "up"
	Moving MachineState = "moving"
	Down   MachineState = "down"
	Upkeep MachineState = "upkeep"
)

// Machine is a machine as the platform lists it.
type Machine struct {
	ID     MachineID
	Pool   string
	State  MachineState
	Worker string // name of the one that runs on it
}

// Wave is a request for the upkeep of machines.
type Wave struct {
	Number   int64
	Machines []MachineID
	Duration time.Duration
	// AtOnce is how many of its machines may be down at the same time.
	AtOnce int
}

// goneAfter is in how many lists in a row a machine is missing that has left for good. Its pages are not of one moment, so that one list may miss a machine.
const goneAfter = 2

// settleFor is how long a machine whose order was taken may go on being listed as up before
// it counts as one that had its upkeep already.
const settleFor = 3 * time.Second

// emptyShare is the part of a machine's share of the wave's time in which it may be emptied
// before what still runs there is moved.
const emptyShare = 0.5

// Planner plans all waves. It is not safe for concurrent use.
type Planner struct {
	waves    map[int64]*wave
	machines map[MachineID]Machine
	listed   bool
}

type wave struct {
	Wave
	since    clock.Time
	shown    string
	progress map[MachineID]*progress
}

type progress struct {
	closedAt  clock.Time // 0 before
	orderedAt clock.Time // 0 before
	answered  bool       // the platform has said that it takes the order, or has taken it
	wasDown   bool
	missing   int // plans in a row by whose lists it was not there
	done      bool
}

// New returns a planner without waves.
func New() *Planner {
	return &Planner{waves: map[int64]*wave{}, machines: map[MachineID]Machine{}}
}

// PutWave takes in a wave; it is known only once.
func (p *Planner) PutWave(w Wave, now clock.Time) {
	if _, ok := p.waves[w.Number]; ok {
		return
	}
	p.waves[w.Number] = &wave{Wave: w, since: now, progress: map[MachineID]*progress{}}
}

// Finish takes in that a wave was completed by a former owner.
func (p *Planner) Finish(number int64) {
	if w, ok := p.waves[number]; ok {
		w.shown = Completed
	}
}

// Active says whether there is a wave that has not been completed.
func (p *Planner) Active() bool {
	for _, w := range p.waves {
		if w.shown != Completed {
			return true
		}
	}
	return false
}

// SetMachines takes in the list of all machines.
func (p *Planner) SetMachines(machines []Machine) {
	clear(p.machines)
	for _, m := range machines {
		p.machines[m.ID] = m
	}
	p.listed = true
}

// What a wave shows as its state.
const (
	Running   = "running"
	Completed = "completed"
)

// Order sends a machine into upkeep.
type Order struct {
	Machine Machine
	Wave    int64
	// Force says that there is no more time to wait until the machine is empty.
	Force bool
}

// Show is a state that a wave has to show.
type Show struct {
	Wave  int64
	State string
}

// Plan is what to do next.
type Plan struct {
	// Close names the workers that are to get no more tasks; what they run may end.
	Close []string
	// Orders are for machines that are closed; they wait until the machine is empty unless
	// they are forced.
	Orders []Order
	Shows  []Show
}

// Plan decides what to do next.
func (p *Planner) Plan(now clock.Time) Plan {
	var out Plan
	if !p.listed {
		return out
	}
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		if w := p.waves[number]; w.shown != Completed {
			p.planWave(w, now, &out)
		}
	}
	return out
}

func (p *Planner) planWave(w *wave, now clock.Time, out *Plan) {
	down, left := 0, 0
	for _, id := range w.Machines {
		m, stays := p.machines[id]
		x := w.of(id)
		if !stays {
			if x.missing++; x.missing < goneAfter {
				left++
			}
			continue
		}
		x.missing = 0
		x.observe(m, now)
		if m.State != Up || x.orderedAt != 0 && !x.done {
			down++
		}
		if !x.done {
			left++
		}
	}
	if left == 0 {
		out.Shows = append(out.Shows, Show{w.Number, Completed})
		return
	}
	if w.shown == "" {
		out.Shows = append(out.Shows, Show{w.Number, Running})
	}
	p.next(w, down, now, out)
}

// next closes machines and sends them into upkeep, as many at once as the wave allows.
func (p *Planner) next(w *wave, down int, now clock.Time, out *Plan) {
	share := time.Duration(float64(w.Duration) * float64(max(w.AtOnce, 1)) / float64(len(w.Machines)))
	for _, id := range w.Machines {
		x, m := w.of(id), p.machines[id]
		if x.done || x.orderedAt != 0 || m.State != Up { // one that is missing has no state
			continue
		}
		if down >= max(w.AtOnce, 1) {
			return
		}
		down++
		if x.closedAt == 0 {
			x.closedAt = now
		}
		out.Close = append(out.Close, m.Worker)
		force := now.Sub(x.closedAt) > time.Duration(emptyShare*float64(share))
		out.Orders = append(out.Orders, Order{Machine: m, Wave: w.Number, Force: force})
	}
}

func (w *wave) of(id MachineID) *progress {
	x, ok := w.progress[id]
	if !ok {
		x = &progress{}
		w.progress[id] = x
	}
	return x
}

// observe takes in the state in which a machine is listed.
func (x *progress) observe(m Machine, now clock.Time) {
	if x.orderedAt == 0 {
		return
	}
	if m.State == Upkeep || m.State == Down {
		x.wasDown = true
	}
	settled := now.Sub(x.orderedAt) > settleFor
	switch {
	case m.State != Up:
	case x.wasDown, settled && x.answered:
		x.done = true
	case settled:
		x.orderedAt = 0 // the order was lost, so that it is given again
	}
}

// Ordered takes in that a machine was ordered into its upkeep. Without an answer the platform may have taken the order.
func (p *Planner) Ordered(o Order, answered bool, now clock.Time) {
	w, ok := p.waves[o.Wave]
	if !ok {
		return
	}
	x := w.of(o.Machine.ID)
	x.orderedAt, x.answered = now, answered
}

// Shown takes in that a wave shows a state.
func (p *Planner) Shown(s Show) {
	if w, ok := p.waves[s.Wave]; ok {
		w.shown = s.State
	}
}
