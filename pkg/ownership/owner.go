package ownership

import (
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
)

// Ask is a request for a grant.
type Ask struct {
	Epoch cell.Epoch
	Owner Holder
	// Record is the record under which the owner acts. The wire may leave it out once
	// the successor has answered, which Echo tells.
	Record   Record
	Revision int64
	// Echo is the successor's clock in the last answer that the owner has, 0 for none.
	Echo int64
	Sent clock.Time
}

// Reply is the answer to an Ask.
type Reply struct {
	Granted bool
	// Clock is the successor's clock when it answered.
	Clock int64
}

// Tick tells an owner the time. A sole owner's authority reaches a little beyond each
// tick; when a tick comes late, the process was paused, and a sole owner must see its
// record again before it goes on. Tick reports whether a pause was noticed.
func (m *Machine) Tick(now clock.Time) (paused bool) {
	if m.role != Owner {
		return false
	}
	paused = now.Sub(m.owner.lastTick) > m.terms.Sole
	m.owner.lastTick = now
	if paused && m.owner.sole {
		m.owner.doubtful = true
	}
	if m.owner.sole && !m.owner.doubtful && !(m.pending && m.pendingNames) {
		m.owner.soleUntil = now.Add(m.terms.Sole)
	}
	return paused
}

// Confirm tells a sole owner that doubts its authority what the store holds now.
func (m *Machine) Confirm(record Record, revision int64, now clock.Time) {
	if record.WriteID != m.record.WriteID {
		m.adopt(record, revision, now)
		return
	}
	m.owner.doubtful = false
	m.Tick(now)
}

// Doubtful says that a sole owner needs Confirm.
func (m *Machine) Doubtful() bool {
	return m.role == Owner && m.owner.sole && m.owner.doubtful
}

// NextAsk returns the request for a grant that is due, if one is. The caller sends one ask
// at a time and gives up on it before it calls NextAsk again.
func (m *Machine) NextAsk(now clock.Time) (Ask, bool) {
	mayAsk := m.role == Owner && !m.owner.sole && !m.pending && !m.owner.leaving
	if !mayAsk || now < m.owner.nextAsk || now > m.asksEnd() {
		return Ask{}, false
	}
	m.owner.nextAsk = now.Add(m.terms.AskEvery)
	m.owner.lastAsk = now
	return Ask{
		Epoch: m.record.Epoch, Owner: m.self, Record: m.record, Revision: m.revision,
		Echo: m.owner.peerClock, Sent: now,
	}, true
}

// Answered takes in the answer to an Ask. An answer to an ask from before a write or a
// change of the record is of no use.
func (m *Machine) Answered(ask Ask, reply Reply) {
	current := m.role == Owner && !m.pending && ask.Record.WriteID == m.record.WriteID
	if !current || !reply.Granted {
		return
	}
	m.owner.grantedUntil = max(m.owner.grantedUntil, ask.Sent.Add(m.terms.Grant))
	m.owner.peerClock = reply.Clock
}

// SuccessorDead tells an owner that its successor's process has ended, so that it may be
// replaced at once. While the grant still holds, the successor can't have begun to follow
// either, so that the owner is sole even before the store says so.
func (m *Machine) SuccessorDead(now clock.Time) {
	if m.role != Owner || m.owner.sole || m.pending {
		return
	}
	m.owner.successorDead = true
	if now < m.owner.grantedUntil {
		m.owner.sole = true
		m.owner.soleUntil = now.Add(m.terms.Sole)
		m.owner.lastTick = now
	}
}

// asksEnd is when an owner without answers stops asking, so that the silence which must
// come before another successor is named can run out. It is before the grant lapses, to
// keep short the time in which the shard has no authority.
func (m *Machine) asksEnd() clock.Time {
	return max(m.owner.grantedUntil.Add(-2*m.terms.AskEvery), m.owner.askingSince.Add(m.terms.Grant))
}

// askAnew begins to ask the successor, or begins again after a silence without effect.
func (m *Machine) askAnew(now clock.Time) {
	m.owner.askingSince = now
	m.owner.nextAsk = now
}

// silent says that the successor was neither asked nor has answered for so long that
// what it knows of the owner's grants has lapsed. Only then may it be replaced: from here
// on it can't follow without the store.
func (m *Machine) silent(now clock.Time) bool {
	return now > m.asksEnd() && now > m.owner.lastAsk.Add(m.terms.Grant+2*m.terms.Margin)
}

// WantsSuccessor says that the owner needs another successor: it is sole, or its
// successor is silent.
func (m *Machine) WantsSuccessor(now clock.Time) bool {
	able := m.role == Owner && !m.pending && !m.owner.leaving && !m.Doubtful()
	return able && (m.owner.sole || m.owner.successorDead || m.silent(now))
}

// Leave makes an owner stop, for a planned end of the process. It has no authority from
// then on; the write that follows hands the shard over.
func (m *Machine) Leave() {
	if m.role == Owner {
		m.owner.leaving = true
	}
}
