package ownership

import (
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
)

// GrantRequest is an owner's request for a grant.
type GrantRequest struct {
	Epoch cell.Epoch
	Owner Holder
	// Record is the record that makes the sender the owner. It may be left out of the message once
	// the successor has replied, which a non-zero Echo shows.
	Record   Record
	Revision int64
	// Echo is the successor's clock in the last reply that the owner has, or 0.
	Echo   int64
	SentAt clock.Time
}

// GrantReply is the reply to a GrantRequest.
type GrantReply struct {
	Granted bool
	// Clock is the successor's clock when it replied.
	Clock int64
}

// Tick informs the state machine of the time and reports whether the process was paused, which a
// late tick shows. For a sole owner each tick extends the authority by Timing.SoleExtension; after
// a pause it must read its record again (Confirm) before it has authority.
func (m *StateMachine) Tick(now clock.Time) (paused bool) {
	if m.role != RoleOwner {
		return false
	}
	paused = now.Sub(m.owner.lastTick) > m.timing.SoleExtension
	m.owner.lastTick = now
	if paused && m.owner.sole {
		m.owner.needsConfirmation = true
	}
	if m.owner.sole && !m.owner.needsConfirmation && !(m.writePending && m.pendingNamesSuccessor) {
		m.owner.soleUntil = now.Add(m.timing.SoleExtension)
	}
	return paused
}

// Confirm gives a sole owner that was paused the record that the store holds now.
func (m *StateMachine) Confirm(record Record, revision int64, now clock.Time) {
	if record.WriteID != m.record.WriteID {
		m.adopt(record, revision, now)
		return
	}
	m.owner.needsConfirmation = false
	m.Tick(now)
}

// NeedsConfirmation reports whether a sole owner was paused and waits for Confirm.
func (m *StateMachine) NeedsConfirmation() bool {
	return m.role == RoleOwner && m.owner.sole && m.owner.needsConfirmation
}

// NextGrantRequest returns the grant request that is due, if any. The caller sends one request at a
// time and stops waiting for its reply before it calls NextGrantRequest again.
func (m *StateMachine) NextGrantRequest(now clock.Time) (GrantRequest, bool) {
	mayRequest := m.role == RoleOwner && !m.owner.sole && !m.writePending && !m.owner.leaving
	if !mayRequest || now < m.owner.nextRequest || now > m.requestsEnd() {
		return GrantRequest{}, false
	}
	m.owner.nextRequest = now.Add(m.timing.RequestInterval)
	m.owner.lastRequest = now
	return GrantRequest{
		Epoch: m.record.Epoch, Owner: m.self, Record: m.record, Revision: m.revision,
		Echo: m.owner.successorClock, SentAt: now,
	}, true
}

// HandleGrantReply processes the reply to a grant request. A reply has no effect if it grants
// nothing, if a write is pending, or if the record has changed since the request.
func (m *StateMachine) HandleGrantReply(request GrantRequest, reply GrantReply) {
	current := m.role == RoleOwner && !m.writePending && request.Record.WriteID == m.record.WriteID
	if !current || !reply.Granted {
		return
	}
	m.owner.grantedUntil = max(m.owner.grantedUntil, request.SentAt.Add(m.timing.GrantDuration))
	m.owner.successorClock = reply.Clock
}

// ReportSuccessorEnded tells an owner that its successor's process has ended, so that the successor
// may be replaced at once. If the owner's grant still holds, the successor can't have begun to take
// over, so the owner is sole even before the store's record says so.
func (m *StateMachine) ReportSuccessorEnded(now clock.Time) {
	if m.role != RoleOwner || m.owner.sole || m.writePending {
		return
	}
	m.owner.successorEnded = true
	if now < m.owner.grantedUntil {
		m.owner.sole = true
		m.owner.soleUntil = now.Add(m.timing.SoleExtension)
		m.owner.lastTick = now
	}
}

// requestsEnd is when an owner that gets no replies stops sending requests, since another successor
// may be named only after a period without requests (successorSilent). It is earlier than the end
// of the grant, to keep the time short in which the shard has no authority.
func (m *StateMachine) requestsEnd() clock.Time {
	return max(m.owner.grantedUntil.Add(-2*m.timing.RequestInterval), m.owner.requestingSince.Add(m.timing.GrantDuration))
}

// restartRequests makes the next grant request due at once. It is called for a new successor, and
// after a write that was not applied.
func (m *StateMachine) restartRequests(now clock.Time) {
	m.owner.requestingSince = now
	m.owner.nextRequest = now
}

// successorSilent reports whether the successor has not replied, and was not sent a request, for so
// long that all it knows of the owner's grants has expired. Only then may it be replaced: from here
// on it can't take over without the store.
func (m *StateMachine) successorSilent(now clock.Time) bool {
	return now > m.requestsEnd() && now > m.owner.lastRequest.Add(m.timing.GrantDuration+2*m.timing.ClockMargin)
}

// NeedsSuccessor reports whether the owner has to name another successor: it is sole, or its
// successor is silent or has ended.
func (m *StateMachine) NeedsSuccessor(now clock.Time) bool {
	able := m.role == RoleOwner && !m.writePending && !m.owner.leaving && !m.NeedsConfirmation()
	return able && (m.owner.sole || m.owner.successorEnded || m.successorSilent(now))
}

// Leave ends the authority of an owner whose process is about to stop. The write of kind
// WriteHandover that follows makes the successor the owner.
func (m *StateMachine) Leave() {
	if m.role == RoleOwner {
		m.owner.leaving = true
	}
}
