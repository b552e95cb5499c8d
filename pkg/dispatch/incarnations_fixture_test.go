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

// testIncarnation is one incarnation of a worker in these tests, with what it answers to polls and
// starts.
type life struct {
	id     WorkerID
	number int
	born   int64
	// clockLag is how far its clock is behind that of the fixture, in ms.
	behind int64
}

func newLife(n int, startedAt, clockLag int64) life {
	return life{id: lifeID(n, startedAt), number: n, born: startedAt, behind: clockLag}
}

// incarnationID returns the ID of an incarnation of worker n.
func lifeID(n int, startedAt int64) WorkerID {
	return NewWorkerID(string(workerID(n)), startedAt)
}

func (inc life) info() WorkerInfo {
	return WorkerInfo{
		ID: inc.id, Pool: "pool", Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", inc.number+1)), Rack: "r1-1",
		Capacity: cell.Resources{CPUMillis: 4000, MemoryMB: 8000},
	}
}

// The first incarnation of worker n starts before all else in a test, and the second 100 s later.
const (
	firstBorn  = 1_700_000_000_000
	secondBorn = firstBorn + 100_000
	thirdBorn  = secondBorn + 700
)

func firstLife(n int) life  { return newLife(n, firstBorn, 0) }
func secondLife(n int) life { return newLife(n, secondBorn, 49_000) }
func thirdLife(n int) life  { return newLife(n, thirdBorn, 49_700) }

// addEntry adds the entry of an incarnation to the store and the worker to the roster.
func (f *fixture) lists(inc life) {
	f.pool.UpsertWorker(inc.info(), true, f.now)
	f.pool.MarkInRoster([]WorkerID{inc.id})
}

// removeEntry removes the entry of a worker.
func (f *fixture) entryGoes(inc life) {
	f.pool.RemoveEntryByName(inc.id.Name(), false, f.now)
}

// newPoll returns the next poll that is sent to an incarnation; raise says that it has a higher token.
func (f *fixture) hold(to life, raise bool) PollOrder {
	poll, ok := f.pool.NewPoll(to.id, raise, true, f.now)
	f.Expect(ok).To(BeTrue(), "there is a poll for %s", to.id)
	f.pass(time.Millisecond)
	return poll
}

// answerPoll has the incarnation by answer a poll, whichever incarnation the poll was sent to.
func (f *fixture) answers(poll PollOrder, by life, r Report) {
	r.IncarnationStart = by.born
	f.pool.HandlePollAnswer(poll, Answer{Verdict: VerdictDone, Clock: f.workerClock - by.behind}, r, f.now)
}

// pollAndReport polls an incarnation, which answers with r.
func (f *fixture) reports(inc life, r Report) {
	f.answers(f.hold(inc, false), inc, r)
}

// beginIncarnation adds the entry of an incarnation and has it answer its first poll.
func (f *fixture) begins(inc life, r Report) {
	f.lists(inc)
	f.reports(inc, r)
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

// newIncarnationFixture returns a fixture with workers in their first incarnations, which have answered a
// poll.
func newLives(t *testing.T, workers int, change func(*Config)) *fixture {
	f := newFixture(t, 0, change)
	for n := range workers {
		f.begins(firstLife(n), Report{})
	}
	return f
}

// planOneStart returns the only start of the next plan.
func (f *fixture) onlyStart() StartOrder {
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(1))
	return starts[0]
}

// surviveStarts has an incarnation report runs for so long that its later end is not attributed to their
// starts.
func (f *fixture) survives(inc life, starts ...StartOrder) {
	f.reports(inc, listed(starts...))
	f.pass(crash.SurvivalTime + 50*time.Millisecond)
	f.reports(inc, listed(starts...))
}

// startsWithinOneSecond returns what is started within a second in which an incarnation repeats the
// report r. Tasks that may have crashed a worker are stored before they are started.
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

// oneStartWithinOneSecond returns the only start of startsWithinOneSecond.
func (f *fixture) onlyStartAgain(by life, r Report) StartOrder {
	starts := f.startsAgain(by, r)
	f.Expect(starts).To(HaveLen(1))
	return starts[0]
}

// completeOnFirst completes a task on the first incarnation of worker 0, as end 7, which is committed.
func (f *fixture) doneOnFirst(id string) {
	f.add(testJob(id, testStep(1)))
	s := f.onlyStart()
	f.acceptBy(s, firstLife(0))
	f.reports(firstLife(0), f.end(s, 7, EndDone))
	f.pool.ApplyCommit(f.pool.PrepareCommit())
}
