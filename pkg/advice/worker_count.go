package advice

import (
	"math"
	"time"
)

const (
	// callAgain is the time that is lost between a call which did not suffice and the next.
	callAgain = 100 * time.Millisecond
	// minSuffices is the probability below which a call is not expected to suffice.
	minSuffices = 0.01
)

// Cheapest is how many workers, in the order of a list, calls should name beside those that are known to be allowed: the number for which
// calls cost least until the room suffices. rooms has for each worker how many tasks it has room for, need is how many tasks need room,
// rate the share of workers that are allowed, and known how many are named besides. Calls that name n workers
// suffice with the probability that enough of the n are allowed, each with the probability rate.
// Otherwise others follow. The result tells the probability too.
func (p Prices) Cheapest(rooms []int, need, rate float64, known int) (best int, bestSuffices float64) {
	if need <= 0 {
		return 0, 1
	}
	most := min(len(rooms), p.MostNamed()-known)
	best, bestTime := most, math.Inf(1)
	room := 0
	for n := 1; n <= most; n++ {
		room += rooms[n-1]
		if n%coarse(n) != 0 && n != most {
			continue
		}
		enough := int(math.Ceil(need * float64(n) / float64(room)))
		suffices := atLeast(enough, n, rate)
		if suffices < minSuffices {
			continue
		}
		expected := (p.price(known+n) + (1-suffices)*callAgain.Seconds()) / suffices
		if expected < bestTime {
			best, bestSuffices, bestTime = n, suffices, expected
		}
	}
	return best, bestSuffices
}

// JustEnough is how many workers, in the order of a list, have room for a number of tasks; at most most. rooms has for each worker how many
// tasks it has room for.
func JustEnough(rooms []int, need float64, most int) int {
	n := 0
	for n < min(len(rooms), most) && need > 0 {
		need -= float64(rooms[n])
		n++
	}
	return n
}

// coarseParts makes the numbers that are tried lie apart by a sixteenth.
const coarseParts = 16

// coarse is the distance of the numbers that are tried about a number: the probability changes little between
// them, and each try takes as long as there are members.
func coarse(n int) int {
	return 1 + n/coarseParts
}

// atLeast is the probability that at least k of n independent trials succeed, each with the
// probability rate.
func atLeast(k, n int, rate float64) float64 {
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
