package reach

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

const (
	// missedBeats is for how many of its heartbeats a side must not have been heard for it to count as silent, and leastSilence for how
	// long at least.
	missedBeats  = 1.3
	leastSilence = 900 * time.Millisecond
	// sameCause is how long before the store's last answer the last member of another hall may have been heard for one cause to have taken both. Heartbeats
	// come once a second on the slowest links.
	sameCause = 2 * time.Second
)

// SilenceOf is from when on a side counts as silent whose heartbeats should come each so often.
func SilenceOf(heartbeat time.Duration) time.Duration {
	return max(leastSilence, time.Duration(missedBeats*float64(heartbeat)))
}

// Contact is when an owner heard members of other data halls.
type Contact struct {
	last  clock.Time
	heard bool
}

// HeardAt takes in that a member of another hall was heard at a time.
func (c *Contact) HeardAt(at clock.Time) {
	if !c.heard || at > c.last {
		c.last, c.heard = at, true
	}
}

// Lost says that the owner hears no other hall now, and that it did until about when the store answered it last.
func (c *Contact) Lost(halls int, storeAge time.Duration, now clock.Time) bool {
	return halls == 0 && c.heard && now.Sub(c.last) < storeAge+sameCause
}
