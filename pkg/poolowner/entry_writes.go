package poolowner

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// maxMissedHeartbeats limits the age of an entry at its removal, in heartbeats. The entry of a worker
// that stops without removing it expires after three heartbeats; a younger one was removed because the
// worker left.
const maxMissedHeartbeats = 2.5

// entryWrites tracks when each worker's entry was last written, at the earliest. It relies only on an
// unbroken series of successful watches.
type entryWrites struct {
	heartbeat     time.Duration
	previousWatch clock.Time            // when the watch before the last one answered; 0 if the series is broken
	lastWatch     clock.Time            // when the last watch answered
	writtenAfter  map[string]clock.Time // by worker name: the last write was later than this
}

func newEntryWrites(heartbeat time.Duration) entryWrites {
	return entryWrites{heartbeat: heartbeat, writtenAfter: map[string]clock.Time{}}
}

// watchAnswered records that a watch has answered.
func (w *entryWrites) watchAnswered(now clock.Time) {
	w.previousWatch, w.lastWatch = w.lastWatch, now
}

// watchFailed records that a watch has failed. The store may have been down, so known times no longer
// count.
func (w *entryWrites) watchFailed() {
	w.previousWatch, w.lastWatch = 0, 0
	clear(w.writtenAfter)
}

// recordWrite records that the last watch showed a write of a worker's entry. The write was later than
// the answer of the watch before.
func (w *entryWrites) recordWrite(name string) {
	if w.previousWatch != 0 {
		w.writtenAfter[name] = w.previousWatch
	}
}

// takeRecentlyWritten reports whether a worker's entry, which the last watch showed as removed, was
// written too recently to have expired. It forgets the entry.
func (w *entryWrites) takeRecentlyWritten(name string, now clock.Time) bool {
	after, ok := w.writtenAfter[name]
	delete(w.writtenAfter, name)
	return ok && now.Sub(after) < time.Duration(maxMissedHeartbeats*float64(w.heartbeat))
}
