package ownership

import (
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
)

// Timing holds the durations of the protocol.
type Terms struct {
	// GrantDuration is how long one grant lasts, counted from the moment at which the owner
	// requested it.
	Grant time.Duration
	// RequestInterval is how often an owner requests a grant.
	AskEvery time.Duration
	// ClockMargin is what the successor adds to the duration of a grant before it takes the grant
	// as expired, since the clocks of two hosts may run at different rates.
	Margin time.Duration
	// SoleExtension is how far beyond each tick the authority of a sole owner extends. A longer gap
	// between two ticks counts as a pause of the process.
	Sole time.Duration
}

// DefaultTiming suits the network of a hall; docs/design/ownership.md gives the measurements.
var DefaultTerms = Terms{
	Grant:    1500 * time.Millisecond,
	AskEvery: 250 * time.Millisecond,
	Margin:   150 * time.Millisecond,
	Sole:     time.Second,
}

// Role is the part that a process has in the ownership of a shard.
type Role int

// The roles. A bystander is neither the owner nor the successor.
const (
	Bystander Role = iota
	Successor
	Owner
)

// String returns the role's name for logs.
func (r Role) String() string {
	return [...]string{"bystander", "successor", "owner"}[r]
}

// StateMachine is the ownership state of one shard in one process. It is not safe for concurrent
// use.
type Machine struct {
	self  Holder
	terms Terms

	record   Record
	revision int64 // of record, in the store
	role     Role

	// writePending says that this process has written the record and does not know the outcome yet.
	// Until it does, it neither requests nor accepts nor gives a grant, since the write may already
	// be in force.
	pending bool
	// pendingNamesSuccessor says that the pending write names a successor, which may take over as
	// soon as the write is in force.
	pendingNames bool

	owner     ownerState
	successor successorState
}

// ownerState is the state that only an owner uses.
type ownerState struct {
	grantedUntil clock.Time
	// requestingSince is when this process began, or began again, to request grants of the present
	// successor.
	askingSince clock.Time
	nextAsk     clock.Time
	lastAsk     clock.Time
	sole        bool
	// soleUntil is when the authority of a sole owner ends unless another tick extends it.
	soleUntil clock.Time
	// needsConfirmation says that the process was paused. A sole owner must then read its record
	// from the store again before it has authority.
	doubtful   bool
	lastTick   clock.Time
	unrecorded bool // the epoch is not in the store yet
	leaving    bool
	// successorEnded says that there is proof that the successor's process has ended.
	successorDead bool
	peerClock     int64 // the successor's clock in its last reply
}

// successorState is the state that only a successor uses.
type successorState struct {
	// grantExpiry is when the last grant has certainly expired.
	grantEnd clock.Time
	lastAsk  clock.Time
	// lastEcho is the latest of this process's own clock readings that the owner has sent back. It
	// gives a lower bound for the end of the owner's grant, ownerGrantProvenUntil.
	lastEcho    clock.Time
	provenUntil clock.Time
}

// NewStateMachine returns the state machine of a shard whose record is not known yet.
func NewMachine(self Holder, terms Terms) *Machine {
	return &Machine{self: self, terms: terms}
}

// Record returns the newest known record and its revision in the store.
func (m *Machine) Record() (Record, int64) {
	return m.record, m.revision
}

// Role returns the role of this process for the shard.
func (m *Machine) Role() Role {
	return m.role
}

// Epoch returns the epoch of the newest known record.
func (m *Machine) Epoch() cell.Epoch {
	return m.record.Epoch
}

// Unrecorded reports whether this process became owner without the store, so that its epoch has yet
// to be written there.
func (m *Machine) Unrecorded() bool {
	return m.role == Owner && m.owner.unrecorded
}

// AuthorityUntil returns when the authority of this process ends unless it is renewed. A time that
// is not after now means that it has none.
func (m *Machine) AuthorityUntil() clock.Time {
	switch {
	case m.role != Owner || m.owner.leaving:
		return 0
	case m.owner.sole && !m.owner.doubtful:
		return m.owner.soleUntil
	default:
		return m.owner.grantedUntil
	}
}

// Observe processes a record that was read from the store or received from its owner.
func (m *Machine) Observe(record Record, revision int64, now clock.Time) {
	known := revision == m.revision && m.role != Bystander
	if revision < m.revision || known {
		return
	}
	m.adopt(record, revision, now)
}

// adopt makes a record the current one and takes the role that the record gives this process.
func (m *Machine) adopt(record Record, revision int64, now clock.Time) {
	wasOwner := m.role == Owner && record.Epoch == m.record.Epoch
	m.record, m.revision = record, revision
	switch m.self.Incarnation {
	case record.Owner.Incarnation:
		m.becomeOwner(wasOwner, now)
	case record.Successor.Incarnation:
		m.becomeSuccessor(now)
	default:
		m.role = Bystander
	}
}

func (m *Machine) becomeOwner(wasOwner bool, now clock.Time) {
	m.role = Owner
	if !wasOwner {
		m.owner = ownerState{lastTick: now}
	}
	m.askAnew(now)
	m.owner.lastAsk = now
	m.owner.peerClock = 0
	m.owner.successorDead = false
	m.owner.sole = m.record.Successor.IsNone()
	if m.owner.sole {
		m.owner.soleUntil = now.Add(m.terms.Sole)
		m.owner.doubtful = false
	}
}

// becomeSuccessor starts with fresh state for each record, even if this process was the successor
// in the previous known record too: a record between the two may not have been seen.
func (m *Machine) becomeSuccessor(now clock.Time) {
	m.role = Successor
	// Until one grant duration after the write that named this process, which was not later than
	// now, the owner may still have authority by a grant of its former successor or as a sole
	// owner.
	m.successor = successorState{grantEnd: now.Add(m.terms.Grant + m.terms.Margin), lastAsk: now}
}
