package ownership

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"pgregory.net/rapid"
)

// simulation is a hall of state machines with a store, with simulated faults and time.
type world struct {
	now      clock.Time
	machines []*Machine
	holders  []Holder
	dead     []bool
	record   Record
	revision int64
	writes   []write
	asks     []ask
	writeIDs int
}

// inFlightWrite is a write that its writer has not finished.
type write struct {
	by      int
	record  Record
	expect  int64
	applied int64 // in the store, 0 before the store has carried it out
	refused bool
}

// inFlightRequest is a grant request, or its reply, on the way.
type ask struct {
	by       int
	ask      Ask
	reply    Reply
	answered bool
}

func newWorld(n int) *world {
	sim := &world{}
	for i := range n {
		h := Holder{ID: string(rune('a' + i)), Incarnation: string(rune('a' + i))}
		sim.holders = append(sim.holders, h)
		sim.machines = append(sim.machines, NewMachine(h, DefaultTerms))
		sim.dead = append(sim.dead, false)
	}
	sim.record = Record{Epoch: 1, Owner: sim.holders[0], Successor: sim.holders[1], WriteID: "0"}
	sim.revision = 1
	return sim
}

func (sim *world) isDead(h Holder) bool {
	for i, known := range sim.holders {
		if known == h {
			return sim.dead[i]
		}
	}
	return false
}

// checkOneAuthority fails the test if two processes have authority.
func (sim *world) check(t *rapid.T) {
	holder := -1
	for i, m := range sim.machines {
		if sim.dead[i] || sim.now >= m.AuthorityUntil() {
			continue
		}
		if holder >= 0 {
			t.Fatalf("at %d both %d (epoch %d) and %d (epoch %d) have authority",
				sim.now, holder, sim.machines[holder].Epoch(), i, m.Epoch())
		}
		holder = i
	}
}

// stepProcess lets one process perform one action that is due.
func (sim *world) step(t *rapid.T, i int) {
	m := sim.machines[i]
	if sim.dead[i] {
		return
	}
	m.Tick(sim.now)
	if m.Doubtful() {
		m.Confirm(sim.record, sim.revision, sim.now)
	}
	record, _ := m.Record()
	var next Holder
	if n := rapid.IntRange(-1, len(sim.holders)-1).Draw(t, "next"); n >= 0 && n != i {
		next = sim.holders[n]
	}
	switch m.Role() {
	case Owner:
		if r, due := m.NextAsk(sim.now); due && !sim.asking(i) {
			sim.asks = append(sim.asks, ask{by: i, ask: r})
		}
		if sim.isDead(record.Successor) {
			m.SuccessorDead(sim.now)
		}
		if m.Unrecorded() && !m.Pending() {
			sim.begin(i, WriteRecord, next)
		} else if m.WantsSuccessor(sim.now) {
			sim.begin(i, WriteSuccessor, next)
		}
	case Successor:
		dead := sim.isDead(record.Owner)
		switch {
		case m.Pending():
		case dead && m.OwnerProvenHeld(sim.now) && rapid.Bool().Draw(t, "without the store"):
			sim.writeIDs++
			m.FollowUnrecorded(string(rune(sim.writeIDs)), sim.now)
		case dead || m.GrantLapsed(sim.now):
			sim.begin(i, WriteClaim, next)
		}
	case Bystander:
		free := sim.isDead(record.Owner) && (record.Successor.IsNone() || sim.isDead(record.Successor))
		if record.WriteID != "" && free && !m.Pending() {
			sim.begin(i, WriteClaim, next)
		}
	}
}

func (sim *world) asking(i int) bool {
	for _, r := range sim.asks {
		if r.by == i {
			return true
		}
	}
	return false
}

func (sim *world) begin(i int, kind Write, next Holder) {
	sim.writeIDs++
	record, expect := sim.machines[i].BeginWrite(kind, next, string(rune(sim.writeIDs)), sim.now)
	sim.writes = append(sim.writes, write{by: i, record: record, expect: expect})
}

// deliverRequest delivers or drops one grant request or reply.
func (sim *world) deliver(t *rapid.T) {
	if len(sim.asks) == 0 {
		return
	}
	n := rapid.IntRange(0, len(sim.asks)-1).Draw(t, "request")
	r := &sim.asks[n]
	lost := rapid.IntRange(0, 9).Draw(t, "lost") == 0
	if !r.answered && !lost {
		for i, h := range sim.holders {
			if h == r.ask.Record.Successor && !sim.dead[i] {
				r.reply, r.answered = sim.machines[i].Grant(r.ask, sim.now), true
				return
			}
		}
	}
	if r.answered && !lost && !sim.dead[r.by] {
		sim.machines[r.by].Answered(r.ask, r.reply)
	}
	sim.asks = append(sim.asks[:n], sim.asks[n+1:]...)
}

// advanceWrite lets the store carry out or reject one write, or tells its writer the outcome.
func (sim *world) apply(t *rapid.T) {
	if len(sim.writes) == 0 {
		return
	}
	n := rapid.IntRange(0, len(sim.writes)-1).Draw(t, "write")
	w := &sim.writes[n]
	if w.applied == 0 && !w.refused {
		if sim.revision == w.expect {
			sim.revision++
			sim.record, w.applied = w.record, sim.revision
		} else {
			w.refused = true
		}
		return
	}
	if m := sim.machines[w.by]; !sim.dead[w.by] {
		if w.applied == sim.revision {
			m.Settle(TookEffect, w.record, w.applied, sim.now)
		} else {
			m.Settle(Overtaken, Record{}, 0, sim.now)
		}
	}
	sim.writes = append(sim.writes[:n], sim.writes[n+1:]...)
}

// dropWrite makes one write fail for certain: it was not sent.
func (sim *world) drop(t *rapid.T) {
	for n, w := range sim.writes {
		if w.applied == 0 && !w.refused && rapid.Bool().Draw(t, "drop") {
			if !sim.dead[w.by] {
				sim.machines[w.by].Settle(NoEffect, Record{}, 0, sim.now)
			}
			sim.writes = append(sim.writes[:n], sim.writes[n+1:]...)
			return
		}
	}
}

// TestAtMostOneProcessHasAuthority drives three state machines through random sequences of pauses,
// lost and late messages, store outages, late writes and process deaths.
func TestNeverTwoAuthorities(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newWorld(3)
		if rapid.Bool().Draw(rt, "sole at first") {
			sim.record.Successor = Holder{}
		}
		for i := range sim.machines {
			sim.machines[i].Observe(sim.record, sim.revision, sim.now)
		}
		steps := rapid.IntRange(100, 600).Draw(rt, "steps")
		for range steps {
			i := rapid.IntRange(0, len(sim.machines)-1).Draw(rt, "process")
			switch rapid.IntRange(0, 12).Draw(rt, "event") {
			case 0, 1, 2, 3:
				sim.step(rt, i)
			case 4, 5, 6:
				sim.deliver(rt)
			case 7, 8:
				sim.apply(rt)
			case 9:
				sim.drop(rt)
			case 10:
				if !sim.dead[i] && !sim.machines[i].Pending() {
					sim.machines[i].Observe(sim.record, sim.revision, sim.now)
				}
			case 11:
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(10, 900).Draw(rt, "ms")) * time.Millisecond)
			case 12:
				sim.dead[i] = sim.dead[i] || rapid.IntRange(0, 15).Draw(rt, "dies") == 0
			}
			sim.check(rt)
		}
	})
}
