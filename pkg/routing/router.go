package routing

import (
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// firstRetry is told to refused callers of a service whose speed is not known yet.
const firstRetry = 200 * time.Millisecond

// Service is what routing needs to know of a service.
type Service struct {
	QueueLimit int
}

// Router decides for the endpoints of one shard.
type Router struct {
	services  map[string]*service
	endpoints map[string]*Endpoint
}

type service struct {
	Service
	endpoints []*Endpoint // in the order of their ids
	queues    [nClasses]*queue
	latency   time.Duration // of all endpoints, smoothed
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

// RemoveService takes a service away and returns the requests that were waiting for it.
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
	return s.drain(func(*Request) bool { return true })
}

// PutEndpoint adds an endpoint. Of an endpoint that may still run requests of a former
// owner, all slots count as taken until Foreign tells otherwise.
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
		e.foreign = slots
	}
	r.endpoints[id] = e
	s.endpoints = append(s.endpoints, e)
	slices.SortFunc(s.endpoints, func(a, b *Endpoint) int { return compareIDs(a.ID, b.ID) })
}

func compareIDs(a, b string) int {
	if len(a) != len(b) {
		return len(a) - len(b)
	}
	if a < b {
		return -1
	}
	return 1
}

// RemoveEndpoint takes an endpoint away; requests that were sent to it are released as
// usual.
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

// Leaving marks an endpoint as taking no new work.
func (r *Router) Leaving(id string) {
	if e, ok := r.endpoints[id]; ok {
		e.leaving = true
	}
}

// Foreign tells how many requests, at most, an endpoint runs for which nobody here waits:
// those of a former owner, and those whose answer was lost. It returns what can be sent
// now. The number never goes up by a report, since a report counts our own requests too.
func (r *Router) Foreign(id string, most int, now clock.Time) []Decision {
	e, ok := r.endpoints[id]
	if !ok {
		return nil
	}
	e.foreign = min(e.foreign, max(most, 0))
	return r.pull(e.service, now)
}

