package dispatch

import (
	"math"
	"time"

	"foldarch.dev/foldarch/pkg/queue"
)

// callOverhead is what a call for advice costs beside the time of the process that makes it, in that time: its
// messages at the owner and its price at the platform.
const callOverhead = 50 * time.Millisecond

// callPrices say what calls for advice cost that go out together for a step, in seconds that steps wait.
// The step waits for the longest of its calls. A process can make one call at a time, so that a second
// of one process has the other steps wait for its share in the processes that are free: with many of them
// a step's calls are split into small parts, with few it makes one.
type callPrices struct {
	cost queue.AdviceCost
	free int // processes
	most int // calls that may go out now
}

// callPrices returns the prices for a queue at present, when no more than so many long calls are to be on
// their way.
func (p *Pool) callPrices(cost *queue.AdviceCost, longAtOnce int) callPrices {
	most := p.advice.free
	if cost.Of(1) >= longAsk {
		most = min(most, longAtOnce-p.advice.long)
	}
	if p.without(AdviceInParts) {
		most = min(most, 1)
	}
	return callPrices{cost: *cost, free: max(p.advice.free, 1), most: most}
}

// mostNamed is how many workers the calls can name.
func (c callPrices) mostNamed() int {
	return maxNamed * max(c.most, 1)
}

// parts is the number of calls in which n workers are best named: more parts are answered sooner, and each
// takes the fixed time of a call. The price's derivative by the number of parts is zero there.
func (c callPrices) parts(n int) int {
	least := (n + maxNamed - 1) / maxNamed
	fixed := (c.cost.Base + callOverhead).Seconds() / float64(c.free)
	best := math.Sqrt(float64(n) * c.cost.PerWorker.Seconds() / fixed)
	return max(min(int(best), c.most), least, 1)
}

// size is how many workers a call names when n are named in all.
func (c callPrices) size(n int) int {
	parts := c.parts(n)
	return max((n+parts-1)/parts, 1)
}

// wait is how long the calls take that name n workers.
func (c callPrices) wait(n int) time.Duration {
	return c.cost.Of(c.size(n))
}

// price is what calls cost that name n workers, in seconds.
func (c callPrices) price(n int) float64 {
	parts := float64(c.parts(n))
	busy := parts*(c.cost.Base+callOverhead).Seconds() + float64(n)*c.cost.PerWorker.Seconds()
	return c.wait(n).Seconds() + busy/float64(c.free)
}
