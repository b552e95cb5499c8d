package advice

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/worth"
	. "github.com/onsi/gomega"
)

// waitingCall is a call that some work wants since a time.
type waitingCall struct {
	want  Want
	cost  time.Duration
	since clock.Time
}

// budgetLoad has processes make calls that a budget grants, a plan every 20 ms.
type budgetLoad struct {
	budget    *Budget
	now       clock.Time
	free      int
	processes int
	waiting   []waitingCall // in the order of a plan
	over      map[clock.Time][]Want
	waits     map[string]time.Duration // longest, by customer
	sent      map[string]int
	lateOut   int
}

func newBudgetLoad(processes int) *budgetLoad {
	return &budgetLoad{
		budget: NewBudget(), now: 1000, free: processes, processes: processes, over: map[clock.Time][]Want{},
		waits: map[string]time.Duration{}, sent: map[string]int{},
	}
}

const budgetPlan = 20 * time.Millisecond

func (l *budgetLoad) plan() {
	l.now = l.now.Add(budgetPlan)
	for _, w := range l.over[l.now] {
		l.free++
		l.budget.Over(w)
		if w.Late {
			l.lateOut--
		}
	}
	delete(l.over, l.now)
	l.budget.Begin(l.processes, l.now)
	slices.SortStableFunc(l.waiting, func(a, b waitingCall) int { return int(a.want.Standing - b.want.Standing) })
	sent := map[int]bool{}
	send := func(place int) {
		w := l.waiting[place]
		if l.free == 0 {
			if w.want.Standing <= worth.InTime {
				l.budget.InTimeWaits(w.want, l.now)
			}
			return
		}
		l.free--
		l.budget.Sent(w.want, w.cost, l.now)
		l.over[l.now.Add(w.cost)] = append(l.over[l.now.Add(w.cost)], w.want)
		l.waits[w.want.Customer] = max(l.waits[w.want.Customer], l.now.Sub(w.since))
		l.sent[w.want.Customer]++
		if w.want.Late {
			l.lateOut++
		}
		sent[place] = true
	}
	for i := range l.waiting {
		w := &l.waiting[i].want
		w.Place = i
		for _, place := range l.budget.PutOff(w.Standing, l.now) {
			send(place)
		}
		if l.free == 0 || l.budget.Grants(*w, l.now) {
			send(i)
		}
	}
	for _, place := range l.budget.PutOff(worth.Worthless+1, l.now) {
		send(place)
	}
	kept := l.waiting[:0]
	for i, w := range l.waiting {
		if !sent[i] {
			kept = append(kept, w)
		}
	}
	l.waiting = kept
}

func (l *budgetLoad) add(w Want, cost time.Duration) {
	l.waiting = append(l.waiting, waitingCall{w, cost, l.now})
}

// Guards against calls of a hot customer that hold all processes while the calls of calm ones wait, and against processes that stand idle for its share.
func TestSurgeOfOneOfTwentyCustomers(t *testing.T) {
	g := NewWithT(t)
	l := newBudgetLoad(44)
	for range 300 {
		l.add(Want{Customer: "hot", Weight: 5, Priority: 1}, time.Second)
	}
	for n := range 500 {
		for c := range 19 {
			if (n+c)%50 == 0 { // one a second of each: 19 processes
				l.add(Want{Customer: fmt.Sprint("calm ", c), Weight: 5, Priority: 1}, time.Second)
			}
		}
		l.plan()
		if len(l.waiting) > 0 {
			g.Expect(l.free).To(BeZero(), "while calls wait")
		}
	}
	for c := range 19 {
		g.Expect(l.waits[fmt.Sprint("calm ", c)]).To(BeNumerically("<=", time.Second+budgetPlan), "one call of the hot customer ends, and the next plan begins")
	}
	g.Expect(l.sent["hot"]).To(BeNumerically(">=", 200), "what the others leave")
}

// Guards against short urgent calls of a customer that wait since its own wide gangs take more than its share.
func TestWideGangsDontPutOffShortCallsOfTheirCustomer(t *testing.T) {
	g := NewWithT(t)
	b := NewBudget()
	b.Begin(2, 1000)
	wide := Want{Customer: "a", Weight: 1, Priority: 1}
	other := Want{Customer: "b", Weight: 1, Priority: 2}
	g.Expect(b.Grants(other, 1000)).To(BeTrue())
	g.Expect(b.Grants(wide, 1000)).To(BeTrue())
	for range 3 {
		b.Sent(wide, time.Second, 1000)
	}
	g.Expect(b.Grants(wide, 1001)).To(BeFalse())
	g.Expect(b.Grants(Want{Customer: "a", Weight: 1, Priority: 0}, 1001)).To(BeTrue())
	g.Expect(b.Grants(Want{Customer: "a", Weight: 1, Priority: 2}, 1001)).To(BeFalse(), "its gangs count against what is less urgent")
}

// Guards against a backlog of late work whose long calls hold all processes when work in time arrives, and that is not got through when none does.
func TestBacklogOfLateWork(t *testing.T) {
	g := NewWithT(t)
	l := newBudgetLoad(12)
	inTime := Want{Customer: "a", Weight: 1}
	for range 100 {
		l.add(Want{Customer: "a", Weight: 1, Standing: worth.Late, Late: true}, 1500*time.Millisecond)
	}
	for n := range 500 {
		for range 12 {
			if n < 250 {
				l.add(inTime, 400*time.Millisecond)
			}
		}
		l.plan()
		if n < 250 {
			g.Expect(l.lateOut).To(BeNumerically("<=", 3))
		}
		l.waiting = slices.DeleteFunc(l.waiting, func(w waitingCall) bool { return !w.want.Late })
	}
	g.Expect(l.lateOut).To(Equal(12))
}

// Guards against shares that have an effect where the configuration names no customers.
func TestNobodysSurge(t *testing.T) {
	g := NewWithT(t)
	b := NewBudget()
	b.Begin(2, 1000)
	for n := range 100 {
		w := Want{Place: n}
		g.Expect(b.Grants(w, 1000)).To(BeTrue())
		b.Sent(w, time.Second, 1000)
	}
	g.Expect(b.PutOff(worth.Late, 1000)).To(BeEmpty())
}
