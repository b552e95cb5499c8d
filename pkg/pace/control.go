package pace

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

const (
	// Full is the pace of a filler that is not slowed down, in percent.
	Full = 100
	// initialPace, in percent, is the pace of a filler that has just started on a worker with a serving
	// task, since it is not known yet how much the filler disturbs that task.
	initialPace = 30
	// slowDownFactor times the present pace is the next lower one. Four reports of a high tail bring a
	// filler from full pace nearly to a standstill, within the 4 s in which the platform ignores
	// disturbances.
	slowDownFactor = 0.4
	// speedUpStep, in percentage points, brings a filler from a standstill to full pace in seven seconds.
	speedUpStep = 15
	// highTailShare and lowTailShare are shares of the target latency. A tail that is computed over half
	// a second is off by about a fifth, so fillers are slowed down a fifth below the target.
	highTailShare = 0.8
	lowTailShare  = 0.55
	// lowTailTime is how long all tails must have been low before fillers get faster.
	lowTailTime = time.Second
)

// Control decides the paces of the fillers on one worker. The zero value is ready to use.
type Control struct {
	lowTailSince clock.Time // 0 while a tail is not low
}

// Decide returns the change for the fillers on the worker, given the highest tail of its serving tasks as
// a share of the target.
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
