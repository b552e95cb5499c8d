package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/traffic"
	. "github.com/onsi/gomega"
)

const start = clock.Time(100_000)

func workerID(n int) dispatch.WorkerID {
	return dispatch.WorkerID(fmt.Sprintf("w%d", n))
}

// newTestAssignments returns assignments with a number of workers and hosts of strength 100, all in
// hall "h".
func assigned(workers int, hosts ...string) *Assignments {
	a := NewAssignments(func(string) bool { return false }, 0)
	for n := range workers {
		a.PutWorker(workerID(n), "h")
	}
	for _, name := range hosts {
		a.PutHost(name, "h", 100, WorkersPerHost)
	}
	return a
}

func TestAFewWorkersAreLeftToTheOwner(t *testing.T) {
	g := NewWithT(t)
	a := assigned(leastWorkers-1, "a")
	name, changed := a.Assign("w0", start)
	g.Expect(name).To(BeEmpty())
	g.Expect(changed).To(BeFalse())
	a.PutWorker("last", "h")
	name, changed = a.Assign("w0", start)
	g.Expect(name).To(Equal("a"))
	g.Expect(changed).To(BeTrue())
	_, changed = a.Assign("w0", start)
	g.Expect(changed).To(BeFalse())
	g.Expect(a.Count()).To(Equal(1))
}

func TestChosenHost(t *testing.T) {
	for name, c := range map[string]struct {
		put  func(*Assignments)
		want string
	}{
		"none": {func(*Assignments) {}, ""},
		"the worker's hall": {func(a *Assignments) {
			a.PutHost("a", "g", 100, WorkersPerHost)
			a.PutHost("b", "h", 20, WorkersPerHost)
		}, "b"},
		"the stronger one": {func(a *Assignments) {
			a.PutHost("a", "h", 20, WorkersPerHost)
			a.PutHost("b", "h", 100, WorkersPerHost)
		}, "b"},
		"the one that serves more workers": {func(a *Assignments) {
			a.PutHost("a", "h", 100, WorkersPerHost)
			a.PutHost("b", "h", 100, WorkersPerHost)
			a.hosts["b"].workers = 5
		}, "b"},
		"another hall's, if full": {func(a *Assignments) {
			a.PutHost("a", "g", 20, WorkersPerHost)
			a.PutHost("b", "h", 100, WorkersPerHost)
			a.hosts["b"].workers = WorkersPerHost
		}, "a"},
		"the first by name": {func(a *Assignments) {
			a.PutHost("b", "h", 100, WorkersPerHost)
			a.PutHost("a", "h", 100, WorkersPerHost)
		}, "a"},
		"none that is stopping": {func(a *Assignments) {
			a.Stopping = func(name string) bool { return name == "a" }
			a.PutHost("a", "h", 100, WorkersPerHost)
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			a := assigned(leastWorkers)
			c.put(a)
			got, _ := a.Assign("w0", start)
			NewWithT(t).Expect(got).To(Equal(c.want))
		})
	}
}

func TestNoHostServesMoreThanItsShare(t *testing.T) {
	g := NewWithT(t)
	a := assigned(leastWorkers, "a", "b")
	for n := range leastWorkers {
		a.Assign(workerID(n), start)
	}
	g.Expect(a.hosts["a"].workers).To(Equal(WorkersPerHost))
	g.Expect(a.Count()).To(Equal(2 * WorkersPerHost))
}

func TestWorkerOfALostHostMovesOn(t *testing.T) {
	g := NewWithT(t)
	a := assigned(leastWorkers, "a")
	a.Assign("w0", start)
	a.RemoveHost("a")
	g.Expect(a.Assigned("w0", start)).To(BeEmpty())
	a.PutHost("b", "h", 100, WorkersPerHost)
	name, changed := a.Assign("w0", start)
	g.Expect(name).To(Equal("b"))
	g.Expect(changed).To(BeTrue())
}

func TestHostThatCameAgainIsAnotherOne(t *testing.T) {
	g := NewWithT(t)
	a := assigned(leastWorkers, "a")
	a.Assign("w0", start)
	a.PutHost("a", "h", 100, WorkersPerHost)
	g.Expect(a.Assigned("w0", start)).To(BeEmpty())
	_, changed := a.Assign("w0", start)
	g.Expect(changed).To(BeTrue(), "orders that the previous process still has must be fenced")
}

func TestOrdersWithoutAResultLeaveTheNextCallsToTheOwner(t *testing.T) {
	g := NewWithT(t)
	a := assigned(leastWorkers, "a")
	a.Assign("w0", start)
	a.Assign("w1", start)
	a.Answered("w0", "a", false, start)
	a.Answered("w0", "a", true, start)
	a.Answered("w0", "a", false, start)
	name, _ := a.Assign("w0", start)
	g.Expect(name).To(Equal("a"), "a single order may be lost on the network")
	a.Answered("w0", "a", false, start)
	name, changed := a.Assign("w0", start)
	g.Expect(name).To(BeEmpty())
	g.Expect(changed).To(BeTrue())
	g.Expect(a.Assigned("w1", start)).To(Equal("a"), "another worker's calls may have results")
	name, _ = a.Assign("w0", start.Add(directFor))
	g.Expect(name).To(Equal("a"))
}

