package pace

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

const (
	// Full is the pace of a filler that nothing slows down, in percent.
	Full = 100
	// initialPace, in percent, is the pace of a filler that has just started beside a task that serves:
	// its disturbance is not known yet.
	initialPace = 30
	// slowDownFactor times the present pace is the next lower one. Four reports of a high tail bring a filler
	// from full pace to a standstill nearly, within the 4 s in which the platform counts no harm.
	slowDownFactor = 0.4
	// speedUpStep, in percentage points, takes seven seconds from a standstill to full pace.
	speedUpStep = 15
	// highTailShare and lowTailShare are shares of a target. Tails are rough figures over half a second, off by a
	// fifth or so, so that fillers are slowed down a fifth before the target.
	highTailShare = 0.8
	lowTailShare  = 0.55
	// lowTailTime is how long all tails must have been low before fillers go faster.
	lowTailTime = time.Second
)

// Control is what is known of the disturbance on a worker. Its zero value knows of none.
type Control struct {
	lowTailSince clock.Time // 0 while a tail is not low
}

// Decide takes in the highest tail on the worker, as a share of its target, and says how the fillers there change their paces.
func (c *Control) Decide(highest float64, now clock.Time) Change {
	switch {
	case highest > highTailShare:
		c.lowTailSince = 0
		return SlowDown
	case highest > lowTailShare:
		c.lowTailSince = 0
		return CapAtInitial
	case c.lowTailSince == 0:
		c.lowTailSince = now
	case now.Sub(c.lowTailSince) >= lowTailTime:
		c.lowTailSince = now
		return SpeedUp
	}
	return Keep
}
