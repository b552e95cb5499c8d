package ownership

import (
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
)

// Timing holds the durations of the protocol.
type Timing struct {
	// GrantDuration is how long one grant lasts, counted from the moment at which the owner
	// requested it.
	GrantDuration time.Duration
	// RequestInterval is how often an owner requests a grant.
	RequestInterval time.Duration
	// ClockMargin is what the successor adds to the duration of a grant before it takes the grant
	// as expired, since the clocks of two hosts may run at different rates.
	ClockMargin time.Duration
	// SoleExtension is how far beyond each tick the authority of a sole owner extends. A longer gap
	// between two ticks counts as a pause of the process.
	SoleExtension time.Duration
}

// DefaultTiming suits the network of a hall; docs/design/ownership.md gives the measurements.
var DefaultTiming = Timing{
	GrantDuration:   1500 * time.Millisecond,
	RequestInterval: 250 * time.Millisecond,
	ClockMargin:     150 * time.Millisecond,
	SoleExtension:   time.Second,
}

// Role is the part that a process has in the ownership of a shard.
type Role int

// The roles. A bystander is neither the owner nor the successor.
const (
	RoleBystander Role = iota
	RoleSuccessor
	RoleOwner
)

// String returns the role's name for logs.
func (r Role) String() string {
	return [...]string{"bystander", "successor", "owner"}[r]
}

// StateMachine is the ownership state of one shard in one process. It is not safe for concurrent
// use.
type StateMachine struct {
	self   Holder
	timing Timing

	record   Record
	revision int64 // of record, in the store
	role     Role

	// writePending says that this process has written the record and does not know the outcome yet.
	// Until it does, it neither requests nor accepts nor gives a grant, since the write may already
	// be in force.
	writePending bool
	// pendingNamesSuccessor says that the pending write names a successor, which may take over as
	// soon as the write is in force.
	pendingNamesSuccessor bool

	owner     ownerState
	successor successorState
}

// ownerState is the state that only an owner uses.
type ownerState struct {
	grantedUntil clock.Time
	// requestingSince is when this process began, or began again, to request grants of the present
	// successor.
	requestingSince clock.Time
	nextRequest     clock.Time
	lastRequest     clock.Time
	sole            bool
	// soleUntil is when the authority of a sole owner ends unless another tick extends it.
	soleUntil clock.Time
	// needsConfirmation says that the process was paused. A sole owner must then read its record
	// from the store again before it has authority.
	needsConfirmation bool
	lastTick          clock.Time
	unrecorded        bool // the epoch is not in the store yet
	leaving           bool
	// successorEnded says that there is proof that the successor's process has ended.
	successorEnded bool
	successorClock int64 // the successor's clock in its last reply
}

// successorState is the state that only a successor uses.
type successorState struct {
	// grantExpiry is when the last grant has certainly expired.
	grantExpiry clock.Time
	lastRequest clock.Time
	// lastEcho is the latest of this process's own clock readings that the owner has sent back. It
	// gives a lower bound for the end of the owner's grant, ownerGrantProvenUntil.
	lastEcho              clock.Time
	ownerGrantProvenUntil clock.Time
}

// NewStateMachine returns the state machine of a shard whose record is not known yet.
func NewStateMachine(self Holder, terms Timing) *StateMachine {
	return &StateMachine{self: self, timing: terms}
}

// Record returns the newest known record and its revision in the store.
func (m *StateMachine) Record() (Record, int64) {
	return m.record, m.revision
}

// Role returns the role of this process for the shard.
func (m *StateMachine) Role() Role {
	return m.role
}

// Epoch returns the epoch of the newest known record.
func (m *StateMachine) Epoch() cell.Epoch {
	return m.record.Epoch
}

// Unrecorded reports whether this process became owner without the store, so that its epoch has yet
// to be written there.
func (m *StateMachine) Unrecorded() bool {
	return m.role == RoleOwner && m.owner.unrecorded
}

// AuthorityUntil returns when the authority of this process ends unless it is renewed. A time that
// is not after now means that it has none.
func (m *StateMachine) AuthorityUntil() clock.Time {
	switch {
	case m.role != RoleOwner || m.owner.leaving:
		return 0
	case m.owner.sole && !m.owner.needsConfirmation:
		return m.owner.soleUntil
	default:
		return m.owner.grantedUntil
	}
}

// Observe processes a record that was read from the store or received from its owner.
func (m *StateMachine) Observe(record Record, revision int64, now clock.Time) {
	known := revision == m.revision && m.role != RoleBystander
	if revision < m.revision || known {
		return
	}
	m.adopt(record, revision, now)
}

// adopt makes a record the current one and takes the role that the record gives this process.
func (m *StateMachine) adopt(record Record, revision int64, now clock.Time) {
	wasOwner := m.role == RoleOwner && record.Epoch == m.record.Epoch
	m.record, m.revision = record, revision
	switch m.self.Incarnation {
	case record.Owner.Incarnation:
		m.becomeOwner(wasOwner, now)
	case record.Successor.Incarnation:
		m.becomeSuccessor(now)
	default:
		m.role = RoleBystander
	}
}

func (m *StateMachine) becomeOwner(wasOwner bool, now clock.Time) {
	m.role = RoleOwner
	if !wasOwner {
		m.owner = ownerState{lastTick: now}
	}
	m.restartRequests(now)
	m.owner.lastRequest = now
	m.owner.successorClock = 0
	m.owner.successorEnded = false
	m.owner.sole = m.record.Successor.IsNone()
	if m.owner.sole {
		m.owner.soleUntil = now.Add(m.timing.SoleExtension)
		m.owner.needsConfirmation = false
	}
}

// becomeSuccessor starts with fresh state for each record, even if this process was the successor
// in the previous known record too: a record between the two may not have been seen.
func (m *StateMachine) becomeSuccessor(now clock.Time) {
	m.role = RoleSuccessor
	// Until one grant duration after the write that named this process, which was not later than
	// now, the owner may still have authority by a grant of its previous successor or as a sole
	// owner.
	m.successor = successorState{grantExpiry: now.Add(m.timing.GrantDuration + m.timing.ClockMargin), lastRequest: now}
}
