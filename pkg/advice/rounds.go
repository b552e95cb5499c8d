package advice

import (
	"math"
	"time"

	"foldarch.dev/foldarch/pkg/queue"
)

// roundsWeight is the weight of a new step in what a queue's steps take of calls.
const roundsWeight = 0.1

// RoundTime is what the calls take that name just as many workers as a number of tasks needs at a rate, with one task on each; no more
// workers than there are.
func RoundTime(cost queue.AdviceCost, tasks int, rate float64, workers int) time.Duration {
	named := max(int(math.Ceil(float64(tasks)/rate)), 1)
	named = min(named, max(workers, 1))
	calls := (named + MaxWorkersPerCall - 1) / MaxWorkersPerCall
	return time.Duration(calls)*cost.Base + time.Duration(named)*cost.PerWorker
}

// Rounds are how many times one round the calls for a step have taken, by queue. They are made as Rounds{}.
type Rounds map[string]float64

// Of is how many rounds the calls for a step of a queue take, 1 before there is one.
func (r Rounds) Of(queueName string) float64 {
	if rounds, known := r[queueName]; known {
		return rounds
	}
	return 1
}

// Learn takes in how long the calls for a step took that has finished, and how long one round takes.
func (r Rounds) Learn(queueName string, took, oneRound time.Duration) {
	ratio := float64(took) / float64(max(oneRound, time.Millisecond))
	r[queueName] = r.Of(queueName)*(1-roundsWeight) + ratio*roundsWeight
}
