package pace

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

const (
	// Full is the pace of a filler that nothing slows down, in percent.
	Full = 100
	// start, in percent, is the pace of a filler that has just started beside a task that serves:
	// its disturbance is not known yet.
	start = 30
	// downTo times the present pace is the next lower one. Four reports of a high tail bring a filler
	// from full pace to a standstill nearly, within the 4 s in which the platform counts no harm.
	downTo = 0.4
	// upBy, in percentage points, takes seven seconds from a standstill to full pace.
	upBy = 15
	// tailHigh and tailLow are shares of a target. Tails are rough figures over half a second, off by a
	// fifth or so, so that fillers are slowed down a fifth before the target.
	tailHigh = 0.8
	tailLow  = 0.55
	// calmFor is how long all tails must have been low before fillers go faster.
	calmFor = time.Second
)

// Control is what is known of the disturbance on a worker. Its zero value knows of none.
type Control struct {
	calmSince clock.Time // 0 while a tail is not low
}

// Decide takes in the highest tail on the worker, as a share of its target, and says how the fillers there change their paces.
func (c *Control) Decide(highest float64, now clock.Time) Change {
	switch {
	case highest > tailHigh:
		c.calmSince = 0
		return Down
	case highest > tailLow:
		c.calmSince = 0
		return NoFaster
	case c.calmSince == 0:
		c.calmSince = now
	case now.Sub(c.calmSince) >= calmFor:
		c.calmSince = now
		return Up
	}
	return Keep
}