// HasForeign lists the endpoints that may run requests for which nobody here waits.
func (r *Router) HasForeign() []string {
	var ids []string
	for id, e := range r.endpoints {
		if e.foreign > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Arrive decides of a new request.
func (r *Router) Arrive(q *Request, now clock.Time) Decision {
	s, ok := r.services[q.Service]
	q.arrived = now
	switch {
	case !ok:
		return Decision{Kind: NoService, Request: q}
	case now >= q.Deadline:
		return Decision{Kind: Expired, Request: q}
	case !s.hasTakers(now):
		return Decision{Kind: NoSlots, Request: q, RetryAfter: s.retryAfter()}
	}
	if s.waiting() == 0 {
		if e := s.choose(now); e != nil {
			e.inUse++
			return Decision{Kind: Send, Request: q, Endpoint: e}
		}
	}
	return s.enqueue(q)
}

// Release tells that a request sent to an endpoint is over, and returns what can be sent
// in its place and which waiting requests have expired.
func (r *Router) Release(e *Endpoint, outcome Outcome, latency time.Duration, now clock.Time) []Decision {
	e.release(outcome, latency, now)
	if outcome == Served {
		e.service.observe(latency)
	}
	return r.pull(e.service, now)
}

// Expire returns the waiting requests whose deadline has come.
func (r *Router) Expire(now clock.Time) []Decision {
	var out []Decision
	for _, s := range r.services {
		for _, q := range s.drain(func(q *Request) bool { return now >= q.Deadline }) {
			out = append(out, Decision{Kind: Expired, Request: q})
		}
	}
	return out
}

// Drain takes out and returns all waiting requests.
func (r *Router) Drain() []*Request {
	var all []*Request
	for _, s := range r.services {
		all = append(all, s.drain(func(*Request) bool { return true })...)
	}
	return all
}

// PullAll returns what can be sent; it is called when endpoints have come or come back.
func (r *Router) PullAll(now clock.Time) []Decision {
	var out []Decision
	for _, s := range r.services {
		out = append(out, r.pull(s, now)...)
	}
	return out
}

// pull returns what can be sent of one service.
func (r *Router) pull(s *service, now clock.Time) []Decision {
	var out []Decision
	for s.waiting() > 0 {
		e := s.choose(now)
		if e == nil {
			break
		}
		q := s.pop()
		if now >= q.Deadline {
			out = append(out, Decision{Kind: Expired, Request: q})
			continue
		}
		e.inUse++
		out = append(out, Decision{Kind: Send, Request: q, Endpoint: e})
	}
	return out
}

// Load is what a service has and uses in the shard.
type Load struct {
	Slots  int
	InUse  int
	Queued int
}

// Loads returns the load of each service.
func (r *Router) Loads() map[string]Load {
	loads := make(map[string]Load, len(r.services))
	for name, s := range r.services {
		l := Load{Queued: s.waiting()}
		for _, e := range s.endpoints {
			if !e.leaving {
				l.Slots += e.limit
				l.InUse += e.inUse + e.foreign
			}
		}
		loads[name] = l
	}
	return loads
}

// Endpoints returns how many endpoints the shard has.
func (r *Router) Endpoints() int {
	return len(r.endpoints)
}

func (s *service) waiting() int {
	n := 0
	for _, q := range s.queues {
		n += q.size
	}
	return n
}

// hasTakers says whether waiting makes sense: some endpoint is neither leaving nor gone.
func (s *service) hasTakers(now clock.Time) bool {
	for _, e := range s.endpoints {
		if !e.leaving && now >= e.ejectedUntil {
			return true
		}
	}
	return false
}

func (s *service) choose(now clock.Time) *Endpoint {
	var best *Endpoint
	for _, e := range s.endpoints {
		if e.takes(now) && (best == nil || e.better(best)) {
			best = e
		}
	}
	return best
}

func (s *service) pop() *Request {
	for _, q := range s.queues {
		if r := q.pop(); r != nil {
			return r
		}
	}
	return nil
}

// enqueue puts a request into its queue. In a full queue it takes the place of the newest
// request of the heaviest caller, of the least urgent class that has one, unless that
// caller is its own.
func (s *service) enqueue(r *Request) Decision {
	q := s.queues[r.Class]
	if s.waiting() < s.QueueLimit {
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

func (s *service) evictFor(r *Request) *Request {
	for class := nClasses - 1; class >= r.Class; class-- {
		q := s.queues[class]
		c, size := q.heaviest()
		if c == nil {
			continue
		}
		if class > r.Class {
			return q.takeNewest(c)
		}
		mine := 0
		if own, ok := q.byCaller[r.Caller]; ok {
			mine = own.size
		}
		if size > mine+1 {
			return q.takeNewest(c)
		}
	}
	return nil
}

// takeNewest takes the newest request of a caller, whose only one it may be.
func (q *queue) takeNewest(c *callerQueue) *Request {
	if c.size > 1 {
		return q.dropNewest(c)
	}
	r := c.head
	c.head, c.tail, c.size = nil, nil, 0
	q.size--
	q.unlink(c)
	return r
}

func (s *service) drain(match func(*Request) bool) []*Request {
	var removed []*Request
	for _, q := range s.queues {
		removed = append(removed, q.removeIf(match)...)
	}
	return removed
}

func (s *service) observe(latency time.Duration) {
	if s.latency == 0 {
		s.latency = latency
		return
	}
	s.latency += (latency - s.latency) / latencyWeight
}

// retryAfter is how long the queue needs to be worked off by the slots there are.
func (s *service) retryAfter() time.Duration {
	slots := 0
	for _, e := range s.endpoints {
		if !e.leaving {
			slots += e.limit
		}
	}
	if slots == 0 || s.latency == 0 {
		return firstRetry
	}
	return max(s.latency*time.Duration(s.waiting()+1)/time.Duration(slots), time.Millisecond)
}
