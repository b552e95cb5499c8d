package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// laterClockIncarnation is a next incarnation of worker n whose clock is ahead of that of the first.
func laterClockIncarnation(n int) testIncarnation {
	return newTestIncarnation(n, secondStartedAt, -30_000)
}

// The next incarnation answers a stop that was meant for the first one, with a clock that is ahead.
func TestStopAnswerOfTheNextIncarnationDoesNotHideACrash(t *testing.T) {
	for name, c := range map[string]struct{ stopAnswered bool }{
		"no stop is answered":                      {false},
		"the next incarnation has answered a stop": {true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newIncarnationFixture(t, 1, nil)
			f.add(testJob("b", testStep(1)))
			other := f.planOneStart()
			f.acceptFrom(other, firstIncarnation(0))
			f.surviveStarts(firstIncarnation(0), other)
			f.add(testJob("a", testStep(1)))
			s := f.planOneStart()
			f.acceptFrom(s, firstIncarnation(0))
			f.advance(20 * time.Millisecond) // the worker crashes
			f.pool.Cancel("b")
			stops := f.plan().Stops
			f.Expect(stops).To(HaveLen(1))
			f.advance(600 * time.Millisecond)
			next := laterClockIncarnation(0)
			if c.stopAnswered {
				f.pool.HandleStopAnswer(stops[0], Answer{Verdict: VerdictDone, Clock: f.workerClock - next.clockLag}, f.now)
			}
			f.beginIncarnation(next, Report{})
			f.pollAndReport(next, Report{})
			f.Expect(f.pool.jobs["a"].occurrences[0].steps[0].tasks[0].crash.Crashes()).To(HaveLen(1), "the start crashed its worker")
			f.Expect(f.pool.jobs["a"].occurrences[0].steps[0].tasks[0].crash.Crashes()[0].Conclusive).To(BeTrue(), "it was last seen alive right after the start")
		})
	}
}

// A stop answer with the clock of the next incarnation does not shorten what the leases of the first count,
// though the next one may run a start that was meant for it.
func TestStopAnswerOfTheNextIncarnationDoesNotShortenLeases(t *testing.T) {
	for name, longRunning := range map[string]bool{"a task that ends": false, "a task that lasts": true} {
		t.Run(name, func(t *testing.T) {
			f := newIncarnationFixture(t, 2, withLongWorkerLeases)
			f.outlastFirstReports(firstIncarnation(0), firstIncarnation(1))
			f.cordonMachineOf(1)
			f.add(testJob("b", testStep(1)))
			other := f.planOneStart()
			f.acceptFrom(other, firstIncarnation(0))
			f.surviveStarts(firstIncarnation(0), other)
			step := testStep(1)
			step.LongRunning = longRunning
			f.add(testJob("a", step))
			s := f.planOneStart()
			startedAt := f.now
			f.advance(160 * time.Millisecond)
			f.failStart(s)
			f.pool.Cancel("b")
			stops := f.plan().Stops
			f.Expect(stops).To(HaveLen(1))
			f.advance(400 * time.Millisecond)
			next := laterClockIncarnation(0)
			f.pool.HandleStopAnswer(stops[0], Answer{Verdict: VerdictDone, Clock: f.workerClock - next.clockLag}, f.now)
			f.pool.SetCordoned(nil)
			f.expectNoStartWhile(startedAt.Add(f.pool.cfg.LeaseDuration), firstIncarnation(1))
		})
	}
}
