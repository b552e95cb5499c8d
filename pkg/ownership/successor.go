package ownership

import (
	"foldarch.dev/foldarch/pkg/clock"
)

// Grant answers an owner that asks for a further term.
func (m *Machine) Grant(ask Ask, now clock.Time) Reply {
	if ask.Revision > m.revision && ask.Record.WriteID != "" {
		m.Observe(ask.Record, ask.Revision, now)
	}
	granted := m.role == Successor && !m.pending && ask.Revision == m.revision &&
		ask.Epoch == m.record.Epoch && ask.Owner.Incarnation == m.record.Owner.Incarnation
	if !granted {
		return Reply{Clock: int64(now)}
	}
	s := &m.successor
	s.lastAsk = now
	s.grantEnd = now.Add(m.terms.Grant + m.terms.Margin)
	if ask.Echo != 0 && clock.Time(ask.Echo) > s.lastEcho {
		// The owner sent the ask that our answer at the earlier echo went to after it had
		// that echo's forerunner, so its grant lasts at least a term from there.
		s.provenUntil = s.lastEcho.Add(m.terms.Grant)
		s.lastEcho = clock.Time(ask.Echo)
	}
	return Reply{Granted: true, Clock: int64(now)}
}

// MissesOwner says that the owner is late with its next ask, so that it is worth finding
// out whether its process has ended.
func (m *Machine) MissesOwner(now clock.Time) bool {
	return m.role == Successor && !m.pending && now > m.successor.lastAsk.Add(m.terms.AskEvery+m.terms.Margin)
}

// GrantLapsed says that no grant of this successor can be in use any more.
func (m *Machine) GrantLapsed(now clock.Time) bool {
	return m.role == Successor && now > m.successor.grantEnd
}

// OwnerProvenHeld says that the owner's grant certainly still holds, so that it can't
// have replaced this successor. If its process has ended by now, nobody else may follow.
func (m *Machine) OwnerProvenHeld(now clock.Time) bool {
	return m.role == Successor && !m.pending && now < m.successor.provenUntil
}

// FollowUnrecorded makes the successor the sole owner of the next epoch without the
// store. It is allowed only when the owner's process was seen to have ended while
// OwnerProvenHeld.
func (m *Machine) FollowUnrecorded(writeID string, now clock.Time) {
	m.record = Record{Epoch: m.record.Epoch + 1, Owner: m.self, WriteID: writeID}
	m.becomeOwner(false, now)
	m.owner.unrecorded = true
}
