package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/admission"
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/customer"
	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// customerLoad submits jobs of several customers, one of which sends hotCustomerFactor times its usual rate.
type customerLoad struct {
	*adviceLoad
	accepted map[string]int // jobs by customer
	refused  map[string]int // jobs by customer
}

const (
	usualJobsPerSecond  = 2.0 // jobs of one customer
	weightJobsPerSecond = 2 * usualJobsPerSecond
	hotCustomerFactor   = 15
	// heartbeatInterval is the time between two heartbeats of the owner, at which it sets the limits.
	heartbeatInterval = 250 * time.Millisecond
)

func loadCustomers() []customer.Customer {
	var out []customer.Customer
	for _, name := range []string{"hot", "east", "north", "south", "west"} {
		out = append(out, customer.Customer{Name: name, Weight: weightJobsPerSecond})
	}
	return out
}

// newCustomerLoad returns a load on workers with room for 96 tasks of a second. The jobs of all customers at
// their usual rate take 40 of these.
func newCustomerLoad(t *testing.T) *customerLoad {
	l := newAdviceLoad(t)
	l.fixture = newFixture(t, loadWorkers, nil)
	q := testQueue
	q.Extension = 4
	l.queues = []adviceQueue{{queue: q, tasks: 4, runTime: time.Second}}
	l.configureCustomers(2, loadCustomers()...)
	return &customerLoad{l, map[string]int{}, map[string]int{}}
}

// simulate submits jobs for loadDuration, with one customer above its usual rate throughout, and continues
// until the jobs have to be done. Jobs above the limits are refused if enforced is set.
func (l *customerLoad) simulate(enforced bool) {
	stop := l.now.Add(loadDuration)
	var limits []admission.Limit
	limitsAt := l.now
	for l.lastSubmitAt = l.now; l.now < stop.Add(maxStartWait); l.advance(loadTickInterval) {
		if l.now.Sub(limitsAt) >= heartbeatInterval {
			limits, limitsAt = l.pool.CustomerLimits(l.now), l.now
		}
		passed := l.now.Sub(l.lastSubmitAt).Seconds()
		for _, c := range loadCustomers() {
			for range l.drawArrivals(c, passed) {
				if l.now < stop {
					l.submitForCustomer(c, limits, enforced)
				}
			}
		}
		l.lastSubmitAt = l.now
		l.tick()
	}
}

// drawArrivals returns a random number of jobs that a customer submits in the given time.
func (l *customerLoad) drawArrivals(c customer.Customer, seconds float64) int {
	rate := usualJobsPerSecond
	if c.Name == "hot" {
		rate *= hotCustomerFactor
	}
	return int(rate*seconds + l.rand.Float64())
}

func (l *customerLoad) submitForCustomer(c customer.Customer, limits []admission.Limit, enforced bool) {
	n := slices.IndexFunc(limits, func(x admission.Limit) bool { return x.Customer == c.Name })
	if n >= 0 && enforced && l.rand.Float64() >= limits[n].Queues[0].Share {
		l.refused[c.Name]++
		return
	}
	l.accepted[c.Name]++
	r := oneSecondJob(fmt.Sprintf("0-%s-%d", c.Name, l.accepted[c.Name]), c, 4)
	r.Queue = l.queues[0].queue
	l.add(r)
}

// unfinishedJobs counts the jobs that have not ended.
func (l *customerLoad) unfinishedJobs() int {
	n := 0
	for _, j := range l.pool.jobs {
		if j.outcome == "" {
			n++
		}
	}
	return n
}

// One customer sends fifteen times its usual rate, more than there is room for. Without limits its jobs are
// not done in time. The jobs of the other customers are accepted with and without limits.
func TestHotCustomerIsLimitedToItsWeightAndOthersAreNotLimited(t *testing.T) {
	l := newCustomerLoad(t)
	l.simulate(true)
	l.Expect(l.unfinishedJobs()).To(BeZero())
	for _, c := range loadCustomers()[1:] {
		l.Expect(l.refused[c.Name]).To(BeZero(), c.Name)
		l.Expect(l.accepted[c.Name]).To(BeNumerically(">", 60), c.Name)
	}
	l.Expect(l.refused["hot"]).NotTo(BeZero())
	l.Expect(l.accepted["hot"]).To(BeNumerically(">=", weightJobsPerSecond*loadDuration.Seconds()))
	ignored := newCustomerLoad(t)
	ignored.simulate(false)
	ignored.Expect(ignored.unfinishedJobs()).NotTo(BeZero(), "the load does not exceed the capacity")
}

