package routing

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// Class is the urgency of a request. Requests of a lower class number are sent first.
type Class int

// The classes of requests.
const (
	Urgent Class = iota
	Normal
	Background
	classCount
)

// Request is one request to route. The caller must not reuse it before it has received a
// decision other than Queued for it.
type Request struct {
	Service  string
	Caller   string
	Class    Class
	Deadline clock.Time // from then on the request is not sent any more
	// Tag is for use by the caller of this package, which does not read it.
	Tag any

	arrivedAt clock.Time
	next      *Request // of the same caller in the queue
}

// ArrivedAt returns when the request was passed to Router.Route.
func (r *Request) ArrivedAt() clock.Time {
	return r.arrivedAt
}

// DecisionKind says what was decided about a request.
type DecisionKind int

// The kinds of decision.
const (
	Send      DecisionKind = iota // call the endpoint now
	Queued                        // the request waits; another decision follows
	QueueFull                     // refused: the queue, or the caller's share of it, is full
	Expired                       // refused: the deadline has passed
	NoService                     // refused: the shard has no such service
	NoSlots                       // refused: every endpoint of the service, if any, is leaving or ejected
	Stopped                       // refused: this process no longer owns the shard
)

// String returns the kind's name for logs.
func (k DecisionKind) String() string {
	return [...]string{"send", "queued", "queue_full", "expired", "no_service", "no_slots", "stopped"}[k]
}

// Decision is what was decided about a request.
type Decision struct {
	Kind     DecisionKind
	Request  *Request
	Endpoint *Endpoint // set if Kind is Send
	// RetryAfter is how long a refused caller should wait before it retries; 0 means that a
	// retry is of no use.
	RetryAfter time.Duration
	// Evicted is a waiting request that was removed from the queue in favour of this one. Its
	// caller is refused with QueueFull.
	Evicted *Request
}
