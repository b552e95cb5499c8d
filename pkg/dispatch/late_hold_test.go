package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

func TestRunLastsAsLongAsALateHoldForTheEarlierIncarnationExtendsIt(t *testing.T) {
	testLateHoldExtendsLateStart(t, testStep(1))
}

func TestLongRunningTaskLastsAsLongAsALateHoldForTheEarlierIncarnationExtendsIt(t *testing.T) {
	step := testStep(1)
	step.LongRunning = true
	testLateHoldExtendsLateStart(t, step)
}

// testLateHoldExtendsLateStart expects that a task does not start elsewhere while the next incarnation of its worker may
// run it: that one carries out a start that got no answer, and then, as late as an order may be, a hold for the first
// incarnation that was sent after the start. Its deadline is by the clock of the first incarnation.
func testLateHoldExtendsLateStart(t *testing.T, step job.Step) {
	f := newIncarnationFixture(t, 2, withLongWorkerLeases)
	f.outlastFirstReports(firstIncarnation(0), firstIncarnation(1))
	f.cordonMachineOf(1)
	f.add(testJob("a", step))
	f.pollAndReport(firstIncarnation(0), Report{})
	s := f.planOneStart()
	f.Expect(s.Worker).To(Equal(firstIncarnation(0).id))
	f.advance(160 * time.Millisecond)
	f.failStart(s)
	f.advance(650 * time.Millisecond)
	hold := f.newPoll(firstIncarnation(0), true)
	f.Expect(hold.Deadline).NotTo(BeZero())
	f.Expect(hold.Token).To(BeNumerically(">=", s.Token))
	f.pool.HandlePollFailure(hold.Worker, f.now)
	f.pool.SetCordoned(nil)
	f.expectNoStartWhile(hold.SentAt.Add(maxOrderDelay+f.pool.cfg.WorkerMaxLease), firstIncarnation(1))
}

// Guards against a run that is taken for ended while a late hold of the previous owner may extend it: a start got no
// answer while that owner could still give orders.
func TestRunLastsAsLongAsALateHoldOfThePreviousOwnerExtendsIt(t *testing.T) {
	f := newFixture(t, 0, func(c *Config) { afterPreviousOwner(c); withLongWorkerLeases(c) })
	previousOrdersUntil := f.now.Add(f.pool.cfg.AuthorityTerm)
	f.beginIncarnation(firstIncarnation(0), Report{})
	f.beginIncarnation(firstIncarnation(1), Report{})
	f.cordonMachineOf(1)
	r := testJob("a", testStep(1))
	r.Term = f.pool.cfg.Term
	f.add(r)
	s := f.planOneStart()
	f.advance(160 * time.Millisecond)
	f.failStart(s)
	f.pool.SetCordoned(nil)
	f.expectNoStartWhile(previousOrdersUntil.Add(maxOrderDelay+f.pool.cfg.WorkerMaxLease), firstIncarnation(1))
}

// Guards against the same with a start that is invalidated for the first incarnation: its task may start elsewhere once
// a run that the next one has begun late has certainly lapsed.
func TestInvalidatedStartMayRunAsLongAsALateHoldExtendsIt(t *testing.T) {
	f := newIncarnationFixture(t, 2, withLongWorkerLeases)
	f.outlastFirstReports(firstIncarnation(0), firstIncarnation(1))
	f.cordonMachineOf(1)
	f.add(testJob("a", testStep(1)))
	f.pollAndReport(firstIncarnation(0), Report{})
	s := f.planOneStart()
	f.advance(160 * time.Millisecond)
	f.failStart(s)
	f.cordonMachineOf(0)
	f.answerPoll(f.newPoll(firstIncarnation(0), true), firstIncarnation(0), Report{})
	for range 30 {
		f.advance(200 * time.Millisecond)
		f.pollAndReport(firstIncarnation(0), Report{})
		f.pollAndReport(firstIncarnation(1), Report{})
		f.Expect(f.plan().Starts).To(BeEmpty(), "the task is bound to its worker")
	}
	f.advance(650 * time.Millisecond)
	hold := f.newPoll(firstIncarnation(0), false)
	f.Expect(hold.Deadline).NotTo(BeZero())
	f.pool.HandlePollFailure(hold.Worker, f.now)
	f.expectNoStartWhile(hold.SentAt.Add(maxOrderDelay+f.pool.cfg.WorkerMaxLease), firstIncarnation(1))
}

// The next incarnation takes a start and a hold that were meant for the first one, without a delay, and is cut off;
// its owner learns nothing of it.
func TestRunOnAnUnknownNextIncarnationMayHaveTheLongestLease(t *testing.T) {
	for name, change := range map[string]func(*job.Step){
		"a task that ends":  func(*job.Step) {},
		"a task that lasts": func(s *job.Step) { s.LongRunning = true },
		"a gang":            func(s *job.Step) { s.Gang = true },
	} {
		t.Run(name, func(t *testing.T) {
			f := newIncarnationFixture(t, 2, withLongWorkerLeases)
			f.outlastFirstReports(firstIncarnation(0), firstIncarnation(1))
			f.cordonMachineOf(1)
			step := testStep(1)
			change(&step)
			f.add(testJob("a", step))
			s := f.planOneStart()
			f.advance(160 * time.Millisecond)
			f.failStart(s)
			f.advance(600 * time.Millisecond)
			hold := f.newPoll(firstIncarnation(0), true)
			f.Expect(hold.Deadline).NotTo(BeZero())
			f.pool.HandlePollFailure(hold.Worker, f.now)
			f.pool.SetCordoned(nil)
			f.expectNoStartWhile(hold.SentAt.Add(f.pool.cfg.WorkerMaxLease), firstIncarnation(1))
		})
	}
}

// expectNoStartWhile is expectNoStartUntil with shorter steps and without a start after that.
func (f *fixture) expectNoStartWhile(until clock.Time, by testIncarnation) {
	for f.now < until {
		f.advance(20 * time.Millisecond)
		f.pollAndReport(by, Report{})
		f.Expect(f.plan().Starts).To(BeEmpty(), "%d ms before the run has certainly lapsed", until.Sub(f.now).Milliseconds())
		f.pool.ApplyCommit(f.pool.PrepareCommit())
	}
}

// outlastFirstReports has workers answer until no lease from before their first reports lasts.
func (f *fixture) outlastFirstReports(workers ...testIncarnation) {
	for until := f.now.Add(leaseExpiryTime(f.pool.cfg.WorkerMaxLease)); f.now <= until; f.advance(200 * time.Millisecond) {
		for _, w := range workers {
			f.pollAndReport(w, Report{})
		}
	}
	for _, w := range workers {
		f.pollAndReport(w, Report{})
	}
}
