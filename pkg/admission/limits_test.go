package admission

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	. "github.com/onsi/gomega"
)

const decideEvery = 250 * time.Millisecond

// decideFor makes a limiter decide on the same demands for a time, and returns the last decision.
func decideFor(l *Limiter, demands []Demand, age, forTime time.Duration) []Limit {
	var last []Limit
	for elapsed := decideEvery; elapsed <= forTime; elapsed += decideEvery {
		last = l.Limits(demands, age, clock.Time(100_000).Add(elapsed))
	}
	return last
}

// demandOf returns the demand of a customer whose work waits for a time and uses a tenth of the pool.
func demandOf(name string, waits time.Duration) Demand {
	return Demand{
		Customer: name, Weight: 2, OverShare: true,
		Queues: []QueueDemand{{Queue: "sheets", Pool: "pool", Priority: 1, Waiting: waits / 10, WorkPerJob: 10 * time.Millisecond, Running: 0.1, Slack: 3 * time.Second}},
	}
}

// customersOf returns the customers of limits.
func customersOf(limits []Limit) []string {
	var out []string
	for _, l := range limits {
		out = append(out, l.Customer)
	}
	return out
}

// Customers that send 12 and 15 times their usual number of jobs wait for their own work; the one that
// sends its usual number does not.
func TestLimitsFollowEachCustomersOwnBacklog(t *testing.T) {
	g := NewWithT(t)
	demands := []Demand{demandOf("usual", 500*time.Millisecond), demandOf("twelve", 6*time.Second), demandOf("fifteen", 40*time.Second)}
	limits := decideFor(NewLimiter(), demands, time.Minute, 2*time.Second)
	g.Expect(customersOf(limits)).To(Equal([]string{"twelve", "fifteen"}))
	g.Expect(limits[0].Queues).To(HaveLen(1))
	g.Expect(limits[0].Queues[0].Wait).To(BeNumerically("~", 6*time.Second, time.Millisecond))
	g.Expect(limits[0].Queues[0].RetryAfter).To(BeNumerically("~", 3600*time.Millisecond, time.Millisecond), "after that the wait is at its target")
	g.Expect(limits[1].Queues[0].RetryAfter).To(Equal(MaxAdviceWait), "no caller has to wait longer")
}

func TestNothingIsLimitedWithoutClearExcess(t *testing.T) {
	within, noWeight, idle := demandOf("c", time.Minute), demandOf("c", time.Minute), demandOf("c", 0)
	within.OverShare, noWeight.Weight, idle.Queues[0].Running = false, 0, 0
	for name, test := range map[string]struct {
		demand        Demand
		age, duration time.Duration
	}{
		"a young owner":                {demandOf("c", time.Minute), AdviserJoinTime - 1, time.Minute},
		"a customer within its weight": {within, time.Minute, time.Minute},
		"no weight":                    {noWeight, time.Minute, time.Minute},
		"nothing waits":                {idle, time.Minute, time.Minute},
		"a pool with room":             {demandOf("c", 3*time.Second), time.Minute, time.Minute},
		"a burst that begins":          {demandOf("c", time.Minute), time.Minute, MinExcessTime},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(decideFor(NewLimiter(), []Demand{test.demand}, test.age, test.duration)).To(BeEmpty())
		})
	}
}

// Only work that goes before a job counts for its wait.
func TestQueuesOfHigherPriorityAreLimitedLater(t *testing.T) {
	g := NewWithT(t)
	d := demandOf("c", 5*time.Second)
	d.Queues = append(d.Queues, QueueDemand{Queue: "ticks", Pool: "pool", Priority: 0, Waiting: 20 * time.Millisecond, Slack: 100 * time.Millisecond},
		QueueDemand{Queue: "elsewhere", Pool: "other", Priority: 9, Slack: time.Second})
	limits := decideFor(NewLimiter(), []Demand{d}, time.Minute, 2*time.Second)
	g.Expect(limits).To(HaveLen(1))
	g.Expect(limits[0].Queues).To(HaveLen(1))
	g.Expect(limits[0].Queues[0].Queue).To(Equal("sheets"))
	g.Expect(limits[0].Queues[0].Wait).To(BeNumerically("~", 5200*time.Millisecond, time.Millisecond))
}

// A limit ends when the wait is well below the allowed one, so that limits don't come and go with each
// decision.
func TestLimitEndsWhenBacklogIsDone(t *testing.T) {
	g := NewWithT(t)
	l := NewLimiter()
	now := clock.Time(100_000)
	at := func(waits time.Duration) []Limit {
		now = now.Add(decideEvery)
		return l.Limits([]Demand{demandOf("c", waits)}, time.Minute, now)
	}
	for range 8 {
		at(10 * time.Second)
	}
	g.Expect(at(2 * time.Second)).NotTo(BeEmpty())
	g.Expect(at(500 * time.Millisecond)).To(BeEmpty())
	g.Expect(at(2 * time.Second)).To(BeEmpty())
}

// A customer has little running between two waves of its tasks, which does not mean a long wait.
func TestWorkInProgressIsSmoothed(t *testing.T) {
	g := NewWithT(t)
	l := NewLimiter()
	d := demandOf("c", 2*time.Second)
	now := clock.Time(100_000)
	for n := range 40 {
		now = now.Add(decideEvery)
		d.Queues[0].Running = 0.1
		if n%4 == 3 {
			d.Queues[0].Running = 0
		}
		g.Expect(l.Limits([]Demand{d}, time.Minute, now)).To(BeEmpty())
	}
}

// Of a customer's jobs over its weight as many are accepted as are done in time. How many it sends is
// computed from those accepted.
func TestShareFollowsSentAndDoneJobs(t *testing.T) {
	g := NewWithT(t)
	l := NewLimiter()
	now, share, waits := clock.Time(100_000), 1.0, 6*time.Second
	send := func(perS float64, forTime time.Duration) {
		toSend := 0.0
		for end := now.Add(forTime); now < end; now = now.Add(decideEvery) {
			for toSend += share * perS * decideEvery.Seconds(); toSend >= 1; toSend-- {
				l.RecordAccepted("c", "sheets", now)
			}
			share = 1
			for _, limit := range l.Limits([]Demand{demandOf("c", waits)}, time.Minute, now) {
				share = limit.Queues[0].Share
			}
		}
	}
	send(100, 20*time.Second)
	g.Expect(share).To(BeNumerically("~", (2+10*targetWaitShare/2)/100, 0.01), "its weight, and so much less than is done that the wait becomes shorter")
	send(4, 10*time.Second)
	g.Expect(share).To(Equal(1.0), "all that it sends now is within the limit")
}
