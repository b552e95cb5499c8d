package admission

import (
	"maps"
	"math"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

const (
	// ExcessTime is for how long a customer's work must wait for too long before it is limited: a burst that is just being started is no backlog.
	ExcessTime = 500 * time.Millisecond
	// leastSlack is what a job may wait in any case: shorter waits come and go with the owner's heartbeats.
	leastSlack = 250 * time.Millisecond
	// rateMemory is over which time the work is smoothed that a customer has in progress: between two waves of its tasks it has little.
	rateMemory = 3 * time.Second
	// arrivalMemory is over which time a customer's jobs are counted.
	arrivalMemory = 2 * time.Second
	// aimedShare is the part of the slack that a limited customer's jobs are to wait: what is shorter leaves workers idle, what is longer comes
	// too late when the work in progress falls. A limit ends below endShare.
	aimedShare = 0.8
	endShare   = 0.2
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
	// Beyond says that a job of it waits that is beyond its weight.
	Beyond bool
	Queues []QueueDemand
}

// QueueDemand is what a customer has in one queue. Work is told as the time for which it keeps the whole pool busy, by the resource that is
// scarcest for it.
type QueueDemand struct {
	Queue, Pool string
	Priority    int
	// Waiting is the work that waits, and PerJob that of a job in the mean.
	Waiting, PerJob time.Duration
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
	at        clock.Time // of the last decision
	customers map[string]*limited
}

// limited is what is remembered of a customer between decisions, by queue.
type limited struct {
	running map[string]float64 // smoothed
	sent    map[string]*recent
	excess  map[string]*excess
}

// excess is what is remembered of a queue whose jobs wait for too long.
type excess struct {
	since clock.Time
	// shares are those of the last decisions; none before the customer is limited.
	shares []float64
}

// recent counts over arrivalMemory.
type recent struct {
	count float64
	at    clock.Time
}

func (r *recent) value(now clock.Time) float64 {
	return r.count * math.Exp(-max(now.Sub(r.at), 0).Seconds()/arrivalMemory.Seconds())
}

// NewLimiter returns a limiter that knows of no customer.
func NewLimiter() *Limiter {
	return &Limiter{customers: map[string]*limited{}}
}

func (l *Limiter) of(customer string) *limited {
	c := l.customers[customer]
	if c == nil {
		c = &limited{running: map[string]float64{}, sent: map[string]*recent{}, excess: map[string]*excess{}}
		l.customers[customer] = c
	}
	return c
}

// Accepted takes in that a customer's job was. While a share is taken in, it stands for those that were not.
func (l *Limiter) Accepted(customer, queueName string, now clock.Time) {
	c := l.of(customer)
	r := c.sent[queueName]
	if r == nil {
		r = &recent{}
		c.sent[queueName] = r
	}
	share := 1.0
	if e := c.excess[queueName]; e != nil && len(e.shares) > 0 {
		share = slices.Max(e.shares)
	}
	*r = recent{r.value(now) + 1/max(share, leastShare), now}
}

// Limits lists the customers to limit, in the order of the demands. age is how long ago the owner began. Before the processes that make calls
// for advice have joined it lists none: little is carried out until then.
func (l *Limiter) Limits(demands []Demand, age time.Duration, now clock.Time) []Limit {
	var out []Limit
	for _, d := range demands {
		c := l.of(d.Customer)
		c.smooth(d.Queues, now.Sub(l.at))
		if age < JoinTime || d.Weight <= 0 || !d.Beyond {
			clear(c.excess)
			continue
		}
		if queues := c.decide(d, now); len(queues) > 0 {
			out = append(out, Limit{Customer: d.Customer, Queues: queues})
		}
	}
	l.forgetOthers(demands)
	l.at = now
	return out
}

// forgetOthers forgets the customers of whom nothing is to be done.
func (l *Limiter) forgetOthers(demands []Demand) {
	maps.DeleteFunc(l.customers, func(name string, _ *limited) bool {
		return !slices.ContainsFunc(demands, func(d Demand) bool { return d.Customer == name })
	})
}

// smooth takes in what the customer has in progress, some time after the last.
func (c *limited) smooth(queues []QueueDemand, passed time.Duration) {
	gain := min(passed.Seconds()/rateMemory.Seconds(), 1)
	for queue := range c.running {
		c.running[queue] -= gain * c.running[queue]
	}
	for _, q := range queues {
		c.running[q.Queue] += gain * q.Running
	}
}

// decide lists the queues whose jobs wait for too long, once they have done so for some time.
func (c *limited) decide(d Demand, now clock.Time) []QueueLimit {
	var out []QueueLimit
	for _, q := range d.Queues {
		slack, wait := max(q.Slack, leastSlack), c.wait(d, q)
		e := c.excess[q.Queue]
		switch {
		case wait > slack && e == nil:
			e = &excess{since: now}
			c.excess[q.Queue] = e
		case e != nil && wait <= slack && (len(e.shares) == 0 || wait.Seconds() < endShare*slack.Seconds()):
			delete(c.excess, q.Queue)
			continue
		}
		if e == nil || now.Sub(e.since) < ExcessTime {
			continue
		}
		limit := c.limit(d, q, wait, time.Duration(aimedShare*float64(slack)), now)
		e.shares = append(e.shares[max(len(e.shares)-sharesKept+1, 0):], limit.Share)
		out = append(out, limit)
	}
	return out
}

// limit has a queue's jobs wait as long as is aimed at: what is carried out of them is taken in, or less of it while they wait for longer, and what
// is within the customer's weight.
func (c *limited) limit(d Demand, q QueueDemand, wait, aimed time.Duration, now clock.Time) QueueLimit {
	l := QueueLimit{Refusal: Refusal{Queue: q.Queue, Wait: wait, RetryAfter: min(max(wait-aimed, time.Second), MostAdviceWait)}, Share: 1}
	var all float64
	for _, r := range c.sent {
		all += r.value(now) / arrivalMemory.Seconds()
	}
	sent := 0.0
	if r := c.sent[q.Queue]; r != nil {
		sent = r.value(now) / arrivalMemory.Seconds()
	}
	if sent > 0 && q.PerJob > 0 && wait > 0 {
		carriedOut := max(c.running[q.Queue], q.Running) / q.PerJob.Seconds()
		l.Share = min(d.Weight/all+carriedOut*aimed.Seconds()/wait.Seconds()/sent, 1)
	}
	return l
}

// longestWait stands for the wait of work of which nothing is carried out.
const longestWait = time.Hour

// wait is how long a new job of a queue waits for the customer's work that goes before it.
func (c *limited) wait(d Demand, q QueueDemand) time.Duration {
	var ahead time.Duration
	var rate, smoothed float64
	for _, o := range d.Queues {
		if o.Pool != q.Pool {
			continue
		}
		rate += o.Running
		smoothed += c.running[o.Queue]
		if o.Priority <= q.Priority {
			ahead += o.Waiting
		}
	}
	if rate = max(rate, smoothed); ahead.Seconds() < rate*longestWait.Seconds() {
		return time.Duration(float64(ahead) / rate)
	}
	if ahead == 0 {
		return 0
	}
	return longestWait
}
