package advice

import (
	"math"
	"time"
)

const (
	// retryCost is the time lost between a call that did not suffice and the next one.
	retryCost = 100 * time.Millisecond
	// minSufficiency is the probability to suffice below which a number of workers is not considered.
	minSufficiency = 0.01
)

// CheapestCount returns how many workers, in the order of a list, calls should ask about in addition to
// those that are known to be allowed. It is the number at which the calls are expected to cost least
// until there is enough room. rooms says for how many tasks each worker of the list has room, need is how
// many tasks need room, rate the share of workers that are allowed, and known how many others the calls
// ask about.
//
// Calls about n workers suffice if enough of the n are allowed, each with the probability rate. Otherwise
// further calls follow. CheapestCount also returns the probability that the calls suffice.
func (p Prices) CheapestCount(rooms []int, need, rate float64, known int) (best int, bestSuffices float64) {
	if need <= 0 {
		return 0, 1
	}
	maxCount := min(len(rooms), p.MaxWorkers()-known)
	best, bestTime := maxCount, math.Inf(1)
	room := 0
	for n := 1; n <= maxCount; n++ {
		room += rooms[n-1]
		if n%countStep(n) != 0 && n != maxCount {
			continue
		}
		enough := int(math.Ceil(need * float64(n) / float64(room)))
		suffices := probabilityAtLeast(enough, n, rate)
		if suffices < minSufficiency {
			continue
		}
		expected := (p.price(known+n) + (1-suffices)*retryCost.Seconds()) / suffices
		if expected < bestTime {
			best, bestSuffices, bestTime = n, suffices, expected
		}
	}
	return best, bestSuffices
}

// SufficientCount returns how many workers, in the order of a list, have room for a number of tasks, up
// to maxCount. rooms says for how many tasks each worker has room.
func SufficientCount(rooms []int, need float64, maxCount int) int {
	n := 0
	for n < min(len(rooms), maxCount) && need > 0 {
		need -= float64(rooms[n])
		n++
	}
	return n
}

// countStepDivisor spaces the numbers that CheapestCount tries by a sixteenth.
const countStepDivisor = 16

// countStep returns the distance between the numbers tried around n. The probability changes little
// between them, and each try takes time in proportion to the workers that have to be allowed.
func countStep(n int) int {
	return 1 + n/countStepDivisor
}

// probabilityAtLeast returns the probability that at least k of n independent trials succeed, each with
// the probability rate.
func probabilityAtLeast(k, n int, rate float64) float64 {
	if k > n {
		return 0
	}
	if rate >= 1 {
		return 1
	}
	term := math.Pow(1-rate, float64(n)) // probability of exactly i successes
	fewer := 0.0
	for i := range k {
		fewer += term
		term *= float64(n-i) / float64(i+1) * rate / (1 - rate)
	}
	return max(1-fewer, 0)
}
