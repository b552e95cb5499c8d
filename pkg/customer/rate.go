package customer

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// rateBurst is for how long a customer may save up what it does not send. Arrivals are random: of a customer that sends its weight in the
// mean, one job in eight would be beyond a burst of one second at two jobs a second.
const rateBurst = 2 * time.Second

// Rate tells which jobs of a customer are beyond its weight, in jobs a second (token bucket).
type Rate struct {
	tokens float64
	at     clock.Time
}

// Beyond takes in a job that was accepted at a time, and says whether it is beyond a weight. A weight of 0 is no limit.
func (r *Rate) Beyond(weight float64, at clock.Time) bool {
	if weight <= 0 {
		return false
	}
	most := max(weight*rateBurst.Seconds(), 1)
	if r.at == 0 {
		r.tokens, r.at = most, at
	}
	r.tokens = min(r.tokens+weight*max(at.Sub(r.at), 0).Seconds(), most)
	r.at = max(r.at, at)
	if r.tokens < 1 {
		return true
	}
	r.tokens--
	return false
}
