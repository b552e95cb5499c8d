package advice

import (
	"math"
	"time"

	"foldarch.dev/foldarch/pkg/queue"
)

// roundsWeight is the weight of a new step in a queue's ratio.
const roundsWeight = 0.1

// RoundTime returns how long one round of calls takes, which asks about as many workers as a number of
// tasks needs at a rate with one task on each, but about no more than there are.
func RoundTime(cost queue.AdviceCost, tasks int, rate float64, workers int) time.Duration {
	targets := max(int(math.Ceil(float64(tasks)/rate)), 1)
	targets = min(targets, max(workers, 1))
	calls := (targets + MaxWorkersPerCall - 1) / MaxWorkersPerCall
	return time.Duration(calls)*cost.Base + time.Duration(targets)*cost.PerWorker
}

// Rounds are the ratios of the time that all calls for a step take to RoundTime, by queue. They are made
// as Rounds{}.
type Rounds map[string]float64

// Of returns how many rounds the calls for a step of a queue take; 1 before the first step has finished.
func (r Rounds) Of(queueName string) float64 {
	if rounds, known := r[queueName]; known {
		return rounds
	}
	return 1
}

// Update updates a queue's ratio by a finished step, from how long the calls for it took and how long one
// round takes.
func (r Rounds) Update(queueName string, took, roundTime time.Duration) {
	ratio := float64(took) / float64(max(roundTime, time.Millisecond))
	r[queueName] = r.Of(queueName)*(1-roundsWeight) + ratio*roundsWeight
}
