package ownership

import (
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
)

// Terms are the times of the protocol.
type Terms struct {
	// Grant is how long one grant lasts, from the moment the owner asked for it.
	Grant time.Duration
	// AskEvery is how often an owner asks.
	AskEvery time.Duration
	// Margin is added by the successor for clocks that run unlike.
	Margin time.Duration
	// Sole is how far ahead a sole owner's authority reaches at each tick; a longer gap
	// between ticks counts as a pause.
	Sole time.Duration
}

// DefaultTerms suit a hall's network; docs/design/ownership.md gives the measurements.
var DefaultTerms = Terms{
	Grant:    1500 * time.Millisecond,
	AskEvery: 250 * time.Millisecond,
	Margin:   150 * time.Millisecond,
	Sole:     time.Second,
}

// Role is what a process is to a shard.
type Role int

// The roles.
const (
	Bystander Role = iota
	Successor
	Owner
)

// String returns the role's name for logs.
func (r Role) String() string {
	return [...]string{"bystander", "successor", "owner"}[r]
}

// Machine is the state of one shard in one process. It is not safe for concurrent use.
type Machine struct {
	self  Holder
	terms Terms

	record   Record
	revision int64 // of the record in the store
	role     Role

	// pending says that a write of ours to the record is not settled. While it is, no
	// grant is asked, taken or given, since the write may already be in force.
	pending bool
	// pendingNames says that the write names a successor, who may then follow.
	pendingNames bool

	owner     ownerState
	successor successorState
}

// ownerState is what only an owner needs.
type ownerState struct {
	grantedUntil clock.Time
	// askingSince is when the present successor was first asked, or asked anew.
	askingSince clock.Time
	nextAsk     clock.Time
	lastAsk     clock.Time
	sole        bool
	// soleUntil bounds a sole owner's authority to its last tick.
	soleUntil clock.Time
	// doubtful says that a pause was noticed, so that a sole owner must see its record
	// in the store again before it goes on.
	doubtful   bool
	lastTick   clock.Time
	unrecorded bool // the epoch was taken without the store
	leaving    bool
	// successorDead says that there is proof that the successor's process has ended.
	successorDead bool
	peerClock     int64 // the successor's clock in its last answer
}

// successorState is what only a successor needs.
type successorState struct {
	// grantEnd is when the last grant has lapsed for certain.
	grantEnd clock.Time
	lastAsk  clock.Time
	// lastEcho is our own clock reading that the owner gave back last; it bounds from
	// below when the owner's grant ends.
	lastEcho    clock.Time
	provenUntil clock.Time
}

// NewMachine returns the machine of a shard of which nothing is known.
func NewMachine(self Holder, terms Terms) *Machine {
	return &Machine{self: self, terms: terms}
}

// Record returns the newest record known and its revision in the store.
func (m *Machine) Record() (Record, int64) {
	return m.record, m.revision
}

// Role returns what this process is to the shard.
func (m *Machine) Role() Role {
	return m.role
}

// Epoch returns the epoch of the newest record known.
func (m *Machine) Epoch() cell.Epoch {
	return m.record.Epoch
}

// Unrecorded says that the epoch was taken without the store and is to be written there.
func (m *Machine) Unrecorded() bool {
	return m.role == Owner && m.owner.unrecorded
}

// AuthorityUntil returns when this process's authority ends unless it is renewed; a
// time not after now means that it has none.
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

// Observe takes in a record read from the store, or told by its owner.
func (m *Machine) Observe(record Record, revision int64, now clock.Time) {
	known := revision == m.revision && m.role != Bystander
	if revision < m.revision || known {
		return
	}
	m.adopt(record, revision, now)
}

// adopt makes a record the one in force and takes the role that it gives.
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

func (m *Machine) becomeOwner(was bool, now clock.Time) {
	m.role = Owner
	if !was {
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

// becomeSuccessor begins anew with each record, also when an earlier one named this
// process too: the one between them may not have been seen.
func (m *Machine) becomeSuccessor(now clock.Time) {
	m.role = Successor
	// The owner may act on a grant of its former successor, or as sole, for one term
	// from the write that named us, which was not after now.
	m.successor = successorState{grantEnd: now.Add(m.terms.Grant + m.terms.Margin), lastAsk: now}
}
