package advice

import (
	"math"
	"time"

	"foldarch.dev/foldarch/pkg/queue"
)

const (
	// MaxWorkersPerCall is how many workers a call may ask about.
	MaxWorkersPerCall = 100
	// callOverhead is what a call costs in addition to the time of the process that makes it, expressed
	// as such a time: its messages at the owner and its price on the platform.
	callOverhead = 50 * time.Millisecond
)

// Prices compute what a step's calls cost that are sent at the same time, in seconds that steps wait. The
// step itself waits for the longest of its calls. Since a process can make one call at a time, each second
// of a process also delays other steps, the more the fewer processes are idle. So a step's calls are split
// into many small ones when many processes are idle, and made as one when few are.
type Prices struct {
	Cost queue.AdviceCost
	// IdleAdvisers is the number of processes that can make a call at once; at least 1.
	IdleAdvisers int
	// MaxCalls is how many calls may be sent now.
	MaxCalls int
}

// MaxWorkers returns how many workers the calls can ask about.
func (p Prices) MaxWorkers() int {
	return MaxWorkersPerCall * max(p.MaxCalls, 1)
}

// optimalCalls returns the number of calls that asks about n workers at the lowest price. More calls are
// answered sooner, but each takes the fixed time of a call. At the returned number, the price's
// derivative by the number of calls is zero.
func (p Prices) optimalCalls(n int) int {
	minCalls := (n + MaxWorkersPerCall - 1) / MaxWorkersPerCall
	fixed := (p.Cost.Base + callOverhead).Seconds() / float64(p.IdleAdvisers)
	best := math.Sqrt(float64(n) * p.Cost.PerWorker.Seconds() / fixed)
	return max(min(int(best), p.MaxCalls), minCalls, 1)
}

// WorkersPerCall returns how many workers each call asks about when all calls together ask about n.
func (p Prices) WorkersPerCall(n int) int {
	calls := p.optimalCalls(n)
	return max((n+calls-1)/calls, 1)
}

// CallTime returns how long the calls take that ask about n workers.
func (p Prices) CallTime(n int) time.Duration {
	return p.Cost.CallTime(p.WorkersPerCall(n))
}

// price returns the cost, in seconds, of the calls that ask about n workers.
func (p Prices) price(n int) float64 {
	calls := float64(p.optimalCalls(n))
	busy := calls*(p.Cost.Base+callOverhead).Seconds() + float64(n)*p.Cost.PerWorker.Seconds()
	return p.CallTime(n).Seconds() + busy/float64(p.IdleAdvisers)
}
