package dispatch

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/crash"
	. "github.com/onsi/gomega"
)

// The lives of workers in these tests, and what they answer.

// life is one life of a worker, as it answers.
type life struct {
	id     WorkerID
	number int
	born   int64
	// behind is how far its clock is behind that of the fixture, in ms.
	behind int64
}

func newLife(n int, born, behind int64) life {
	return life{id: lifeID(n, born), number: n, born: born, behind: behind}
}

// lifeID names a life of worker n.
func lifeID(n int, born int64) WorkerID {
	return NewWorkerID(string(workerID(n)), born)
}

func (l life) info() WorkerInfo {
	return WorkerInfo{
		ID: l.id, Pool: "pool", Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", l.number+1)), Rack: "r1-1",
		Capacity: cell.Resources{CPUMillis: 4000, MemoryMB: 8000},
	}
}

// The first life of worker n was born before everything, and the second some 100 s after it.
const (
	firstBorn  = 1_700_000_000_000
	secondBorn = firstBorn + 100_000
	thirdBorn  = secondBorn + 700
)

func firstLife(n int) life  { return newLife(n, firstBorn, 0) }
func secondLife(n int) life { return newLife(n, secondBorn, 49_000) }
func thirdLife(n int) life  { return newLife(n, thirdBorn, 49_700) }

// lists has the entry of a life stand in the store, and the roster written.
func (f *fixture) lists(l life) {
	f.pool.UpsertWorker(l.info(), true, f.now)
	f.pool.MarkInRoster([]WorkerID{l.id})
}

// entryGoes has the entry of a worker go.
func (f *fixture) entryGoes(l life) {
	f.pool.RemoveEntryByName(l.id.Name(), false, f.now)
}

// hold is the next hold that is sent to a life.
func (f *fixture) hold(to life, raise bool) PollOrder {
	h, ok := f.pool.NewPoll(to.id, raise, true, f.now)
	f.Expect(ok).To(BeTrue(), "there is a hold for %s", to.id)
	f.pass(time.Millisecond)
	return h
}

// answers has a life answer a hold, whichever life that was sent to.
func (f *fixture) answers(h PollOrder, by life, r Report) {
	r.IncarnationStart = by.born
	f.pool.HandlePollAnswer(h, Answer{Verdict: VerdictDone, Clock: f.workerClock - by.behind}, r, f.now)
}

// reports has a life answer a hold that was sent to it.
func (f *fixture) reports(l life, r Report) {
	f.answers(f.hold(l, false), l, r)
}

// begins has the entry of a life be read, and its first lists.
func (f *fixture) begins(l life, r Report) {
	f.lists(l)
	f.reports(l, r)
	f.pass(time.Millisecond)
}

func (f *fixture) acceptBy(s StartOrder, by life) {
	f.pool.HandleStartAnswer(s, Answer{Verdict: VerdictDone, Clock: f.workerClock - by.behind}, nil, f.now)
}

func (f *fixture) noAnswer(s StartOrder) {
	f.pool.HandleStartAnswer(s, Answer{}, fmt.Errorf("no answer"), f.now)
}

func activeRow(s StartOrder) ActiveRun {
	return ActiveRun{Task: s.Task, Run: s.Run, Percent: 10}
}

func listed(starts ...StartOrder) Report {
	var r Report
	for _, s := range starts {
		r.Active = append(r.Active, activeRow(s))
	}
	return r
}

// newLives is a fixture with workers in their first lives, which answer.
func newLives(t *testing.T, workers int, change func(*Config)) *fixture {
	f := newFixture(t, 0, change)
	for n := range workers {
		f.begins(firstLife(n), Report{})
	}
	return f
}

// onlyStart is the one start of the next plan.
func (f *fixture) onlyStart() StartOrder {
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(1))
	return starts[0]
}

// survives has a life list runs until their starts are known not to be what ends it.
func (f *fixture) survives(l life, starts ...StartOrder) {
	f.reports(l, listed(starts...))
	f.pass(crash.SurvivalTime + 50*time.Millisecond)
	f.reports(l, listed(starts...))
}

// startsAgain is what is started within a second in which a life goes on to list the same. What may have crashed a worker is stored
// before it is started.
func (f *fixture) startsAgain(by life, r Report) []StartOrder {
	var starts []StartOrder
	for range 10 {
		f.pass(100 * time.Millisecond)
		f.reports(by, r)
		starts = append(starts, f.plan().Starts...)
		f.pool.ApplyCommit(f.pool.PrepareCommit())
	}
	return starts
}

// onlyStartAgain is the one start of startsAgain.
func (f *fixture) onlyStartAgain(by life, r Report) StartOrder {
	starts := f.startsAgain(by, r)
	f.Expect(starts).To(HaveLen(1))
	return starts[0]
}

// doneOnFirst has a task done on the first life of worker 0, as end 7, which is noted.
func (f *fixture) doneOnFirst(id string) {
	f.add(testJob(id, testStep(1)))
	s := f.onlyStart()
	f.acceptBy(s, firstLife(0))
	f.reports(firstLife(0), f.end(s, 7, EndDone))
	f.pool.ApplyCommit(f.pool.PrepareCommit())
}
