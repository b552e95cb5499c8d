package admission

import (
	"maps"
	"math"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

const (
	// MinExcessTime is for how long a customer's work must wait too long before the customer is limited:
	// a burst that is just being started is no backlog.
	MinExcessTime = 500 * time.Millisecond
	// minSlack is the shortest wait that is allowed for any job: shorter waits come and go with the
	// owner's heartbeats.
	minSlack = 250 * time.Millisecond
	// runningTimeConstant is the time constant for smoothing a customer's work in progress, of which
	// there is little between two waves of its tasks.
	runningTimeConstant = 3 * time.Second
	// arrivalTimeConstant is the time constant for counting a customer's jobs.
	arrivalTimeConstant = 2 * time.Second
	// targetWaitShare is the share of the slack that the jobs of a limited customer should wait. A
	// shorter wait would leave workers idle, and after a longer one jobs would end too late when the work
	// in progress falls. A limit ends below releaseWaitShare.
	targetWaitShare  = 0.8
	releaseWaitShare = 0.2
	// minShare is the lowest accepted share by which RecordAccepted divides.
	minShare = 0.01
	// keptShares is the number of last decisions whose shares are kept, since hosts may still apply them
	// when a heartbeat is slow.
	keptShares = 5
)

// Demand is what the owner knows about one customer's work.
type Demand struct {
	Customer string
	// Weight is the number of jobs per second within the customer's share; 0 is no limit.
	Weight float64
	// OverShare says that a job over the customer's share is waiting.
	OverShare bool
	Queues    []QueueDemand
}

// QueueDemand is a customer's work in one queue. An amount of work is given as the time for which it
// keeps the whole pool busy, by the resource that is scarcest for it.
type QueueDemand struct {
	Queue, Pool string
	Priority    int
	// Waiting is the work that waits, and WorkPerJob the mean work of a job.
	Waiting, WorkPerJob time.Duration
	// Running is the share of the pool that this work has in use, which is the work done per second.
	Running float64
	// Slack is how long a job may wait on average and still end within its objective.
	Slack time.Duration
}

// Limit says that only a share of a customer's jobs is accepted for now.
type Limit struct {
	Customer string
	Queues   []QueueLimit
}

// QueueLimit is the share of a queue's jobs that is accepted. Hosts choose by the job's ID, so they agree
// on each job, and one that was refused is refused again when it is resent. Accepted jobs are therefore
// accepted when they are first sent, while they can still end in time.
type QueueLimit struct {
	Refusal
	Share float64
}

// Limiter decides which customers are limited. How long a customer's work waits follows from this work
// alone: what waits against what is done per second. NewLimiter makes one.
type Limiter struct {
	decidedAt clock.Time // last decision
	customers map[string]*customerState
}

// customerState has a customer's figures by queue between decisions.
type customerState struct {
	runningShare map[string]float64 // smoothed
	arrivals     map[string]*decayingCount
	excess       map[string]*excess
}

// excess describes a queue whose jobs wait too long.
type excess struct {
	since clock.Time
	// shares are those of the last decisions; empty before the customer is limited.
	shares []float64
}

// decayingCount is a count that decays with arrivalTimeConstant.
type decayingCount struct {
	count     float64
	updatedAt clock.Time
}

func (d *decayingCount) value(now clock.Time) float64 {
	return d.count * math.Exp(-max(now.Sub(d.updatedAt), 0).Seconds()/arrivalTimeConstant.Seconds())
}

// NewLimiter returns a limiter without customers.
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

// RecordAccepted counts a job of a customer that was accepted. While only a share of the jobs is
// accepted, the job also counts for those that were refused.
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
	*r = decayingCount{r.value(now) + 1/max(share, minShare), now}
}

// Limits returns the limits of the customers to limit, in the order of demands. age is how long ago the
// owner began. Limits returns none before the advisers have joined, because little work is done until
// then.
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

// forgetMissing removes the customers without a demand.
func (l *Limiter) forgetMissing(demands []Demand) {
	maps.DeleteFunc(l.customers, func(name string, _ *customerState) bool {
		return !slices.ContainsFunc(demands, func(d Demand) bool { return d.Customer == name })
	})
}

// updateRunning updates the smoothed work in progress, some time after the last update.
func (c *customerState) updateRunning(queues []QueueDemand, elapsed time.Duration) {
	gain := min(elapsed.Seconds()/runningTimeConstant.Seconds(), 1)
	for queue := range c.runningShare {
		c.runningShare[queue] -= gain * c.runningShare[queue]
	}
	for _, q := range queues {
		c.runningShare[q.Queue] += gain * q.Running
	}
}

// queueLimits returns the limits of the queues whose jobs have waited too long for at least
// MinExcessTime.
func (c *customerState) queueLimits(d Demand, now clock.Time) []QueueLimit {
	var out []QueueLimit
	for _, q := range d.Queues {
		slack, wait := max(q.Slack, minSlack), c.expectedWait(d, q)
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
		e.shares = append(e.shares[max(len(e.shares)-keptShares+1, 0):], limit.Share)
		out = append(out, limit)
	}
	return out
}

// queueLimit returns the limit at which a queue's jobs wait for targetWait. It accepts the jobs within the
// customer's weight and as many others as are done, or fewer while the wait is longer than targetWait.
func (c *customerState) queueLimit(d Demand, q QueueDemand, wait, targetWait time.Duration, now clock.Time) QueueLimit {
	l := QueueLimit{Refusal: Refusal{Queue: q.Queue, Wait: wait, RetryAfter: min(max(wait-targetWait, time.Second), MaxAdviceWait)}, Share: 1}
	var all float64
	for _, r := range c.arrivals {
		all += r.value(now) / arrivalTimeConstant.Seconds()
	}
	sent := 0.0
	if r := c.arrivals[q.Queue]; r != nil {
		sent = r.value(now) / arrivalTimeConstant.Seconds()
	}
	if sent > 0 && q.WorkPerJob > 0 && wait > 0 {
		donePerSecond := max(c.runningShare[q.Queue], q.Running) / q.WorkPerJob.Seconds()
		l.Share = min(d.Weight/all+donePerSecond*targetWait.Seconds()/wait.Seconds()/sent, 1)
	}
	return l
}

// maxWait is the wait that is assumed for work of which nothing is being done.
const maxWait = time.Hour

// expectedWait returns how long a new job of a queue waits for the customer's work that goes before it.
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
