package ownership

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"pgregory.net/rapid"
)

// simulation is a hall of state machines with a store, with simulated faults and time.
type simulation struct {
	now         clock.Time
	machines    []*StateMachine
	holders     []Holder
	dead        []bool
	record      Record
	revision    int64
	writes      []inFlightWrite
	requests    []inFlightRequest
	lastWriteID int
}

// inFlightWrite is a write that its writer has not finished.
type inFlightWrite struct {
	writer          int
	record          Record
	expect          int64
	appliedRevision int64 // in the store, 0 before the store has carried it out
	rejected        bool
}

// inFlightRequest is a grant request, or its reply, on the way.
type inFlightRequest struct {
	owner    int
	request  GrantRequest
	reply    GrantReply
	answered bool
}

func newSimulation(n int) *simulation {
	sim := &simulation{}
	for i := range n {
		h := Holder{ID: string(rune('a' + i)), Incarnation: string(rune('a' + i))}
		sim.holders = append(sim.holders, h)
		sim.machines = append(sim.machines, NewStateMachine(h, DefaultTiming))
		sim.dead = append(sim.dead, false)
	}
	sim.record = Record{Epoch: 1, Owner: sim.holders[0], Successor: sim.holders[1], WriteID: "0"}
	sim.revision = 1
	return sim
}

func (sim *simulation) isDead(h Holder) bool {
	for i, holder := range sim.holders {
		if holder == h {
			return sim.dead[i]
		}
	}
	return false
}

// checkOneAuthority fails the test if two processes have authority.
func (sim *simulation) checkOneAuthority(t *rapid.T) {
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
func (sim *simulation) stepProcess(t *rapid.T, i int) {
	m := sim.machines[i]
	if sim.dead[i] {
		return
	}
	m.Tick(sim.now)
	if m.NeedsConfirmation() {
		m.Confirm(sim.record, sim.revision, sim.now)
	}
	record, _ := m.Record()
	var next Holder
	if n := rapid.IntRange(-1, len(sim.holders)-1).Draw(t, "next"); n >= 0 && n != i {
		next = sim.holders[n]
	}
	switch m.Role() {
	case RoleOwner:
		if r, due := m.NextGrantRequest(sim.now); due && !sim.hasRequest(i) {
			sim.requests = append(sim.requests, inFlightRequest{owner: i, request: r})
		}
		if sim.isDead(record.Successor) {
			m.ReportSuccessorEnded(sim.now)
		}
		if m.Unrecorded() && !m.WritePending() {
			sim.beginWrite(i, WriteUnrecordedEpoch, next)
		} else if m.NeedsSuccessor(sim.now) {
			sim.beginWrite(i, WriteSuccessor, next)
		}
	case RoleSuccessor:
		dead := sim.isDead(record.Owner)
		switch {
		case m.WritePending():
		case dead && m.OwnerGrantProven(sim.now) && rapid.Bool().Draw(t, "without the store"):
			sim.lastWriteID++
			m.TakeOverUnrecorded(string(rune(sim.lastWriteID)), sim.now)
		case dead || m.GrantExpired(sim.now):
			sim.beginWrite(i, WriteClaim, next)
		}
	case RoleBystander:
		free := sim.isDead(record.Owner) && (record.Successor.IsNone() || sim.isDead(record.Successor))
		if record.WriteID != "" && free && !m.WritePending() {
			sim.beginWrite(i, WriteClaim, next)
		}
	}
}

func (sim *simulation) hasRequest(i int) bool {
	for _, r := range sim.requests {
		if r.owner == i {
			return true
		}
	}
	return false
}

func (sim *simulation) beginWrite(i int, kind WriteKind, next Holder) {
	sim.lastWriteID++
	record, expect := sim.machines[i].BeginWrite(kind, next, string(rune(sim.lastWriteID)), sim.now)
	sim.writes = append(sim.writes, inFlightWrite{writer: i, record: record, expect: expect})
}

// deliverRequest delivers or drops one grant request or reply.
func (sim *simulation) deliverRequest(t *rapid.T) {
	if len(sim.requests) == 0 {
		return
	}
	n := rapid.IntRange(0, len(sim.requests)-1).Draw(t, "request")
	r := &sim.requests[n]
	lost := rapid.IntRange(0, 9).Draw(t, "lost") == 0
	if !r.answered && !lost {
		for i, h := range sim.holders {
			if h == r.request.Record.Successor && !sim.dead[i] {
				r.reply, r.answered = sim.machines[i].Grant(r.request, sim.now), true
				return
			}
		}
	}
	if r.answered && !lost && !sim.dead[r.owner] {
		sim.machines[r.owner].HandleGrantReply(r.request, r.reply)
	}
	sim.requests = append(sim.requests[:n], sim.requests[n+1:]...)
}

// advanceWrite lets the store carry out or reject one write, or tells its writer the outcome.
func (sim *simulation) advanceWrite(t *rapid.T) {
	if len(sim.writes) == 0 {
		return
	}
	n := rapid.IntRange(0, len(sim.writes)-1).Draw(t, "write")
	w := &sim.writes[n]
	if w.appliedRevision == 0 && !w.rejected {
		if sim.revision == w.expect {
			sim.revision++
			sim.record, w.appliedRevision = w.record, sim.revision
		} else {
			w.rejected = true
		}
		return
	}
	if m := sim.machines[w.writer]; !sim.dead[w.writer] {
		if w.appliedRevision == sim.revision {
			m.FinishWrite(WriteApplied, w.record, w.appliedRevision, sim.now)
		} else {
			m.FinishWrite(WriteConflict, Record{}, 0, sim.now)
		}
	}
	sim.writes = append(sim.writes[:n], sim.writes[n+1:]...)
}

// dropWrite makes one write fail for certain: it was not sent.
func (sim *simulation) dropWrite(t *rapid.T) {
	for n, w := range sim.writes {
		if w.appliedRevision == 0 && !w.rejected && rapid.Bool().Draw(t, "drop") {
			if !sim.dead[w.writer] {
				sim.machines[w.writer].FinishWrite(WriteNotApplied, Record{}, 0, sim.now)
			}
			sim.writes = append(sim.writes[:n], sim.writes[n+1:]...)
			return
		}
	}
}

// TestAtMostOneProcessHasAuthority drives three state machines through random sequences of pauses,
// lost and late messages, store outages, late writes and process deaths.
func TestAtMostOneProcessHasAuthority(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(3)
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
				sim.stepProcess(rt, i)
			case 4, 5, 6:
				sim.deliverRequest(rt)
			case 7, 8:
				sim.advanceWrite(rt)
			case 9:
				sim.dropWrite(rt)
			case 10:
				if !sim.dead[i] && !sim.machines[i].WritePending() {
					sim.machines[i].Observe(sim.record, sim.revision, sim.now)
				}
			case 11:
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(10, 900).Draw(rt, "ms")) * time.Millisecond)
			case 12:
				sim.dead[i] = sim.dead[i] || rapid.IntRange(0, 15).Draw(rt, "dies") == 0
			}
			sim.checkOneAuthority(rt)
		}
	})
}
