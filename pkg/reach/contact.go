package reach

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

const (
	// silenceHeartbeats is for how many heartbeat intervals nothing may have come from a peer before it
	// counts as unresponsive, and minSilence the shortest such time.
	missedBeats  = 1.3
	leastSilence = 900 * time.Millisecond
	// sameCauseWindow is how long before the store's last answer the last member of another hall may have
	// been heard for both losses to count as one event. On the slowest links heartbeats come once a
	// second.
	sameCause = 2 * time.Second
	// minLostTime is for how long no other hall must have been counted. An owner whose process was paused
	// sees all members as unresponsive until it has read what they sent meanwhile.
	lostFor = 200 * time.Millisecond
)

// SilenceTimeout returns how long after its last heartbeat a peer counts as unresponsive, for a heartbeat
// interval.
func SilenceOf(heartbeat time.Duration) time.Duration {
	return max(leastSilence, time.Duration(missedBeats*float64(heartbeat)))
}

// HallContact records when an owner heard members of other data halls.
type Contact struct {
	last  clock.Time
	heard bool
	halls int        // other halls with responsive members
	none  clock.Time // since when hallCount has been 0; 0 if it is not
}

// RecordHeard records that a member of another hall was heard at a time.
func (c *Contact) HeardAt(at clock.Time) {
	if !c.heard || at > c.last {
		c.last, c.heard = at, true
	}
}

// RecordHallCount records the number of other halls with responsive members.
func (c *Contact) Count(halls int, now clock.Time) {
	c.halls = halls
	switch {
	case halls > 0:
		c.none = 0
	case c.none == 0:
		c.none = now
	}
}

// HallCount returns the last recorded number of other halls with responsive members.
func (c *Contact) Halls() int {
	return c.halls
}

// HasLostHalls reports whether the owner hears no other hall now, but heard one until about the time when
// the store last answered it.
func (c *Contact) Lost(storeAge time.Duration, now clock.Time) bool {
	noHalls := c.halls == 0 && c.none != 0 && now.Sub(c.none) >= lostFor
	return noHalls && c.heard && now.Sub(c.last) < storeAge+sameCause
}
