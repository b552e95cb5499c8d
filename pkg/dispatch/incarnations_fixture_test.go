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
type testIncarnation struct {
	id           WorkerID
	workerNumber int
	startedAt    int64
	// clockLag is how far its clock is behind that of the fixture, in ms.
	clockLag int64
}

func newTestIncarnation(n int, startedAt, clockLag int64) testIncarnation {
	return testIncarnation{id: incarnationID(n, startedAt), workerNumber: n, startedAt: startedAt, clockLag: clockLag}
}

// incarnationID returns the ID of an incarnation of worker n.
func incarnationID(n int, startedAt int64) WorkerID {
	return NewWorkerID(string(workerID(n)), startedAt)
}

func (inc testIncarnation) info() WorkerInfo {
	return WorkerInfo{
		ID: inc.id, Pool: "pool", Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", inc.workerNumber+1)), Rack: "r1-1",
		Capacity: cell.Resources{CPUMillis: 4000, MemoryMB: 8000},
	}
}

// The first incarnation of worker n starts before all else in a test, and the second 100 s later.
const (
	firstStartedAt  = 1_700_000_000_000
	secondStartedAt = firstStartedAt + 100_000
	thirdStartedAt  = secondStartedAt + 700
)

func firstIncarnation(n int) testIncarnation  { return newTestIncarnation(n, firstStartedAt, 0) }
func secondIncarnation(n int) testIncarnation { return newTestIncarnation(n, secondStartedAt, 49_000) }
func thirdIncarnation(n int) testIncarnation  { return newTestIncarnation(n, thirdStartedAt, 49_700) }

// addEntry adds the entry of an incarnation to the store and the worker to the roster.
func (f *fixture) addEntry(inc testIncarnation) {
	f.pool.UpsertWorker(inc.info(), true, f.now)
	f.pool.MarkInRoster([]WorkerID{inc.id})
}

// removeEntry removes the entry of a worker.
func (f *fixture) removeEntry(inc testIncarnation) {
	f.pool.RemoveEntryByName(inc.id.Name(), false, f.now)
}

// newPoll returns the next poll that is sent to an incarnation; raise says that it has a higher token.
func (f *fixture) newPoll(to testIncarnation, raise bool) PollOrder {
	poll, ok := f.pool.NewPoll(to.id, raise, true, f.now)
	f.Expect(ok).To(BeTrue(), "there is a poll for %s", to.id)
	f.advance(time.Millisecond)
	return poll
}

// answerPoll has the incarnation by answer a poll, whichever incarnation the poll was sent to.
func (f *fixture) answerPoll(poll PollOrder, by testIncarnation, r Report) {
	r.IncarnationStart = by.startedAt
	f.pool.HandlePollAnswer(poll, Answer{Verdict: VerdictDone, Clock: f.workerClock - by.clockLag}, r, f.now)
}

// pollAndReport polls an incarnation, which answers with r.
func (f *fixture) pollAndReport(inc testIncarnation, r Report) {
	f.answerPoll(f.newPoll(inc, false), inc, r)
}

// beginIncarnation adds the entry of an incarnation and has it answer its first poll.
func (f *fixture) beginIncarnation(inc testIncarnation, r Report) {
	f.addEntry(inc)
	f.pollAndReport(inc, r)
	f.advance(time.Millisecond)
}

func (f *fixture) acceptFrom(s StartOrder, by testIncarnation) {
	f.pool.HandleStartAnswer(s, Answer{Verdict: VerdictDone, Clock: f.workerClock - by.clockLag}, nil, f.now)
}

func (f *fixture) failStart(s StartOrder) {
	f.pool.HandleStartAnswer(s, Answer{}, fmt.Errorf("no answer"), f.now)
}

func activeRunOf(s StartOrder) ActiveRun {
	return ActiveRun{Task: s.Task, Run: s.Run, Percent: 10}
}

func activeReport(starts ...StartOrder) Report {
	var r Report
	for _, s := range starts {
		r.Active = append(r.Active, activeRunOf(s))
	}
	return r
}

// newIncarnationFixture returns a fixture with workers in their first incarnations, which have answered a
// poll.
func newIncarnationFixture(t *testing.T, workers int, change func(*Config)) *fixture {
	f := newFixture(t, 0, change)
	for n := range workers {
		f.beginIncarnation(firstIncarnation(n), Report{})
	}
	return f
}

// planOneStart returns the only start of the next plan.
func (f *fixture) planOneStart() StartOrder {
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(1))
	return starts[0]
}

// surviveStarts has an incarnation report runs for so long that its later end is not attributed to their
// starts.
func (f *fixture) surviveStarts(inc testIncarnation, starts ...StartOrder) {
	f.pollAndReport(inc, activeReport(starts...))
	f.advance(crash.SurvivalTime + 50*time.Millisecond)
	f.pollAndReport(inc, activeReport(starts...))
}

// startsWithinOneSecond returns what is started within a second in which an incarnation repeats the
// report r. Tasks that may have crashed a worker are stored before they are started.
func (f *fixture) startsWithinOneSecond(by testIncarnation, r Report) []StartOrder {
	var starts []StartOrder
	for range 10 {
		f.advance(100 * time.Millisecond)
		f.pollAndReport(by, r)
		starts = append(starts, f.plan().Starts...)
		f.pool.ApplyCommit(f.pool.PrepareCommit())
	}
	return starts
}

// oneStartWithinOneSecond returns the only start of startsWithinOneSecond.
func (f *fixture) oneStartWithinOneSecond(by testIncarnation, r Report) StartOrder {
	starts := f.startsWithinOneSecond(by, r)
	f.Expect(starts).To(HaveLen(1))
	return starts[0]
}

// completeOnFirst completes a task on the first incarnation of worker 0, as end 7, which is committed.
func (f *fixture) completeOnFirst(id string) {
	f.add(testJob(id, testStep(1)))
	s := f.planOneStart()
	f.acceptFrom(s, firstIncarnation(0))
	f.pollAndReport(firstIncarnation(0), f.endReport(s, 7, EndDone))
	f.pool.ApplyCommit(f.pool.PrepareCommit())
}
