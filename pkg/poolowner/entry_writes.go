package poolowner

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// maxMissedHeartbeats limits the age of an entry at its removal, in heartbeats. The entry of a worker
// that stops without removing it expires after three heartbeats; a younger one was removed because the
// worker left.
const freshBeats = 2.5

// entryWrites tracks when each worker's entry was last written, at the earliest. It relies only on an
// unbroken series of successful watches.
type beats struct {
	heartbeat time.Duration
	previous  clock.Time            // when the watch before the last one answered; 0 when the series is broken
	last      clock.Time            // when the last watch answered
	writtenBy map[string]clock.Time // by worker name: the last write was later than this
}

func newBeats(heartbeat time.Duration) beats {
	return beats{heartbeat: heartbeat, writtenBy: map[string]clock.Time{}}
}

// watchAnswered records that a watch has answered.
func (w *beats) answered(now clock.Time) {
	w.previous, w.last = w.last, now
}

// watchFailed records that a watch has failed. The store may have been down, so known times no longer
// count.
func (w *beats) interrupted() {
	w.previous, w.last = 0, 0
	clear(w.writtenBy)
}

// recordWrite records that the last watch showed a write of a worker's entry. The write was later than
// the answer of the watch before.
func (w *beats) seen(name string) {
	if w.previous != 0 {
		w.writtenBy[name] = w.previous
	}
}

// takeRecentlyWritten returns whether a worker's entry, which the last watch showed as removed, was
// written too recently to have expired. It forgets the entry.
func (w *beats) fresh(name string, now clock.Time) bool {
	after, ok := w.writtenBy[name]
	delete(w.writtenBy, name)
	return ok && now.Sub(after) < time.Duration(freshBeats*float64(w.heartbeat))
}