// newOverloadedFixture returns a pool with room for four tasks, in which the jobs of one customer wait for
// longer than their objective allows.
func newOverloadedFixture(t *testing.T) *fixture {
	f := newFixture(t, 1, nil)
	hot := customer.Customer{Name: "hot", Weight: 1}
	f.configureCustomers(2, hot, customer.Customer{Name: "other", Weight: 1})
	f.advance(admission.AdviserJoinTime)
	f.reportAll(1)
	for n := range 20 {
		f.add(oneSecondJob(fmt.Sprint("h", n), hot, 2))
	}
	for _, s := range f.plan().Starts {
		f.accept(s)
	}
	return f
}

// customerLimitsInForce returns the limits after the excess has lasted long enough for them to come into
// force.
func (f *fixture) customerLimitsInForce() []admission.Limit {
	f.pool.CustomerLimits(f.now)
	f.advance(admission.MinExcessTime)
	return f.pool.CustomerLimits(f.now)
}

func TestCustomerDemandsCountWaitingAndRunningTasks(t *testing.T) {
	f := newOverloadedFixture(t)
	r := testJob("nobody's", testStep(2))
	f.add(r)
	second := testStep(1)
	second.After = []int{0}
	f.add(withCustomer(customer.Customer{Name: "other", Weight: 1}, testJob("o", testStep(2), second)))
	demands := f.pool.customerDemands()
	f.Expect(demands).To(HaveLen(2))
	f.Expect(demands[0].Customer).To(Equal("hot"))
	f.Expect(demands[0].OverShare).To(BeTrue())
	f.Expect(demands[0].Queues).To(HaveLen(1))
	f.Expect(demands[0].Queues[0].Running).To(Equal(1.0))
	f.Expect(demands[0].Queues[0].WorkPerJob).To(Equal(500 * time.Millisecond))
	f.Expect(demands[0].Queues[0].Waiting).To(Equal(9*time.Second), "36 tasks of 1 s, four at a time")
	f.Expect(demands[0].Queues[0].Slack).To(Equal(2*time.Second), "an extension of 1 s and the target latency")
	f.Expect(demands[1].OverShare).To(BeFalse())
	f.Expect(demands[1].Queues[0].Waiting).To(Equal(750*time.Millisecond), "later steps count, too")
	f.Expect(customerNames(f.customerLimitsInForce())).To(Equal([]string{"hot"}))
}

func customerNames(limits []admission.Limit) []string {
	var out []string
	for _, l := range limits {
		out = append(out, l.Customer)
	}
	return out
}

func TestNoLimitsDuringTakeoverAndAfterStartup(t *testing.T) {
	f := newOverloadedFixture(t)
	f.pool.takeover.pending = true
	f.Expect(f.customerLimitsInForce()).To(BeEmpty())
	f.pool.takeover.pending = false
	f.pool.createdAt = f.now
	f.Expect(f.customerLimitsInForce()).To(BeEmpty())
}

func TestNoLimitsWithoutCustomers(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.advance(admission.AdviserJoinTime)
	f.reportAll(1)
	for n := range 20 {
		f.add(testJob(fmt.Sprint("n", n), testStep(2)))
	}
	f.plan()
	f.Expect(f.pool.customerDemands()).To(BeEmpty())
	f.Expect(f.customerLimitsInForce()).To(BeEmpty())
}

// Work that waits for its customer's quota counts as waiting.
func TestCustomerWaitingForItsQuotaIsLimited(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.configureCustomers(2, northWithQuota(1000))
	f.advance(admission.AdviserJoinTime)
	f.reportAll(2)
	for n := range 20 {
		f.add(withCustomer(northWithQuota(1000), testJob(fmt.Sprint("q", n), testStep(1))))
	}
	f.Expect(f.plan().Starts).To(HaveLen(1))
	f.Expect(customerNames(f.customerLimitsInForce())).To(Equal([]string{"north"}))
	f.Expect(f.pool.accounts["north"].Used()).To(Equal(cell.Resources{CPUMillis: 1000, MemoryMB: 1000}))
	f.Expect(f.pool.jobs).To(HaveKey(job.ID("q19")), "accepted jobs stay")
}

// Guards against the slack of a few jobs with a very long target latency that overflows when it is summed up, so
// that their customer is limited.
func TestSumOfLongSlacksDoesNotOverflow(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	for n := range 8 {
		r := testJob(fmt.Sprint("a", n), testStep(1))
		r.Customer = customer.Customer{Name: "c", Weight: 1}
		r.Queue.TargetLatency = 100 * 365 * 24 * time.Hour
		f.pool.config = nil
		f.add(r)
	}
	f.plan()
	for _, d := range f.pool.customerDemands() {
		f.Expect(d.Queues[0].Slack).To(BeNumerically(">", 0))
	}
	f.Expect(f.pool.customerDemands()).NotTo(BeEmpty())
}
