package jobhost

import (
	"golang.org/x/time/rate"
)

// While no owner tells how far jobs are, each caller that asks makes its host read the store, many times a second for each job that waits. All hosts
// together would use up the store's rate, and a new owner that is refused its reads can't begin: no caller learns anything from then on.

const (
	// stateShare is the part of the store's rate that all hosts together may use to look up jobs for callers.
	stateShare = 0.5
	// readsAState is how many reads the look-up of a job that has not ended takes.
	readsAState = 3
	// stateBurst is how many look-ups of a host may follow each other at once.
	stateBurst = 20
	// unknownHosts stands for the number of hosts before an owner has told it.
	unknownHosts = 300
)

// stateReads limits the look-ups of jobs in the store for callers. It is safe for concurrent use.
type stateReads struct {
	limiter        *rate.Limiter
	readsPerSecond float64 // that the store takes of all hosts
}

// newStateReads returns what limits the look-ups of a host.
func newStateReads(readsPerSecond float64) *stateReads {
	s := &stateReads{limiter: rate.NewLimiter(0, stateBurst), readsPerSecond: readsPerSecond}
	s.setHosts(unknownHosts)
	return s
}

// setHosts takes in among how many hosts the rate is shared; 0 when that is not told.
func (s *stateReads) setHosts(n int) {
	if n > 0 {
		s.limiter.SetLimit(rate.Limit(stateShare * s.readsPerSecond / readsAState / float64(n)))
	}
}

// allow says whether one more job may be looked up now.
func (s *stateReads) allow() bool {
	return s.limiter.Allow()
}
