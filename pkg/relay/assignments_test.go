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

const startTime = clock.Time(100_000)

func workerID(n int) dispatch.WorkerID {
	return dispatch.WorkerID(fmt.Sprintf("w%d", n))
}

// newTestAssignments returns assignments with a number of workers and hosts of strength 100, all in
// hall "h".
func newTestAssignments(workers int, hosts ...string) *Assignments {
	a := NewAssignments(func(string) bool { return false }, 0)
	for n := range workers {
		a.AddWorker(workerID(n), "h")
	}
	for _, name := range hosts {
		a.AddHost(name, "h", 100, MaxWorkersPerRelay)
	}
	return a
}

func TestOwnerCallsAFewWorkersItself(t *testing.T) {
	g := NewWithT(t)
	a := newTestAssignments(minWorkersForRelays-1, "a")
	name, changed := a.Assign("w0", startTime)
	g.Expect(name).To(BeEmpty())
	g.Expect(changed).To(BeFalse())
	a.AddWorker("last", "h")
	name, changed = a.Assign("w0", startTime)
	g.Expect(name).To(Equal("a"))
	g.Expect(changed).To(BeTrue())
	_, changed = a.Assign("w0", startTime)
	g.Expect(changed).To(BeFalse())
	g.Expect(a.RelayedWorkers()).To(Equal(1))
}

func TestChosenHost(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(*Assignments)
		want    string
	}{
		"none": {func(*Assignments) {}, ""},
		"the worker's hall": {func(a *Assignments) {
			a.AddHost("a", "g", 100, MaxWorkersPerRelay)
			a.AddHost("b", "h", 20, MaxWorkersPerRelay)
		}, "b"},
		"the stronger one": {func(a *Assignments) {
			a.AddHost("a", "h", 20, MaxWorkersPerRelay)
			a.AddHost("b", "h", 100, MaxWorkersPerRelay)
		}, "b"},
		"the one that serves more workers": {func(a *Assignments) {
			a.AddHost("a", "h", 100, MaxWorkersPerRelay)
			a.AddHost("b", "h", 100, MaxWorkersPerRelay)
			a.hosts["b"].workers = 5
		}, "b"},
		"another hall's, if full": {func(a *Assignments) {
			a.AddHost("a", "g", 20, MaxWorkersPerRelay)
			a.AddHost("b", "h", 100, MaxWorkersPerRelay)
			a.hosts["b"].workers = MaxWorkersPerRelay
		}, "a"},
		"the first by name": {func(a *Assignments) {
			a.AddHost("b", "h", 100, MaxWorkersPerRelay)
			a.AddHost("a", "h", 100, MaxWorkersPerRelay)
		}, "a"},
		"none that is stopping": {func(a *Assignments) {
			a.IsStopping = func(name string) bool { return name == "a" }
			a.AddHost("a", "h", 100, MaxWorkersPerRelay)
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			a := newTestAssignments(minWorkersForRelays)
			c.prepare(a)
			got, _ := a.Assign("w0", startTime)
			NewWithT(t).Expect(got).To(Equal(c.want))
		})
	}
}

func TestNoHostServesMoreThanItsLimit(t *testing.T) {
	g := NewWithT(t)
	a := newTestAssignments(minWorkersForRelays, "a", "b")
	for n := range minWorkersForRelays {
		a.Assign(workerID(n), startTime)
	}
	g.Expect(a.hosts["a"].workers).To(Equal(MaxWorkersPerRelay))
	g.Expect(a.RelayedWorkers()).To(Equal(2 * MaxWorkersPerRelay))
}

func TestWorkerOfALostHostIsReassigned(t *testing.T) {
	g := NewWithT(t)
	a := newTestAssignments(minWorkersForRelays, "a")
	a.Assign("w0", startTime)
	a.RemoveHost("a")
	g.Expect(a.Assigned("w0", startTime)).To(BeEmpty())
	a.AddHost("b", "h", 100, MaxWorkersPerRelay)
	name, changed := a.Assign("w0", startTime)
	g.Expect(name).To(Equal("b"))
	g.Expect(changed).To(BeTrue())
}

func TestReconnectedHostCountsAsNew(t *testing.T) {
	g := NewWithT(t)
	a := newTestAssignments(minWorkersForRelays, "a")
	a.Assign("w0", startTime)
	a.AddHost("a", "h", 100, MaxWorkersPerRelay)
	g.Expect(a.Assigned("w0", startTime)).To(BeEmpty())
	_, changed := a.Assign("w0", startTime)
	g.Expect(changed).To(BeTrue(), "orders that the previous process still has must be fenced")
}

func TestOwnerCallsAWorkerItselfAfterMissedResults(t *testing.T) {
	g := NewWithT(t)
	a := newTestAssignments(minWorkersForRelays, "a")
	a.Assign("w0", startTime)
	a.Assign("w1", startTime)
	a.RecordResult("w0", "a", false, startTime)
	a.RecordResult("w0", "a", true, startTime)
	a.RecordResult("w0", "a", false, startTime)
	name, _ := a.Assign("w0", startTime)
	g.Expect(name).To(Equal("a"), "a single order may be lost on the network")
	a.RecordResult("w0", "a", false, startTime)
	name, changed := a.Assign("w0", startTime)
	g.Expect(name).To(BeEmpty())
	g.Expect(changed).To(BeTrue())
	g.Expect(a.Assigned("w1", startTime)).To(Equal("a"), "another worker's calls may have results")
	name, _ = a.Assign("w0", startTime.Add(directDuration))
	g.Expect(name).To(Equal("a"))
}

