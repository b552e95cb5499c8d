package routing

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

const (
	ejectionThreshold        = 3 // consecutive failures
	minEjection              = time.Second
	maxEjection              = 30 * time.Second
	latencySmoothing         = 8 // weight of a new latency in the moving average: 1/8
	limitDecreaseNumerator   = 7 // a failure reduces the usable slots to 7/10
	limitDecreaseDenominator = 10
)

// Outcome is the result of sending a request to an endpoint.
type Outcome int

// The outcomes of a request.
const (
	Served    Outcome = iota
	Failed            // the endpoint answered with an error
	NoAnswer          // no answer arrived; the request may still run and occupies its slot
	Refused           // the endpoint answered that it accepts no new requests
	Unreached         // no connection to the endpoint could be opened
	Unsent            // nothing was sent, for a reason other than the endpoint
)

// Endpoint is one instance of a service.
type Endpoint struct {
	ID      string
	service *service
	slots   int  // as configured
	limit   int  // slots that may be used at present; lowered by failures
	inUse   int  // requests that were sent and whose outcome is still awaited
	orphans int  // requests that may still run although their outcome is not awaited
	leaving bool // accepts no new requests
	removed bool

	latency      time.Duration // moving average
	failures     int
	ejections    int
	ejectedUntil clock.Time
}

// InUse returns how many requests were sent to the endpoint and have not been released.
func (e *Endpoint) InUse() int {
	return e.inUse
}

// isAvailable reports whether a request can be sent to the endpoint now. After an ejection, and
// until it succeeds again, an endpoint is given only one request at a time.
func (e *Endpoint) isAvailable(now clock.Time) bool {
	busy := e.inUse + e.orphans
	if e.leaving || e.removed || busy >= e.limit || now < e.ejectedUntil {
		return false
	}
	onProbation := e.ejections > 0 && e.failures > 0
	return !onProbation || busy == 0
}

// preferredOver reports whether e has a lower share of its slots in use than o or, if the
// shares are equal, a lower latency.
func (e *Endpoint) preferredOver(o *Endpoint) bool {
	mine := (e.inUse + e.orphans) * o.limit
	theirs := (o.inUse + o.orphans) * e.limit
	if mine != theirs {
		return mine < theirs
	}
	return e.latency < o.latency
}

// release updates the endpoint with the outcome of a request that was sent to it.
func (e *Endpoint) release(outcome Outcome, latency time.Duration, now clock.Time) {
	e.inUse--
	switch outcome {
	case Served:
		e.recordSuccess(latency)
	case Failed, Unreached:
		e.recordFailure(now)
	case NoAnswer:
		e.orphans++
		e.recordFailure(now)
	case Refused:
		e.leaving = true
	case Unsent:
	}
}

// recordSuccess clears the failures and restores one slot.
func (e *Endpoint) recordSuccess(latency time.Duration) {
	e.failures, e.ejections = 0, 0
	e.limit = min(e.limit+1, e.slots)
	if e.latency == 0 {
		e.latency = latency
		return
	}
	e.latency += (latency - e.latency) / latencySmoothing
}

// recordFailure reduces the usable slots and ejects the endpoint after too many consecutive
// failures, or after a single one if it has been ejected and has not succeeded since.
func (e *Endpoint) recordFailure(now clock.Time) {
	e.failures++
	e.limit = max(e.limit*limitDecreaseNumerator/limitDecreaseDenominator, 1)
	if e.failures >= ejectionThreshold || e.ejections > 0 {
		e.ejectedUntil = now.Add(min(minEjection<<min(e.ejections, 10), maxEjection))
		e.ejections++
	}
}
