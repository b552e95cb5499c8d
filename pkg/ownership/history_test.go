package ownership

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"pgregory.net/rapid"
)

// world is a hall of machines with a store, under faults, on a clock of the test.
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

// write is a write under way.
type write struct {
	by      int
	record  Record
	expect  int64
	applied int64 // revision, 0 while it is under way
	refused bool
}

// ask is an ask or its answer under way.
type ask struct {
	by       int
	ask      Ask
	reply    Reply
	answered bool
}

func newWorld(n int) *world {
	w := &world{}
	for i := range n {
		h := Holder{ID: string(rune('a' + i)), Incarnation: string(rune('a' + i))}
		w.holders = append(w.holders, h)
		w.machines = append(w.machines, NewMachine(h, DefaultTerms))
		w.dead = append(w.dead, false)
	}
	w.record = Record{Epoch: 1, Owner: w.holders[0], Successor: w.holders[1], WriteID: "0"}
	w.revision = 1
	return w
}

func (w *world) isDead(h Holder) bool {
	for i, known := range w.holders {
		if known == h {
			return w.dead[i]
		}
	}
	return false
}

// check is the promise: one authority at most.
func (w *world) check(t *rapid.T) {
	holder := -1
	for i, m := range w.machines {
		if w.dead[i] || w.now >= m.AuthorityUntil() {
			continue
		}
		if holder >= 0 {
			t.Fatalf("at %d both %d (epoch %d) and %d (epoch %d) have authority",
				w.now, holder, w.machines[holder].Epoch(), i, m.Epoch())
		}
		holder = i
	}
}

// step lets one process do one thing that is due.
func (w *world) step(t *rapid.T, i int) {
	m := w.machines[i]
	if w.dead[i] {
		return
	}
	m.Tick(w.now)
	if m.Doubtful() {
		m.Confirm(w.record, w.revision, w.now)
	}
	record, _ := m.Record()
	var next Holder
	if n := rapid.IntRange(-1, len(w.holders)-1).Draw(t, "next"); n >= 0 && n != i {
		next = w.holders[n]
	}
	switch m.Role() {
	case Owner:
		if a, due := m.NextAsk(w.now); due && !w.asking(i) {
			w.asks = append(w.asks, ask{by: i, ask: a})
		}
		if w.isDead(record.Successor) {
			m.SuccessorDead(w.now)
		}
		if m.Unrecorded() && !m.Pending() {
			w.begin(i, WriteRecord, next)
		} else if m.WantsSuccessor(w.now) {
			w.begin(i, WriteSuccessor, next)
		}
	case Successor:
		dead := w.isDead(record.Owner)
		switch {
		case m.Pending():
		case dead && m.OwnerProvenHeld(w.now) && rapid.Bool().Draw(t, "without the store"):
			w.writeIDs++
			m.FollowUnrecorded(string(rune(w.writeIDs)), w.now)
		case dead || m.GrantLapsed(w.now):
			w.begin(i, WriteClaim, next)
		}
	case Bystander:
		free := w.isDead(record.Owner) && (record.Successor.IsNone() || w.isDead(record.Successor))
		if record.WriteID != "" && free && !m.Pending() {
			w.begin(i, WriteClaim, next)
		}
	}
}

func (w *world) asking(i int) bool {
	for _, a := range w.asks {
		if a.by == i {
			return true
		}
	}
	return false
}

func (w *world) begin(i int, kind Write, next Holder) {
	w.writeIDs++
	record, expect := w.machines[i].BeginWrite(kind, next, string(rune(w.writeIDs)), w.now)
	w.writes = append(w.writes, write{by: i, record: record, expect: expect})
}

// deliver moves one ask or answer on, or drops it.
func (w *world) deliver(t *rapid.T) {
	if len(w.asks) == 0 {
		return
	}
	n := rapid.IntRange(0, len(w.asks)-1).Draw(t, "ask")
	a := &w.asks[n]
	lost := rapid.IntRange(0, 9).Draw(t, "lost") == 0
	if !a.answered && !lost {
		for i, h := range w.holders {
			if h == a.ask.Record.Successor && !w.dead[i] {
				a.reply, a.answered = w.machines[i].Grant(a.ask, w.now), true
				return
			}
		}
	}
	if a.answered && !lost && !w.dead[a.by] {
		w.machines[a.by].Answered(a.ask, a.reply)
	}
	w.asks = append(w.asks[:n], w.asks[n+1:]...)
}

// apply lets the store carry out one write, or its writer learn what came of it.
func (w *world) apply(t *rapid.T) {
	if len(w.writes) == 0 {
		return
	}
	n := rapid.IntRange(0, len(w.writes)-1).Draw(t, "write")
	x := &w.writes[n]
	if x.applied == 0 && !x.refused {
		if w.revision == x.expect {
			w.revision++
			w.record, x.applied = x.record, w.revision
		} else {
			x.refused = true
		}
		return
	}
	if m := w.machines[x.by]; !w.dead[x.by] {
		if x.applied == w.revision {
			m.Settle(TookEffect, x.record, x.applied, w.now)
		} else {
			m.Settle(Overtaken, Record{}, 0, w.now)
		}
	}
	w.writes = append(w.writes[:n], w.writes[n+1:]...)
}

// drop lets a write fail for certain: nothing was sent.
func (w *world) drop(t *rapid.T) {
	for n, x := range w.writes {
		if x.applied == 0 && !x.refused && rapid.Bool().Draw(t, "drop") {
			if !w.dead[x.by] {
				w.machines[x.by].Settle(NoEffect, Record{}, 0, w.now)
			}
			w.writes = append(w.writes[:n], w.writes[n+1:]...)
			return
		}
	}
}

// TestNeverTwoAuthorities drives three machines through random histories of pauses, lost
// and late messages, store outages, late effects and deaths.
func TestNeverTwoAuthorities(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(3)
		if rapid.Bool().Draw(rt, "sole at first") {
			w.record.Successor = Holder{}
		}
		for i := range w.machines {
			w.machines[i].Observe(w.record, w.revision, w.now)
		}
		steps := rapid.IntRange(100, 600).Draw(rt, "steps")
		for range steps {
			i := rapid.IntRange(0, len(w.machines)-1).Draw(rt, "process")
			switch rapid.IntRange(0, 12).Draw(rt, "what") {
			case 0, 1, 2, 3:
				w.step(rt, i)
			case 4, 5, 6:
				w.deliver(rt)
			case 7, 8:
				w.apply(rt)
			case 9:
				w.drop(rt)
			case 10:
				if !w.dead[i] && !w.machines[i].Pending() {
					w.machines[i].Observe(w.record, w.revision, w.now)
				}
			case 11:
				w.now = w.now.Add(time.Duration(rapid.IntRange(10, 900).Draw(rt, "ms")) * time.Millisecond)
			case 12:
				w.dead[i] = w.dead[i] || rapid.IntRange(0, 15).Draw(rt, "dies") == 0
			}
			w.check(rt)
		}
	})
}