func TestHostWithoutResultsIsSuspectedForATime(t *testing.T) {
	g := NewWithT(t)
	a := newTestAssignments(minWorkersForRelays, "a")
	for n := range maxHostMisses {
		a.Assign(workerID(n), startTime)
	}
	a.RecordResult("w0", "a", false, startTime)
	a.RecordResult("w1", "a", true, startTime)
	for n := range maxHostMisses - 1 {
		g.Expect(a.RecordResult(workerID(n), "a", false, startTime)).To(BeFalse())
	}
	g.Expect(a.RecordResult("w0", "a", false, startTime)).To(BeTrue())
	g.Expect(a.Assigned("w1", startTime)).To(BeEmpty())
	g.Expect(a.Assigned("w1", startTime.Add(suspectDuration))).To(Equal("a"))
}

func TestRemovedWorkerFreesItsPlace(t *testing.T) {
	g := NewWithT(t)
	a := newTestAssignments(minWorkersForRelays, "a")
	a.Assign("w0", startTime)
	a.RemoveWorker("w0")
	g.Expect(a.RelayedWorkers()).To(Equal(0))
	name, changed := a.Assign("w0", startTime)
	g.Expect(name).To(BeEmpty())
	g.Expect(changed).To(BeFalse())
}

func TestHostSearchIsNotRepeatedAtOnce(t *testing.T) {
	g := NewWithT(t)
	a := newTestAssignments(minWorkersForRelays)
	a.Assign("w0", startTime)
	a.hosts["a"] = &host{name: "a", hall: "h", maxWorkers: MaxWorkersPerRelay}
	name, _ := a.Assign("w1", startTime.Add(time.Millisecond))
	g.Expect(name).To(BeEmpty())
	name, _ = a.Assign("w1", startTime.Add(chooseRetryDelay))
	g.Expect(name).To(Equal("a"))
}

// Guards against an owner that calls all 120 workers over its own link of 2 Mbit/s. The calls
// filled the link and timed out, were made again over new connections, and so filled it further:
// 920 calls took 12,969 new connections, and 0.094 of the requests of a day were served.
func TestOwnerWithASmallLinkUsesRelays(t *testing.T) {
	g := NewWithT(t)
	const mbps = 2
	fits := MaxWorkersForLink(mbps)
	g.Expect(fits * callBytesPerWorker).To(BeNumerically("<=", workerCallLinkShare*traffic.BytesPerSecond(mbps)))
	a := NewAssignments(func(string) bool { return false }, mbps)
	for n := range 5 {
		a.AddHost(fmt.Sprintf("host-%d", n), "h", mbps, fits)
	}
	for n := range 120 {
		a.AddWorker(workerID(n), "h")
	}
	for n := range 120 {
		a.Assign(workerID(n), startTime)
	}
	g.Expect(a.RelayedWorkers()).To(Equal(120))
	for _, h := range a.hosts {
		g.Expect(h.workers).To(BeNumerically("<=", fits))
	}
}

func TestMaxWorkersForLink(t *testing.T) {
	g := NewWithT(t)
	g.Expect(MaxWorkersForLink(0)).To(BeNumerically(">", 1<<20), "unknown bandwidth")
	g.Expect(MaxWorkersForLink(0.001)).To(Equal(1))
	g.Expect(MaxWorkersForLink(2)).To(Equal(28))
	g.Expect(MaxWorkersForLink(100)).To(BeNumerically(">", minWorkersForRelays))
}

// However hosts and workers come and go, the chosen host is the one that a search of all hosts
// finds.
func TestCachedChoiceIsTheBestHost(t *testing.T) {
	g := NewWithT(t)
	r := rand.New(rand.NewPCG(1, 0))
	a := NewAssignments(func(string) bool { return false }, 0.001)
	now := startTime
	for range 20_000 {
		name := fmt.Sprintf("host-%d", r.IntN(12))
		id, hall := workerID(r.IntN(300)), fmt.Sprintf("hall-%d", r.IntN(3))
		switch r.IntN(10) {
		case 0:
			if a.hosts[name] == nil {
				a.AddHost(name, hall, 20*r.IntN(3), 1+r.IntN(30))
			}
		case 1:
			if r.IntN(20) == 0 {
				a.RemoveHost(name)
			}
		case 2:
			a.RemoveWorker(id)
		default:
			if a.workers[id] == nil {
				a.AddWorker(id, hall)
			}
			a.noRoomUntil = 0
			if w := a.workers[id]; w.host == nil {
				want := a.bestHost(w.hall, now)
				g.Expect(a.chooseHost(w.hall, now)).To(BeIdenticalTo(want))
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
					a.AddHost(fmt.Sprintf("host-%d", n), fmt.Sprintf("hall-%d", n%6), 20+80*(n%8/7), MaxWorkersPerRelay)
				}
				for n := range size.workers {
					a.AddWorker(workerID(n), fmt.Sprintf("hall-%d", n%6))
				}
				for n := range size.workers {
					a.Assign(workerID(n), startTime)
				}
			}
		})
	}
}