func TestHostWithoutResultsIsLeftForATime(t *testing.T) {
	g := NewWithT(t)
	a := assigned(leastWorkers, "a")
	for n := range mostDoubts {
		a.Assign(workerID(n), start)
	}
	a.Answered("w0", "a", false, start)
	a.Answered("w1", "a", true, start)
	for n := range mostDoubts - 1 {
		g.Expect(a.Answered(workerID(n), "a", false, start)).To(BeFalse())
	}
	g.Expect(a.Answered("w0", "a", false, start)).To(BeTrue())
	g.Expect(a.Assigned("w1", start)).To(BeEmpty())
	g.Expect(a.Assigned("w1", start.Add(suspectFor))).To(Equal("a"))
}

func TestRemovedWorkerGivesItsRoomBack(t *testing.T) {
	g := NewWithT(t)
	a := assigned(leastWorkers, "a")
	a.Assign("w0", start)
	a.RemoveWorker("w0")
	g.Expect(a.Count()).To(Equal(0))
	name, changed := a.Assign("w0", start)
	g.Expect(name).To(BeEmpty())
	g.Expect(changed).To(BeFalse())
}

func TestNoHostIsLookedForAgainAtOnce(t *testing.T) {
	g := NewWithT(t)
	a := assigned(leastWorkers)
	a.Assign("w0", start)
	a.hosts["a"] = &host{name: "a", hall: "h", most: WorkersPerHost}
	name, _ := a.Assign("w1", start.Add(time.Millisecond))
	g.Expect(name).To(BeEmpty())
	name, _ = a.Assign("w1", start.Add(chooseAgain))
	g.Expect(name).To(Equal("a"))
}

// Guards against an owner that calls all 120 workers over its own link of 2 Mbit/s. The calls
// filled the link and timed out, were made again over new connections, and so filled it further:
// 920 calls took 12,969 new connections, and 0.094 of the requests of a day were served.
func TestOwnerWithASmallLinkLeavesFewWorkersToItself(t *testing.T) {
	g := NewWithT(t)
	const mbps = 2
	fits := WorkersOnLink(mbps)
	g.Expect(fits * callBytes).To(BeNumerically("<=", linkShare*traffic.BytesPerSecond(mbps)))
	a := NewAssignments(func(string) bool { return false }, mbps)
	for n := range 5 {
		a.PutHost(fmt.Sprintf("host-%d", n), "h", mbps, fits)
	}
	for n := range 120 {
		a.PutWorker(workerID(n), "h")
	}
	for n := range 120 {
		a.Assign(workerID(n), start)
	}
	g.Expect(a.Count()).To(Equal(120))
	for _, h := range a.hosts {
		g.Expect(h.workers).To(BeNumerically("<=", fits))
	}
}

func TestWorkersOnALink(t *testing.T) {
	g := NewWithT(t)
	g.Expect(WorkersOnLink(0)).To(BeNumerically(">", 1<<20), "unknown bandwidth")
	g.Expect(WorkersOnLink(0.001)).To(Equal(1))
	g.Expect(WorkersOnLink(2)).To(Equal(28))
	g.Expect(WorkersOnLink(100)).To(BeNumerically(">", leastWorkers))
}

// However hosts and workers come and go, the chosen host is the one that a search of all hosts
// finds.
func TestChosenHostIsTheBestOfAll(t *testing.T) {
	g := NewWithT(t)
	r := rand.New(rand.NewPCG(1, 0))
	a := NewAssignments(func(string) bool { return false }, 0.001)
	now := start
	for range 20_000 {
		name := fmt.Sprintf("host-%d", r.IntN(12))
		id, hall := workerID(r.IntN(300)), fmt.Sprintf("hall-%d", r.IntN(3))
		switch r.IntN(10) {
		case 0:
			if a.hosts[name] == nil {
				a.PutHost(name, hall, 20*r.IntN(3), 1+r.IntN(30))
			}
		case 1:
			if r.IntN(20) == 0 {
				a.RemoveHost(name)
			}
		case 2:
			a.RemoveWorker(id)
		default:
			if a.workers[id] == nil {
				a.PutWorker(id, hall)
			}
			a.missingUntil = 0
			if w := a.workers[id]; w.host == nil {
				want := a.bestHost(w.hall, now)
				g.Expect(a.choose(w.hall, now)).To(BeIdenticalTo(want))
			}
			a.Assign(id, now)
		}
		now = now.Add(time.Millisecond)
	}
}

// BenchmarkAssignAll measures a takeover, which assigns every worker once.
func BenchmarkAssignAll(b *testing.B) {
	for _, size := range []struct{ workers, hosts int }{{1100, 147}, {6000, 588}, {12000, 1176}} {
		b.Run(fmt.Sprintf("%d-%d", size.workers, size.hosts), func(b *testing.B) {
			for b.Loop() {
				a := NewAssignments(func(string) bool { return false }, 0)
				for n := range size.hosts {
					a.PutHost(fmt.Sprintf("host-%d", n), fmt.Sprintf("hall-%d", n%6), 20+80*(n%8/7), WorkersPerHost)
				}
				for n := range size.workers {
					a.PutWorker(workerID(n), fmt.Sprintf("hall-%d", n%6))
				}
				for n := range size.workers {
					a.Assign(workerID(n), start)
				}
			}
		})
	}
}
