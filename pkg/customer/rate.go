package customer

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// burstTime is for how long a customer's unused share accumulates. Arrivals are random: with a burst time
// of one second and a weight of two jobs a second, one job in eight of a customer that sends exactly its
// weight would be over its share.
const burstTime = 2 * time.Second

// Rate is a token bucket that determines which jobs of a customer exceed its weight, in jobs a second.
type Rate struct {
	tokens    float64
	updatedAt clock.Time
}

// RecordArrival records a job that was accepted at a time, and reports whether it exceeds the weight. A
// weight of 0 is no limit.
func (r *Rate) RecordArrival(weight float64, at clock.Time) bool {
	if weight <= 0 {
		return false
	}
	capacity := max(weight*burstTime.Seconds(), 1)
	if r.updatedAt == 0 {
		r.tokens, r.updatedAt = capacity, at
	}
	r.tokens = min(r.tokens+weight*max(at.Sub(r.updatedAt), 0).Seconds(), capacity)
	r.updatedAt = max(r.updatedAt, at)
	if r.tokens < 1 {
		return true
	}
	r.tokens--
	return false
}
