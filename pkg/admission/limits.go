package admission

import (
	"maps"
	"math"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

const (
	// MinExcessTime is for how long a customer's work must wait for too long before it is limited: a burst that is just being started is no backlog.
	MinExcessTime = 500 * time.Millisecond
	// leastSlack is what a job may wait in any case: shorter waits come and go with the owner's heartbeats.
	leastSlack = 250 * time.Millisecond
	// runningTimeConstant is over which time the work is smoothed that a customer has in progress: between two waves of its tasks it has little.
	runningTimeConstant = 3 * time.Second
	// arrivalTimeConstant is over which time a customer's jobs are counted.
	arrivalTimeConstant = 2 * time.Second
	// targetWaitShare is the part of the slack that a limited customer's jobs are to wait: what is shorter leaves workers idle, what is longer comes
	// too late when the work in progress falls. A limit ends below releaseWaitShare.
	targetWaitShare  = 0.8
	releaseWaitShare = 0.2
	// leastShare bounds for how many jobs one that was taken in may stand.
	leastShare = 0.01
	// sharesKept is of how many decisions the shares are kept that hosts may still go by: those of a slow heartbeat.
	sharesKept = 5
)

// Demand is what the owner knows of one customer.
type Demand struct {
	Customer string
	// Weight is the customer's share in jobs a second; 0 is no limit.
	Weight float64
	// OverShare says that a job of it waits that is beyond its weight.
	OverShare bool
	Queues    []QueueDemand
}

// QueueDemand is what a customer has in one queue. Work is told as the time for which it keeps the whole pool busy, by the resource that is
// scarcest for it.
type QueueDemand struct {
	Queue, Pool string
	Priority    int
	// Waiting is the work that waits, and WorkPerJob that of a job in the mean.
	Waiting, WorkPerJob time.Duration
	// Running is the part of the pool that is in use: the work carried out in a second.
	Running float64
	// Slack is how long a job may wait in the mean and still end within its objective.
	Slack time.Duration
}

// Limit says that not all that a customer sends is taken in for now.
type Limit struct {
	Customer string
	Queues   []QueueLimit
}

// QueueLimit is the share of a queue's jobs that is taken in. Hosts choose by the job's ID, so that a job that is sent again is taken in by none
// or by all: what is taken in is so when it is sent first, when it can still end in time.
type QueueLimit struct {
	Refusal
	Share float64
}

// Limiter decides which customers are limited. What a customer waits for follows from its own work alone: what waits against what is carried out
// of it. NewLimiter makes one.
type Limiter struct {
	decidedAt clock.Time // of the last decision
	customers map[string]*customerState
}

// customerState is what is remembered of a customer between decisions, by queue.
type customerState struct {
	runningShare map[string]float64 // smoothed
	arrivals     map[string]*decayingCount
	excess       map[string]*excess
}

// excess is what is remembered of a queue whose jobs wait for too long.
type excess struct {
	since clock.Time
	// shares are those of the last decisions; none before the customer is limited.
	shares []float64
}

// decayingCount counts over arrivalTimeConstant.
type decayingCount struct {
	count float64
	at    clock.Time
}

func (r *decayingCount) value(now clock.Time) float64 {
	return r.count * math.Exp(-max(now.Sub(r.at), 0).Seconds()/arrivalTimeConstant.Seconds())
}

// NewLimiter returns a limiter that knows of no customer.
func NewLimiter() *Limiter {
	return &Limiter{customers: map[string]*customerState{}}
}

func (l *Limiter) customerState(customer string) *customerState {
	c := l.customers[customer]
	if c == nil {
		c = &customerState{runningShare: map[string]float64{}, arrivals: map[string]*decayingCount{}, excess: map[string]*excess{}}
		l.customers[customer] = c
	}
	return c
}

// RecordAccepted takes in that a customer's job was. While a share is taken in, it stands for those that were not.
func (l *Limiter) RecordAccepted(customer, queueName string, now clock.Time) {
	c := l.customerState(customer)
	r := c.arrivals[queueName]
	if r == nil {
		r = &decayingCount{}
		c.arrivals[queueName] = r
	}
	share := 1.0
	if e := c.excess[queueName]; e != nil && len(e.shares) > 0 {
		share = slices.Max(e.shares)
	}
	*r = decayingCount{r.value(now) + 1/max(share, leastShare), now}
}

// Limits lists the customers to limit, in the order of the demands. age is how long ago the owner began. Before the processes that make calls
// for advice have joined it lists none: little is carried out until then.
func (l *Limiter) Limits(demands []Demand, age time.Duration, now clock.Time) []Limit {
	var out []Limit
	for _, d := range demands {
		c := l.customerState(d.Customer)
		c.updateRunning(d.Queues, now.Sub(l.decidedAt))
		if age < AdviserJoinTime || d.Weight <= 0 || !d.OverShare {
			clear(c.excess)
			continue
		}
		if queues := c.queueLimits(d, now); len(queues) > 0 {
			out = append(out, Limit{Customer: d.Customer, Queues: queues})
		}
	}
	l.forgetMissing(demands)
	l.decidedAt = now
	return out
}

// forgetMissing forgets the customers of whom nothing is to be done.
func (l *Limiter) forgetMissing(demands []Demand) {
	maps.DeleteFunc(l.customers, func(name string, _ *customerState) bool {
		return !slices.ContainsFunc(demands, func(d Demand) bool { return d.Customer == name })
	})
}

// updateRunning takes in what the customer has in progress, some time after the last.
func (c *customerState) updateRunning(queues []QueueDemand, passed time.Duration) {
	gain := min(passed.Seconds()/runningTimeConstant.Seconds(), 1)
	for queue := range c.runningShare {
		c.runningShare[queue] -= gain * c.runningShare[queue]
	}
	for _, q := range queues {
		c.runningShare[q.Queue] += gain * q.Running
	}
}

// queueLimits lists the queues whose jobs wait for too long, once they have done so for some time.
func (c *customerState) queueLimits(d Demand, now clock.Time) []QueueLimit {
	var out []QueueLimit
	for _, q := range d.Queues {
		slack, wait := max(q.Slack, leastSlack), c.expectedWait(d, q)
		e := c.excess[q.Queue]
		switch {
		case wait > slack && e == nil:
			e = &excess{since: now}
			c.excess[q.Queue] = e
		case e != nil && wait <= slack && (len(e.shares) == 0 || wait.Seconds() < releaseWaitShare*slack.Seconds()):
			delete(c.excess, q.Queue)
			continue
		}
		if e == nil || now.Sub(e.since) < MinExcessTime {
			continue
		}
		limit := c.queueLimit(d, q, wait, time.Duration(targetWaitShare*float64(slack)), now)
		e.shares = append(e.shares[max(len(e.shares)-sharesKept+1, 0):], limit.Share)
		out = append(out, limit)
	}
	return out
}

// queueLimit has a queue's jobs wait as long as is aimed at: what is carried out of them is taken in, or less of it while they wait for longer, and what
// is within the customer's weight.
func (c *customerState) queueLimit(d Demand, q QueueDemand, wait, aimed time.Duration, now clock.Time) QueueLimit {
	l := QueueLimit{Refusal: Refusal{Queue: q.Queue, Wait: wait, RetryAfter: min(max(wait-aimed, time.Second), MaxAdviceWait)}, Share: 1}
	var all float64
	for _, r := range c.arrivals {
		all += r.value(now) / arrivalTimeConstant.Seconds()
	}
	sent := 0.0
	if r := c.arrivals[q.Queue]; r != nil {
		sent = r.value(now) / arrivalTimeConstant.Seconds()
	}
	if sent > 0 && q.WorkPerJob > 0 && wait > 0 {
		carriedOut := max(c.runningShare[q.Queue], q.Running) / q.WorkPerJob.Seconds()
		l.Share = min(d.Weight/all+carriedOut*aimed.Seconds()/wait.Seconds()/sent, 1)
	}
	return l
}

// maxWait stands for the wait of work of which nothing is carried out.
const maxWait = time.Hour

// expectedWait is how long a new job of a queue waits for the customer's work that goes before it.
func (c *customerState) expectedWait(d Demand, q QueueDemand) time.Duration {
	var ahead time.Duration
	var rate, smoothed float64
	for _, o := range d.Queues {
		if o.Pool != q.Pool {
			continue
		}
		rate += o.Running
		smoothed += c.runningShare[o.Queue]
		if o.Priority <= q.Priority {
			ahead += o.Waiting
		}
	}
	if rate = max(rate, smoothed); ahead.Seconds() < rate*maxWait.Seconds() {
		return time.Duration(float64(ahead) / rate)
	}
	if ahead == 0 {
		return 0
	}
	return maxWait
}
