package routing

import (
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// defaultRetryAfter is the retry delay for callers of a service that has not answered yet, so
// that its latency is unknown, or that has no usable slots.
const defaultRetryAfter = 200 * time.Millisecond

// Service holds the limits of a service.
type Service struct {
	QueueLimit int
}

// Router assigns requests to the endpoints of one shard.
type Router struct {
	services  map[string]*service
	endpoints map[string]*Endpoint
}

type service struct {
	Service
	endpoints []*Endpoint // sorted by id
	queues    [classCount]*queue
	latency   time.Duration // moving average over all endpoints
}

// New returns a router without services.
func New() *Router {
	return &Router{services: map[string]*service{}, endpoints: map[string]*Endpoint{}}
}

// PutService adds a service or changes its limits.
func (r *Router) PutService(name string, s Service) {
	if known, ok := r.services[name]; ok {
		known.Service = s
		return
	}
	added := &service{Service: s}
	for i := range added.queues {
		added.queues[i] = newQueue()
	}
	r.services[name] = added
}

// RemoveService removes a service and its endpoints, and returns the requests that were
// waiting for it.
func (r *Router) RemoveService(name string) []*Request {
	s, ok := r.services[name]
	if !ok {
		return nil
	}
	delete(r.services, name)
	for _, e := range s.endpoints {
		e.removed = true
		delete(r.endpoints, e.ID)
	}
	return s.removeQueuedIf(func(*Request) bool { return true })
}

// PutEndpoint adds an endpoint or changes the number of its slots. An inherited endpoint may
// still run requests that a previous owner of the shard sent, so all its slots count as in use
// until UpdateOrphans says otherwise.
func (r *Router) PutEndpoint(serviceName, id string, slots int, inherited bool) {
	s, ok := r.services[serviceName]
	if !ok {
		return
	}
	if e, ok := r.endpoints[id]; ok {
		e.slots = slots
		e.limit = min(e.limit, slots)
		return
	}
	e := &Endpoint{ID: id, service: s, slots: slots, limit: slots}
	if inherited {
		e.orphans = slots
	}
	r.endpoints[id] = e
	s.endpoints = append(s.endpoints, e)
	slices.SortFunc(s.endpoints, func(a, b *Endpoint) int { return compareIDs(a.ID, b.ID) })
}

// compareIDs orders ids by length first, so that numbered ids are in numerical order.
func compareIDs(a, b string) int {
	if len(a) != len(b) {
		return len(a) - len(b)
	}
	if a < b {
		return -1
	}
	return 1
}

// RemoveEndpoint removes an endpoint. Requests that were sent to it must still be released.
func (r *Router) RemoveEndpoint(id string) {
	e, ok := r.endpoints[id]
	if !ok {
		return
	}
	e.removed = true
	delete(r.endpoints, id)
	s := e.service
	s.endpoints = slices.DeleteFunc(s.endpoints, func(x *Endpoint) bool { return x == e })
}

// MarkLeaving excludes an endpoint from new requests because it is about to stop.
func (r *Router) MarkLeaving(id string) {
	if e, ok := r.endpoints[id]; ok {
		e.leaving = true
	}
}

// UpdateOrphans sets an upper bound on the orphaned requests of an endpoint, which are those
// that a previous owner sent and those that got no answer, and returns the decisions on
// waiting requests that can be sent now. It never raises the number of orphaned requests,
// because the number of running requests that an endpoint reports includes those whose
// outcome is still awaited.
func (r *Router) UpdateOrphans(id string, maxOrphans int, now clock.Time) []Decision {
	e, ok := r.endpoints[id]
	if !ok {
		return nil
	}
	e.orphans = min(e.orphans, max(maxOrphans, 0))
	return r.dispatch(e.service, now)
}

// EndpointsWithOrphans lists the endpoints that may run requests whose outcome is not awaited:
// those that a previous owner sent, and those that got no answer.
func (r *Router) EndpointsWithOrphans() []string {
	var ids []string
	for id, e := range r.endpoints {
		if e.orphans > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Route decides whether a new request is sent, queued or refused.
func (r *Router) Route(request *Request, now clock.Time) Decision {
	s, ok := r.services[request.Service]
	request.arrivedAt = now
	switch {
	case !ok:
		return Decision{Kind: NoService, Request: request}
	case now >= request.Deadline:
		return Decision{Kind: Expired, Request: request}
	case !s.hasActiveEndpoint(now):
		return Decision{Kind: NoSlots, Request: request, RetryAfter: s.retryAfter()}
	}
	if s.queuedCount() == 0 {
		if e := s.chooseEndpoint(now); e != nil {
			e.inUse++
			return Decision{Kind: Send, Request: request, Endpoint: e}
		}
	}
	return s.enqueue(request)
}

// Release records the outcome of a request that was sent to an endpoint. It returns the
// waiting requests that can be sent now and those that turned out to have expired.
func (r *Router) Release(e *Endpoint, outcome Outcome, latency time.Duration, now clock.Time) []Decision {
	e.release(outcome, latency, now)
	if outcome == Served {
		e.service.recordLatency(latency)
	}
	return r.dispatch(e.service, now)
}

// Expire removes and returns the waiting requests whose deadline has passed.
func (r *Router) Expire(now clock.Time) []Decision {
	var out []Decision
	for _, s := range r.services {
		for _, request := range s.removeQueuedIf(func(request *Request) bool { return now >= request.Deadline }) {
			out = append(out, Decision{Kind: Expired, Request: request})
		}
	}
	return out
}

// RemoveQueued removes and returns all waiting requests.
func (r *Router) RemoveQueued() []*Request {
	var all []*Request
	for _, s := range r.services {
		all = append(all, s.removeQueuedIf(func(*Request) bool { return true })...)
	}
	return all
}

// DispatchAll returns the waiting requests of all services that can be sent now. It is to be
// called after endpoints were added, and regularly for those whose ejection has ended.
func (r *Router) DispatchAll(now clock.Time) []Decision {
	var out []Decision
	for _, s := range r.services {
		out = append(out, r.dispatch(s, now)...)
	}
	return out
}

// dispatch returns the waiting requests of one service that can be sent now, and those that
// turned out to have expired.
func (r *Router) dispatch(s *service, now clock.Time) []Decision {
	var out []Decision
	for s.queuedCount() > 0 {
		e := s.chooseEndpoint(now)
		if e == nil {
			break
		}
		request := s.pop()
		if now >= request.Deadline {
			out = append(out, Decision{Kind: Expired, Request: request})
			continue
		}
		e.inUse++
		out = append(out, Decision{Kind: Send, Request: request, Endpoint: e})
	}
	return out
}

// Load is the capacity and use of a service in the shard.
type Load struct {
	Slots  int
	InUse  int
	Queued int // waiting requests
}

// Loads returns the load of each service.
func (r *Router) Loads() map[string]Load {
	loads := make(map[string]Load, len(r.services))
	for name, s := range r.services {
		l := Load{Queued: s.queuedCount()}
		for _, e := range s.endpoints {
			if !e.leaving {
				l.Slots += e.limit
				l.InUse += e.inUse + e.orphans
			}
		}
		loads[name] = l
	}
	return loads
}

// EndpointCount returns how many endpoints the shard has.
func (r *Router) EndpointCount() int {
	return len(r.endpoints)
}

func (s *service) queuedCount() int {
	n := 0
	for _, q := range s.queues {
		n += q.size
	}
	return n
}

// hasActiveEndpoint reports whether any endpoint is neither leaving nor ejected. Without one,
// a request is refused instead of queued.
func (s *service) hasActiveEndpoint(now clock.Time) bool {
	for _, e := range s.endpoints {
		if !e.leaving && now >= e.ejectedUntil {
			return true
		}
	}
	return false
}

// chooseEndpoint returns the preferred endpoint among those that are available, or nil.
func (s *service) chooseEndpoint(now clock.Time) *Endpoint {
	var best *Endpoint
	for _, e := range s.endpoints {
		if e.isAvailable(now) && (best == nil || e.preferredOver(best)) {
			best = e
		}
	}
	return best
}

// pop removes and returns the next request of the most urgent class that has one, or nil.
func (s *service) pop() *Request {
	for _, q := range s.queues {
		if r := q.pop(); r != nil {
			return r
		}
	}
	return nil
}

// enqueue adds a request to the queue of its class. When the service's queues are full, it
// refuses the request unless evictFor finds another one to remove.
func (s *service) enqueue(r *Request) Decision {
	q := s.queues[r.Class]
	if s.queuedCount() < s.QueueLimit {
		q.push(r)
		return Decision{Kind: Queued, Request: r}
	}
	evicted := s.evictFor(r)
	if evicted == nil {
		return Decision{Kind: QueueFull, Request: r, RetryAfter: s.retryAfter()}
	}
	q.push(r)
	return Decision{Kind: Queued, Request: r, Evicted: evicted, RetryAfter: s.retryAfter()}
}

// evictFor removes and returns a waiting request that has to give way to r, or returns nil. It
// searches the classes from the least urgent one down to that of r. In a less urgent class it
// takes the newest request of the caller with the most requests. In the class of r it does so
// only if that caller has at least two more requests than the caller of r.
func (s *service) evictFor(r *Request) *Request {
	for class := classCount - 1; class >= r.Class; class-- {
		q := s.queues[class]
		c, size := q.largestCaller()
		if c == nil {
			continue
		}
		if class > r.Class {
			return q.removeNewest(c)
		}
		ownSize := 0
		if own, ok := q.byCaller[r.Caller]; ok {
			ownSize = own.size
		}
		if size > ownSize+1 {
			return q.removeNewest(c)
		}
	}
	return nil
}

// removeNewest removes and returns the newest request of a caller.
func (q *queue) removeNewest(c *callerQueue) *Request {
	if c.size > 1 {
		return q.removeNewestOfMany(c)
	}
	r := c.head
	c.head, c.tail, c.size = nil, nil, 0
	q.size--
	q.removeFromRing(c)
	return r
}

func (s *service) removeQueuedIf(match func(*Request) bool) []*Request {
	var removed []*Request
	for _, q := range s.queues {
		removed = append(removed, q.removeIf(match)...)
	}
	return removed
}

func (s *service) recordLatency(latency time.Duration) {
	if s.latency == 0 {
		s.latency = latency
		return
	}
	s.latency += (latency - s.latency) / latencySmoothing
}

// retryAfter estimates how long the usable slots take to serve the waiting requests.
func (s *service) retryAfter() time.Duration {
	slots := 0
	for _, e := range s.endpoints {
		if !e.leaving {
			slots += e.limit
		}
	}
	if slots == 0 || s.latency == 0 {
		return defaultRetryAfter
	}
	return max(s.latency*time.Duration(s.queuedCount()+1)/time.Duration(slots), time.Millisecond)
}
