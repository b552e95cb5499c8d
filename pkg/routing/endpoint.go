package routing

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

const (
	ejectAfter     = 3 // failures in a row
	ejectFirst     = time.Second
	ejectMost      = 30 * time.Second
	latencyWeight  = 8 // a new latency counts for one part in so many
	shrinkNumerat  = 7 // a failure leaves 7/10 of the slots
	shrinkDenomina = 10
)

// Outcome says how an endpoint served a request.
type Outcome int

// The outcomes.
const (
	Served    Outcome = iota
	Failed            // the endpoint answered with an error
	Lost              // no answer came; the request may still run and keeps its slot
	Refused           // the endpoint said that it takes no new work
	Unreached         // the endpoint could not be reached
	Unsent            // nothing was sent, through no fault of the endpoint
)

// Endpoint is one instance of a service.
type Endpoint struct {
	ID      string
	service *service
	slots   int // what the endpoint has
	limit   int // what is used of them at present
	inUse   int // requests sent from here
	foreign int // requests that may still run there without our waiting for them
	leaving bool
	removed bool

	latency      time.Duration
	failures     int
	ejections    int
	ejectedUntil clock.Time
}

// InUse returns how many requests were sent to the endpoint and are not over.
func (e *Endpoint) InUse() int {
	return e.inUse
}

// takes says whether the endpoint can be given a request now.
func (e *Endpoint) takes(now clock.Time) bool {
	busy := e.inUse + e.foreign
	if e.leaving || e.removed || busy >= e.limit || now < e.ejectedUntil {
		return false
	}
	trying := e.ejections > 0 && e.failures > 0
	return !trying || busy == 0
}

// better says whether e is a better choice than o.
func (e *Endpoint) better(o *Endpoint) bool {
	mine := (e.inUse + e.foreign) * o.limit
	theirs := (o.inUse + o.foreign) * e.limit
	if mine != theirs {
		return mine < theirs
	}
	return e.latency < o.latency
}

func (e *Endpoint) release(outcome Outcome, latency time.Duration, now clock.Time) {
	e.inUse--
	switch outcome {
	case Served:
		e.served(latency)
	case Failed, Unreached:
		e.faulted(now)
	case Lost:
		e.foreign++
		e.faulted(now)
	case Refused:
		e.leaving = true
	case Unsent:
	}
}

func (e *Endpoint) served(latency time.Duration) {
	e.failures, e.ejections = 0, 0
	e.limit = min(e.limit+1, e.slots)
	if e.latency == 0 {
		e.latency = latency
		return
	}
	e.latency += (latency - e.latency) / latencyWeight
}

func (e *Endpoint) faulted(now clock.Time) {
	e.failures++
	e.limit = max(e.limit*shrinkNumerat/shrinkDenomina, 1)
	if e.failures >= ejectAfter || e.ejections > 0 {
		e.ejectedUntil = now.Add(min(ejectFirst<<min(e.ejections, 10), ejectMost))
		e.ejections++
	}
}
