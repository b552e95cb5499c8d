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
	// lostFor is for how long no other hall must have been counted. An owner whose process paused finds all members silent until it has read what they sent meanwhile.
	lostFor = 200 * time.Millisecond
)

// SilenceOf is from when on a side counts as silent whose heartbeats should come each so often.
func SilenceOf(heartbeat time.Duration) time.Duration {
	return max(leastSilence, time.Duration(missedBeats*float64(heartbeat)))
}

// Contact is when an owner heard members of other data halls.
type Contact struct {
	last  clock.Time
	heard bool
	halls int        // that are heard now
	none  clock.Time // since when none is counted; 0 while one is
}

// HeardAt takes in that a member of another hall was heard at a time.
func (c *Contact) HeardAt(at clock.Time) {
	if !c.heard || at > c.last {
		c.last, c.heard = at, true
	}
}

// Count takes in of how many other halls members are heard now.
func (c *Contact) Count(halls int, now clock.Time) {
	c.halls = halls
	switch {
	case halls > 0:
		c.none = 0
	case c.none == 0:
		c.none = now
	}
}

// Halls is of how many other halls members were heard when they were counted last.
func (c *Contact) Halls() int {
	return c.halls
}

// Lost says that the owner hears no other hall now, and that it did until about when the store answered it last.
func (c *Contact) Lost(storeAge time.Duration, now clock.Time) bool {
	gone := c.halls == 0 && c.none != 0 && now.Sub(c.none) >= lostFor
	return gone && c.heard && now.Sub(c.last) < storeAge+sameCause
}
