package advice

import (
	"math"
	"time"

	"foldarch.dev/foldarch/pkg/queue"
)

const (
	// MaxWorkersPerCall is how many workers a call names at most.
	MaxWorkersPerCall = 100
	// callOverhead is what a call costs beside the time of the process that makes it, in that time: its messages at the owner
	// and its price at the platform.
	callOverhead = 50 * time.Millisecond
)

// Prices say what calls cost that go out together for a step, in seconds that steps wait.
// The step waits for the longest of its calls. A process can make one call at a time, so that a second
// of one process has the other steps wait for its share in the processes that are free: with many of them
// a step's calls are split into small parts, with few it makes one.
type Prices struct {
	Cost queue.AdviceCost
	// Free counts the processes that can make a call at once; at least 1.
	FreeAdvisers int
	// MaxCalls is how many calls may go out now.
	MaxCalls int
}

// MaxWorkers is how many workers the calls can name.
func (p Prices) MaxWorkers() int {
	return MaxWorkersPerCall * max(p.MaxCalls, 1)
}

// optimalCalls is the number of calls in which n workers are best named: more parts are answered sooner, and each
// takes the fixed time of a call. The price's derivative by the number of parts is zero there.
func (p Prices) optimalCalls(n int) int {
	least := (n + MaxWorkersPerCall - 1) / MaxWorkersPerCall
	fixed := (p.Cost.Base + callOverhead).Seconds() / float64(p.FreeAdvisers)
	best := math.Sqrt(float64(n) * p.Cost.PerWorker.Seconds() / fixed)
	return max(min(int(best), p.MaxCalls), least, 1)
}

// WorkersPerCall is how many workers a call names when n are named in all.
func (p Prices) WorkersPerCall(n int) int {
	parts := p.optimalCalls(n)
	return max((n+parts-1)/parts, 1)
}

// CallTime is how long the calls take that name n workers.
func (p Prices) CallTime(n int) time.Duration {
	return p.Cost.Of(p.WorkersPerCall(n))
}

// price is what calls cost that name n workers, in seconds.
func (p Prices) price(n int) float64 {
	parts := float64(p.optimalCalls(n))
	busy := parts*(p.Cost.Base+callOverhead).Seconds() + float64(n)*p.Cost.PerWorker.Seconds()
	return p.CallTime(n).Seconds() + busy/float64(p.FreeAdvisers)
}
