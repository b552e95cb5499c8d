package poolowner

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// freshBeats is how many heartbeats an entry that went may have missed at most for it to
// have gone because its worker left: it goes of itself after three.
const freshBeats = 2.5

// beats tells for each worker how long ago its entry was written at most. It trusts an
// unbroken series of watches only.
type beats struct {
	heartbeat time.Duration
	previous  clock.Time            // when the watch before the last answered; 0 when the series broke
	last      clock.Time            // when the last watch answered
	writtenBy map[string]clock.Time // by the worker's name
}

func newBeats(heartbeat time.Duration) beats {
	return beats{heartbeat: heartbeat, writtenBy: map[string]clock.Time{}}
}

// answered takes in that a watch has answered.
func (b *beats) answered(now clock.Time) {
	b.previous, b.last = b.last, now
}

// interrupted takes in that a watch failed: the store may have been down.
func (b *beats) interrupted() {
	b.previous, b.last = 0, 0
	clear(b.writtenBy)
}

// seen takes in that the last watch showed a write of a worker's entry. It was written
// after the watch before.
func (b *beats) seen(name string) {
	if b.previous != 0 {
		b.writtenBy[name] = b.previous
	}
}

// fresh says that the entry of a worker, gone by the last watch, was written so lately that
// it has not gone for want of heartbeats.
func (b *beats) fresh(name string, now clock.Time) bool {
	after, ok := b.writtenBy[name]
	delete(b.writtenBy, name)
	return ok && now.Sub(after) < time.Duration(freshBeats*float64(b.heartbeat))
}
