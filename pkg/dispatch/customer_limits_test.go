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
type customersLoad struct {
	*adviceLoad
	handed  map[string]int // jobs by customer
	refused map[string]int // jobs by customer
}

const (
	usualPerS  = 2.0 // jobs of one customer
	weightPerS = 2 * usualPerS
	hotTimes   = 15
	// heartbeatInterval is the time between two heartbeats of the owner, at which it sets the limits.
	beatEvery = 250 * time.Millisecond
)

func loadCustomers() []customer.Customer {
	var out []customer.Customer
	for _, name := range []string{"hot", "east", "north", "south", "west"} {
		out = append(out, customer.Customer{Name: name, Weight: weightPerS})
	}
	return out
}

// newCustomerLoad returns a load on workers with room for 96 tasks of a second. The jobs of all customers at
// their usual rate take 40 of these.
func newCustomersLoad(t *testing.T) *customersLoad {
	l := newAdviceLoad(t)
	l.fixture = newFixture(t, loadWorkers, nil)
	q := testQueue
	q.Extension = 4
	l.queues = []adviceQueue{{queue: q, tasks: 4, length: time.Second}}
	l.configure(2, loadCustomers()...)
	return &customersLoad{l, map[string]int{}, map[string]int{}}
}

// simulate submits jobs for loadTime, with one customer above its usual rate throughout, and continues until
// the jobs have to be done. Jobs above the limits are refused if enforced is set.
func (l *customersLoad) play(enforced bool) {
	stop := l.now.Add(loadTime)
	var limits []admission.Limit
	limitsAt := l.now
	for l.last = l.now; l.now < stop.Add(askedAfter); l.pass(loadTick) {
		if l.now.Sub(limitsAt) >= beatEvery {
			limits, limitsAt = l.pool.CustomerLimits(l.now), l.now
		}
		passed := l.now.Sub(l.last).Seconds()
		for _, c := range loadCustomers() {
			for range l.arrivals(c, passed) {
				if l.now < stop {
					l.handInOf(c, limits, enforced)
				}
			}
		}
		l.last = l.now
		l.carryOut()
	}
}

// drawArrivals returns a random number of jobs that a customer submits in the given time.
func (l *customersLoad) arrivals(c customer.Customer, seconds float64) int {
	rate := usualPerS
	if c.Name == "hot" {
		rate *= hotTimes
	}
	return int(rate*seconds + l.rand.Float64())
}

func (l *customersLoad) handInOf(c customer.Customer, limits []admission.Limit, enforced bool) {
	n := slices.IndexFunc(limits, func(x admission.Limit) bool { return x.Customer == c.Name })
	if n >= 0 && enforced && l.rand.Float64() >= limits[n].Queues[0].Share {
		l.refused[c.Name]++
		return
	}
	l.handed[c.Name]++
	r := sheet(fmt.Sprintf("0-%s-%d", c.Name, l.handed[c.Name]), c, 4)
	r.Queue = l.queues[0].queue
	l.add(r)
}

// unfinishedJobs counts the jobs that have not ended.
func (l *customersLoad) left() int {
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
func TestHotCustomerIsLimitedToItsWeightAndOthersAreTakenIn(t *testing.T) {
	l := newCustomersLoad(t)
	l.play(true)
	l.Expect(l.left()).To(BeZero())
	for _, c := range loadCustomers()[1:] {
		l.Expect(l.refused[c.Name]).To(BeZero(), c.Name)
		l.Expect(l.handed[c.Name]).To(BeNumerically(">", 60), c.Name)
	}
	l.Expect(l.refused["hot"]).NotTo(BeZero())
	l.Expect(l.handed["hot"]).To(BeNumerically(">=", weightPerS*loadTime.Seconds()))
	ignored := newCustomersLoad(t)
	ignored.play(false)
	ignored.Expect(ignored.left()).NotTo(BeZero(), "the load does not exceed the capacity")
}

// newOverloadedFixture returns a pool with room for four tasks, in which the jobs of one customer wait for
// longer than their objective allows.
func excess(t *testing.T) *fixture {
	f := newFixture(t, 1, nil)
	hot := customer.Customer{Name: "hot", Weight: 1}
	f.configure(2, hot, customer.Customer{Name: "other", Weight: 1})
	f.pass(admission.AdviserJoinTime)
	f.reportAll(1)
	for n := range 20 {
		f.add(sheet(fmt.Sprint("h", n), hot, 2))
	}
	for _, s := range f.plan().Starts {
		f.accept(s)
	}
	return f
}

// customerLimitsInForce returns the limits after the excess has lasted long enough for them to come into
// force.
func (f *fixture) limited() []admission.Limit {
	f.pool.CustomerLimits(f.now)
	f.pass(admission.MinExcessTime)
	return f.pool.CustomerLimits(f.now)
}

func TestDemandsCountWhatWaitsAndWhatRuns(t *testing.T) {
	f := excess(t)
	r := testJob("nobody's", testStep(2))
	f.add(r)
	second := testStep(1)
	second.After = []int{0}
	f.add(of(customer.Customer{Name: "other", Weight: 1}, testJob("o", testStep(2), second)))
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
	f.Expect(customerNames(f.limited())).To(Equal([]string{"hot"}))
}

func customerNames(limits []admission.Limit) []string {
	var out []string
	for _, l := range limits {
		out = append(out, l.Customer)
	}
	return out
}

func TestNobodyIsLimitedWhileTheOwnerDoesNotKnow(t *testing.T) {
	f := excess(t)
	f.pool.takeover.pending = true
	f.Expect(f.limited()).To(BeEmpty())
	f.pool.takeover.pending = false
	f.pool.createdAt = f.now
	f.Expect(f.limited()).To(BeEmpty())
}

func TestNobodyIsLimitedWithoutCustomers(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.pass(admission.AdviserJoinTime)
	f.reportAll(1)
	for n := range 20 {
		f.add(testJob(fmt.Sprint("n", n), testStep(2)))
	}
	f.plan()
	f.Expect(f.pool.customerDemands()).To(BeEmpty())
	f.Expect(f.limited()).To(BeEmpty())
}

// Work that waits for its customer's quota counts as waiting.
func TestCustomerThatWaitsForItsQuotaIsLimited(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.configure(2, north(1000))
	f.pass(admission.AdviserJoinTime)
	f.reportAll(2)
	for n := range 20 {
		f.add(of(north(1000), testJob(fmt.Sprint("q", n), testStep(1))))
	}
	f.Expect(f.plan().Starts).To(HaveLen(1))
	f.Expect(customerNames(f.limited())).To(Equal([]string{"north"}))
	f.Expect(f.pool.accounts["north"].Used()).To(Equal(cell.Resources{CPUMillis: 1000, MemoryMB: 1000}))
	f.Expect(f.pool.jobs).To(HaveKey(job.ID("q19")), "accepted jobs stay")
}
