package advice

import (
	"math"
	"time"
)

const (
	// retryCost is the time that is lost between a call which did not suffice and the next.
	retryCost = 100 * time.Millisecond
	// minSufficiency is the probability below which a call is not expected to suffice.
	minSufficiency = 0.01
)

// CheapestCount is how many workers, in the order of a list, calls should name beside those that are known to be allowed: the number for which
// calls cost least until the room suffices. rooms has for each worker how many tasks it has room for, need is how many tasks need room,
// rate the share of workers that are allowed, and known how many are named besides. Calls that name n workers
// suffice with the probability that enough of the n are allowed, each with the probability rate.
// Otherwise others follow. The result tells the probability too.
func (p Prices) CheapestCount(rooms []int, need, rate float64, known int) (best int, bestSuffices float64) {
	if need <= 0 {
		return 0, 1
	}
	most := min(len(rooms), p.MaxWorkers()-known)
	best, bestTime := most, math.Inf(1)
	room := 0
	for n := 1; n <= most; n++ {
		room += rooms[n-1]
		if n%countStep(n) != 0 && n != most {
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

// SufficientCount is how many workers, in the order of a list, have room for a number of tasks; at most most. rooms has for each worker how many
// tasks it has room for.
func SufficientCount(rooms []int, need float64, most int) int {
	n := 0
	for n < min(len(rooms), most) && need > 0 {
		need -= float64(rooms[n])
		n++
	}
	return n
}

// countStepDivisor makes the numbers that are tried lie apart by a sixteenth.
const countStepDivisor = 16

// countStep is the distance of the numbers that are tried about a number: the probability changes little between
// them, and each try takes as long as there are members.
func countStep(n int) int {
	return 1 + n/countStepDivisor
}

// probabilityAtLeast is the probability that at least k of n independent trials succeed, each with the
// probability rate.
func probabilityAtLeast(k, n int, rate float64) float64 {
	if k > n {
		return 0
	}
	if rate >= 1 {
		return 1
	}
	term := math.Pow(1-rate, float64(n)) // exactly i successes
	fewer := 0.0
	for i := range k {
		fewer += term
		term *= float64(n-i) / float64(i+1) * rate / (1 - rate)
	}
	return max(1-fewer, 0)
}
