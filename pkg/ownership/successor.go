package ownership

import (
	"foldarch.dev/foldarch/pkg/clock"
)

// Grant handles a grant request and returns the reply. A newer record in the request is adopted
// first.
func (m *StateMachine) Grant(request GrantRequest, now clock.Time) GrantReply {
	if request.Revision > m.revision && request.Record.WriteID != "" {
		m.Observe(request.Record, request.Revision, now)
	}
	granted := m.role == RoleSuccessor && !m.writePending && request.Revision == m.revision &&
		request.Epoch == m.record.Epoch && request.Owner.Incarnation == m.record.Owner.Incarnation
	if !granted {
		return GrantReply{Clock: int64(now)}
	}
	s := &m.successor
	s.lastRequest = now
	s.grantExpiry = now.Add(m.timing.GrantDuration + m.timing.ClockMargin)
	if request.Echo != 0 && clock.Time(request.Echo) > s.lastEcho {
		// The echo is new, so the owner has received the reply that bears it. It had requested that
		// grant after it received the reply that bears the previous echo, so its grant lasts at
		// least one grant duration from the previous echo.
		s.ownerGrantProvenUntil = s.lastEcho.Add(m.timing.GrantDuration)
		s.lastEcho = clock.Time(request.Echo)
	}
	return GrantReply{Granted: true, Clock: int64(now)}
}

// RequestOverdue reports whether the owner's next grant request is late, which is a reason to check
// whether its process has ended.
func (m *StateMachine) RequestOverdue(now clock.Time) bool {
	return m.role == RoleSuccessor && !m.writePending && now > m.successor.lastRequest.Add(m.timing.RequestInterval+m.timing.ClockMargin)
}

// GrantExpired reports whether no grant of this successor can be in use any more.
func (m *StateMachine) GrantExpired(now clock.Time) bool {
	return m.role == RoleSuccessor && now > m.successor.grantExpiry
}

// OwnerGrantProven reports whether the owner's grant certainly still holds. If it does, the owner
// can't have replaced this successor, and if its process has ended by now, no other process may
// take over.
func (m *StateMachine) OwnerGrantProven(now clock.Time) bool {
	return m.role == RoleSuccessor && !m.writePending && now < m.successor.ownerGrantProvenUntil
}

// TakeOverUnrecorded makes the successor the sole owner of the next epoch without the store. It may
// be called only if the owner's process was found to have ended while OwnerGrantProven returned
// true.
func (m *StateMachine) TakeOverUnrecorded(writeID string, now clock.Time) {
	m.record = Record{Epoch: m.record.Epoch + 1, Owner: m.self, WriteID: writeID}
	m.becomeOwner(false, now)
	m.owner.unrecorded = true
}
