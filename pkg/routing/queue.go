package routing

// queue holds the waiting requests of one class of one service. The callers are served
// round-robin.
type queue struct {
	byCaller map[string]*callerQueue
	// nextCaller is the caller to serve next. It is an element of a ring of all callers
	// that have waiting requests.
	nextCaller *callerQueue
	size       int
}

// callerQueue holds the requests of one caller in the order of arrival.
type callerQueue struct {
	caller     string
	head, tail *Request
	size       int
	prev, next *callerQueue // in the ring of callers with waiting requests
}

// maxIdleCallers is the number of known callers from which on those without waiting requests
// are removed before another one is added.
const maxIdleCallers = 1024

func newQueue() *queue {
	return &queue{byCaller: map[string]*callerQueue{}}
}

func (q *queue) push(r *Request) {
	c, ok := q.byCaller[r.Caller]
	if !ok {
		q.forgetIdleCallers()
		c = &callerQueue{caller: r.Caller}
		q.byCaller[r.Caller] = c
	}
	if c.size == 0 {
		c.head = r
		q.addToRing(c)
	} else {
		c.tail.next = r
	}
	c.tail = r
	r.next = nil
	c.size++
	q.size++
}

// pop removes and returns the oldest request of the next caller, or nil if the queue is empty.
func (q *queue) pop() *Request {
	c := q.nextCaller
	if c == nil {
		return nil
	}
	r := c.head
	c.head = r.next
	r.next = nil
	c.size--
	q.size--
	q.nextCaller = c.next
	if c.size == 0 {
		q.removeFromRing(c)
	}
	return r
}

// largestCaller returns the caller with the most requests and their number.
func (q *queue) largestCaller() (*callerQueue, int) {
	if q.nextCaller == nil {
		return nil, 0
	}
	largest := q.nextCaller
	for c := q.nextCaller.next; c != q.nextCaller; c = c.next {
		if c.size > largest.size {
			largest = c
		}
	}
	return largest, largest.size
}

// removeNewestOfMany removes and returns the newest request of a caller that has at least two.
func (q *queue) removeNewestOfMany(c *callerQueue) *Request {
	secondNewest := c.head
	for secondNewest.next != c.tail {
		secondNewest = secondNewest.next
	}
	newest := c.tail
	secondNewest.next = nil
	c.tail = secondNewest
	c.size--
	q.size--
	return newest
}

// removeIf removes and returns all requests for which match returns true.
func (q *queue) removeIf(match func(*Request) bool) []*Request {
	var removed []*Request
	for _, c := range q.byCaller {
		if c.size > 0 {
			removed = append(removed, q.removeFrom(c, match)...)
		}
	}
	return removed
}

func (q *queue) removeFrom(c *callerQueue, match func(*Request) bool) []*Request {
	var removed []*Request
	r := c.head
	c.head, c.tail = nil, nil
	kept := 0
	for r != nil {
		next := r.next
		r.next = nil
		switch {
		case match(r):
			removed = append(removed, r)
		case c.head == nil:
			c.head, c.tail = r, r
			kept++
		default:
			c.tail.next = r
			c.tail = r
			kept++
		}
		r = next
	}
	c.size = kept
	q.size -= len(removed)
	if kept == 0 {
		q.removeFromRing(c)
	}
	return removed
}

// addToRing inserts a caller so that it is served after all others in the ring.
func (q *queue) addToRing(c *callerQueue) {
	if q.nextCaller == nil {
		c.prev, c.next = c, c
		q.nextCaller = c
		return
	}
	last := q.nextCaller.prev
	last.next, c.prev = c, last
	c.next, q.nextCaller.prev = q.nextCaller, c
}

func (q *queue) removeFromRing(c *callerQueue) {
	if c.next == c {
		q.nextCaller = nil
	} else {
		c.prev.next, c.next.prev = c.next, c.prev
		if q.nextCaller == c {
			q.nextCaller = c.next
		}
	}
	c.prev, c.next = nil, nil
}

// forgetIdleCallers removes the callers without waiting requests once maxIdleCallers callers
// are known.
func (q *queue) forgetIdleCallers() {
	if len(q.byCaller) < maxIdleCallers {
		return
	}
	for name, c := range q.byCaller {
		if c.size == 0 {
			delete(q.byCaller, name)
		}
	}
}
