package routing

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// Class orders requests; a lower number goes first.
type Class int

// The classes of requests.
const (
	Urgent Class = iota
	Normal
	Background
	nClasses
)

// Request is one request as routing sees it. The caller keeps it until it was decided.
type Request struct {
	Service  string
	Caller   string
	Class    Class
	Deadline clock.Time // the answer is of no use from then on
	// Tag belongs to the caller of this package.
	Tag any

	arrived clock.Time
	next    *Request
}

// Arrived returns when the request came in.
func (r *Request) Arrived() clock.Time {
	return r.arrived
}

// Kind says what was decided.
type Kind int

// The kinds of decision.
const (
	Send      Kind = iota // call the endpoint now
	Queued                // wait for a further decision
	QueueFull             // refused: the queue, or the caller's part of it, is full
	Expired               // refused: the deadline has come
	NoService             // refused: the shard has no such service
	NoSlots               // refused: no endpoint of the service takes work
	Stopped               // refused: the shard is given up
)

// String returns the kind's name for logs.
func (k Kind) String() string {
	return [...]string{"send", "queued", "queue_full", "expired", "no_service", "no_slots", "stopped"}[k]
}

// Decision is what was decided of a request.
type Decision struct {
	Kind     Kind
	Request  *Request
	Endpoint *Endpoint // for Send
	// RetryAfter is when to come back after a refusal; 0 says that it makes no sense.
	RetryAfter time.Duration
	// Evicted is a queued request that is refused as QueueFull to make room for this one.
	Evicted *Request
}
