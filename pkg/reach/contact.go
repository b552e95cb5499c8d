package reach

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

const (
	// silenceHeartbeats is for how many heartbeat intervals nothing may have come from a peer before it
	// counts as unresponsive, and minSilence the shortest such time.
	silenceHeartbeats = 1.3
	minSilence        = 900 * time.Millisecond
	// sameCauseWindow is how long before the store's last answer the last member of another hall may have
	// been heard for both losses to count as one event. On the slowest links heartbeats come once a
	// second.
	sameCauseWindow = 2 * time.Second
	// minLostTime is for how long no other hall must have been counted. An owner whose process was paused
	// sees all members as unresponsive until it has read what they sent meanwhile.
	minLostTime = 200 * time.Millisecond
)

// SilenceTimeout returns how long after its last heartbeat a peer counts as unresponsive, for a heartbeat
// interval.
func SilenceTimeout(heartbeat time.Duration) time.Duration {
	return max(minSilence, time.Duration(silenceHeartbeats*float64(heartbeat)))
}

// HallContact records when an owner heard members of other data halls.
type HallContact struct {
	lastHeardAt clock.Time
	everHeard   bool
	hallCount   int        // other halls with responsive members
	noneSince   clock.Time // since when hallCount has been 0; 0 if it is not
}

// RecordHeard records that a member of another hall was heard at a time.
func (c *HallContact) RecordHeard(at clock.Time) {
	if !c.everHeard || at > c.lastHeardAt {
		c.lastHeardAt, c.everHeard = at, true
	}
}

// RecordHallCount records the number of other halls with responsive members.
func (c *HallContact) RecordHallCount(halls int, now clock.Time) {
	c.hallCount = halls
	switch {
	case halls > 0:
		c.noneSince = 0
	case c.noneSince == 0:
		c.noneSince = now
	}
}

// HallCount returns the last recorded number of other halls with responsive members.
func (c *HallContact) HallCount() int {
	return c.hallCount
}

// HasLostHalls reports whether the owner hears no other hall now, but heard one until about the time when
// the store last answered it.
func (c *HallContact) HasLostHalls(storeAge time.Duration, now clock.Time) bool {
	noHalls := c.hallCount == 0 && c.noneSince != 0 && now.Sub(c.noneSince) >= minLostTime
	return noHalls && c.everHeard && now.Sub(c.lastHeardAt) < storeAge+sameCauseWindow
}
