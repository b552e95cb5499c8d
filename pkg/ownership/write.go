package ownership

import (
	"foldarch.dev/foldarch/pkg/clock"
)

// WriteKind is the purpose of a write of the record.
type WriteKind int

// The kinds of writes.
const (
	WriteClaim           WriteKind = iota // take over the shard at the next epoch
	WriteSuccessor                        // replace the successor, possibly by none
	WriteHandover                         // make the successor the owner
	WriteUnrecordedEpoch                  // write an epoch that was begun without the store
)

// WriteOutcome is the outcome of a write of the record.
type WriteOutcome int

// The outcomes of a write.
const (
	WriteApplied    WriteOutcome = iota
	WriteNotApplied              // the store certainly did not carry it out
	WriteConflict                // another process had changed the record before
)

// BeginWrite returns the record to write and the revision that the store's record must have. Until
// FinishWrite is called, the state machine neither requests nor accepts nor gives a grant, and a
// sole owner that names a successor keeps its authority for at most one grant duration, as if it
// had been granted now.
func (m *StateMachine) BeginWrite(kind WriteKind, successor Holder, writeID string, now clock.Time) (Record, int64) {
	next := m.record
	next.WriteID = writeID
	switch kind {
	case WriteClaim:
		next.Epoch, next.Owner, next.Successor = m.record.Epoch+1, m.self, successor
	case WriteSuccessor:
		next.Successor = successor
	case WriteUnrecordedEpoch:
		next.Successor = successor
	case WriteHandover:
		next.Epoch, next.Owner, next.Successor = m.record.Epoch+1, m.record.Successor, Holder{}
	}
	m.writePending, m.pendingNamesSuccessor = true, !next.Successor.IsNone()
	if m.owner.sole && !m.owner.needsConfirmation {
		m.owner.grantedUntil = now.Add(m.timing.GrantDuration)
	}
	return next, m.revision
}

// FinishWrite processes the outcome of a write. With WriteApplied come the record and its revision.
// After WriteConflict the caller reads the record that stands instead and passes it to Observe.
func (m *StateMachine) FinishWrite(outcome WriteOutcome, record Record, revision int64, now clock.Time) {
	m.writePending = false
	switch outcome {
	case WriteApplied:
		if revision >= m.revision {
			m.owner.unrecorded = false
			m.adopt(record, revision, now)
		}
	case WriteConflict:
		// The process that wrote first may have authority, so this one has none until it has read
		// the record.
		m.role = RoleBystander
	case WriteNotApplied:
		m.restartRequests(now)
	}
}

// WritePending reports whether the outcome of a write is not known yet.
func (m *StateMachine) WritePending() bool {
	return m.writePending
}
