package dispatch

import (
	"cmp"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// rateBurst is for how long a customer may save up what it does not send. Arrivals are random: of a customer that sends its weight in the
// mean, one job in eight would be beyond a burst of one second at two jobs a second.
const rateBurst = 2 * time.Second

// rate tells which jobs of a customer are beyond its weight, in jobs a second (token bucket).
type rate struct {
	tokens float64
	at     clock.Time
}

// beyond takes in a job that was accepted at a time, and says whether it is beyond a weight. A weight of 0 is no limit.
func (r *rate) beyond(weight float64, at clock.Time) bool {
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

// markBeyond takes in how many jobs a second a job's customer sends.
func (p *Pool) markBeyond(j *jobState) {
	if a := p.account(j); a != nil {
		j.beyond = a.rate.beyond(a.customer.Weight, j.accepted)
	}
}

// markLoaded does so for the jobs that were read from the store, in the order in which they were accepted.
func (p *Pool) markLoaded() {
	loaded := make([]*jobState, 0, len(p.jobs))
	for _, j := range p.jobs {
		loaded = append(loaded, j)
	}
	slices.SortFunc(loaded, func(a, b *jobState) int {
		return cmp.Or(cmp.Compare(a.accepted, b.accepted), cmp.Compare(a.job.ID, b.job.ID))
	})
	for _, j := range loaded {
		p.markBeyond(j)
	}
}
