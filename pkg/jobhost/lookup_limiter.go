package jobhost

import (
	"golang.org/x/time/rate"
)

const (
	// lookupReadShare is the share of the store's read rate that all hosts together may use for looking
	// up jobs for callers.
	lookupReadShare = 0.5
	// readsPerLookup is how many reads the lookup of a job that has not ended needs.
	readsPerLookup = 3
	// lookupBurst is how many lookups a host may make at once.
	lookupBurst = 20
	// assumedHosts is the assumed number of hosts until an owner reports it.
	assumedHosts = 300
)

// lookupLimiter limits the lookups of jobs in the store for callers. It is safe for concurrent use.
//
// The limit is needed while no owner answers queries about jobs. Each caller that polls a job then makes
// its host read the store, many times a second for every waiting job. Without a limit all hosts together
// would use up the store's read rate, and a new owner could not start, since its own reads would be
// refused.
type lookupLimiter struct {
	limiter        *rate.Limiter
	readsPerSecond float64 // limit of the store for all hosts together
}

// newLookupLimiter returns a limiter for a store with the given read rate.
func newLookupLimiter(readsPerSecond float64) *lookupLimiter {
	l := &lookupLimiter{limiter: rate.NewLimiter(0, lookupBurst), readsPerSecond: readsPerSecond}
	l.setHosts(assumedHosts)
	return l
}

// setHosts sets the number of hosts that share the rate; 0 means unknown and changes nothing.
func (l *lookupLimiter) setHosts(n int) {
	if n > 0 {
		l.limiter.SetLimit(rate.Limit(lookupReadShare * l.readsPerSecond / readsPerLookup / float64(n)))
	}
}

// allow reports whether one more job may be looked up now.
func (l *lookupLimiter) allow() bool {
	return l.limiter.Allow()
}
