package ownership

import (
	"foldarch.dev/foldarch/pkg/clock"
)

// Write says what a write to the record is for.
type Write int

// The writes.
const (
	WriteClaim     Write = iota // take the shard at the next epoch
	WriteSuccessor              // name another successor, or none
	WriteHandover               // give the shard to the successor
	WriteRecord                 // record an epoch taken without the store
)

// Settled says what became of a write.
type Settled int

// The outcomes of a write.
const (
	TookEffect Settled = iota
	NoEffect           // it certainly was not carried out
	Overtaken          // the record had been changed by somebody else
)

// BeginWrite returns the record to write and the revision that must stand. Until Settle
// is called nothing is granted, asked or taken, and a sole owner keeps its authority for
// one term at the most, as if it had been granted at this moment.
func (m *Machine) BeginWrite(kind Write, successor Holder, writeID string, now clock.Time) (Record, int64) {
	next := m.record
	next.WriteID = writeID
	switch kind {
	case WriteClaim:
		next.Epoch, next.Owner, next.Successor = m.record.Epoch+1, m.self, successor
	case WriteSuccessor:
		next.Successor = successor
	case WriteRecord:
		next.Successor = successor
	case WriteHandover:
		next.Epoch, next.Owner, next.Successor = m.record.Epoch+1, m.record.Successor, Holder{}
	}
	m.pending, m.pendingNames = true, !next.Successor.IsNone()
	if m.owner.sole && !m.owner.doubtful {
		m.owner.grantedUntil = now.Add(m.terms.Grant)
	}
	return next, m.revision
}

// Settle takes in what became of a write. A record that took effect comes with its
// revision; of one that did not, the caller reads and observes what stands instead.
func (m *Machine) Settle(outcome Settled, record Record, revision int64, now clock.Time) {
	m.pending = false
	switch outcome {
	case TookEffect:
		if revision >= m.revision {
			m.owner.unrecorded = false
			m.adopt(record, revision, now)
		}
	case Overtaken:
		// Whoever came first may have authority: this process has none until it has read
		// the record.
		m.role = Bystander
	case NoEffect:
		m.askAnew(now)
	}
}

// Pending says that a write is not settled.
func (m *Machine) Pending() bool {
	return m.pending
}
