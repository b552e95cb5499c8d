package crash

import (
	"net/netip"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/workerid"
	. "github.com/onsi/gomega"
)

const at = clock.Time(100_000)

// Guards against a job that is given up because one worker crashes again and again without its fault.
func TestIncarnationsOfOneWorkerCountOnce(t *testing.T) {
	crashesOn := func(workers ...string) []job.Crash {
		var out []job.Crash
		for n, w := range workers {
			out = append(out, job.Crash{Run: n + 1, Worker: w, Conclusive: true})
		}
		return out
	}
	conclusive := func(crashes []job.Crash) int {
		var x TaskRecord
		x.Load(nil, crashes)
		return x.ConclusiveCrashes()
	}
	g := NewWithT(t)
	g.Expect(conclusive(crashesOn("w1@1000", "w1@1900", "w1@2800"))).To(Equal(1))
	g.Expect(conclusive(crashesOn("w1@1000", "w2@1900", "w1@2800"))).To(Equal(2))
	g.Expect(conclusive(crashesOn("w1", "w2"))).To(Equal(2))
}

func start(id job.ID, run int) Start {
	return Start{Task: job.TaskID{StepID: job.StepID{Job: id}}, Run: run, InCrashWindow: true}
}

func address(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80)
}

// crashOf returns the crash of a worker at its own address under starts of some jobs.
func crashOf(worker byte, when clock.Time, jobs ...job.ID) *Crash {
	var starts Starts
	for _, id := range jobs {
		starts = append(starts, start(id, 1))
	}
	return NewCrash(workerid.New("w", int64(worker)), address(worker), when, starts)
}

func none() []*Crash {
	return nil
}

// Guards against a task that counts as the only possible cause of a crash which may have another one, and
// against a task that never does.
func TestCrashIsConclusiveUnlessOtherCauseIsPossible(t *testing.T) {
	for name, c := range map[string]struct {
		jobs       []job.ID
		before     []*Crash
		silent     []*Crash
		inWindow   bool
		conclusive bool
	}{
		"nothing else":                           {jobs: []job.ID{"a"}, inWindow: true, conclusive: true},
		"seen long after the start":              {jobs: []job.ID{"a"}},
		"another job was starting":               {jobs: []job.ID{"a", "b"}, inWindow: true},
		"another worker crashed":                 {jobs: []job.ID{"a"}, before: []*Crash{crashOf(2, at-900, "b", "c")}, inWindow: true},
		"another crashed long before":            {jobs: []job.ID{"a"}, before: []*Crash{crashOf(2, at-1000, "b", "c")}, inWindow: true, conclusive: true},
		"another crashed, its job at fault":      {jobs: []job.ID{"a"}, before: []*Crash{crashOf(2, at-900, "b")}, inWindow: true, conclusive: true},
		"another crashed under the same job":     {jobs: []job.ID{"a"}, before: []*Crash{crashOf(2, at-900, "a", "c")}, inWindow: true, conclusive: true},
		"another fell silent":                    {jobs: []job.ID{"a"}, silent: []*Crash{crashOf(2, at, "b")}, inWindow: true},
		"another fell silent under the same job": {jobs: []job.ID{"a"}, silent: []*Crash{crashOf(2, at, "a")}, inWindow: true, conclusive: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHistory(time.Second, 0)
			for _, b := range c.before {
				h.Add(b, none, at)
			}
			x := crashOf(1, at, c.jobs...)
			h.Add(x, func() []*Crash { return c.silent }, at)
			s := start("a", 3)
			s.InCrashWindow = c.inWindow
			NewWithT(t).Expect(x.RecordFor(s)).To(Equal(job.Crash{Run: 3, Worker: "w@1", Conclusive: c.conclusive}))
		})
	}
}

// Guards against jobs that are given up for a server that goes down and up without their fault.
func TestCrashAfterEarlierCrashAtAddressIsInconclusive(t *testing.T) {
	g := NewWithT(t)
	h := NewHistory(time.Second, 0)
	h.Add(NewCrash("w@1", address(1), at, nil), none, at)
	g.Expect(h.LastCrashAt(address(1))).To(Equal(at))
	again := NewCrash("w@2", address(1), at.Add(20*time.Second), Starts{start("a", 1)})
	h.Add(again, none, at.Add(20*time.Second))
	g.Expect(again.RecordFor(start("a", 1)).Conclusive).To(BeFalse())
	h.RemoveCrashesOf("w@1")
	h.RemoveCrashesOf("w@2")
	later := NewCrash("w@3", address(1), at.Add(21*time.Second), Starts{start("a", 1)})
	h.Add(later, none, at.Add(21*time.Second))
	g.Expect(later.RecordFor(start("a", 1)).Conclusive).To(BeTrue(), "the other workers had only been cut off")
}

// Guards against a job that is given up for two crashes in a row where workers crash often for other
// causes, or where a new owner can't tell yet whether they do.
func TestMoreCrashesAreNeededWhileWorkersCrashForOtherCauses(t *testing.T) {
	g := NewWithT(t)
	h := NewHistory(time.Second, at)
	g.Expect(h.ConclusiveCrashesNeeded("a", 100, at.Add(historyTime-1))).To(Equal(conclusiveCrashesNeededWhenUnstable))
	late := at.Add(historyTime)
	g.Expect(h.ConclusiveCrashesNeeded("a", 100, late)).To(Equal(conclusiveCrashesNeeded))
	for n := byte(1); n <= 10; n++ {
		h.Add(crashOf(n, late, "b", "c"), none, late)
	}
	g.Expect(h.ConclusiveCrashesNeeded("a", 100, late)).To(Equal(conclusiveCrashesNeededWhenUnstable))
	g.Expect(h.ConclusiveCrashesNeeded("a", 1000, late)).To(Equal(conclusiveCrashesNeeded))
	g.Expect(h.ConclusiveCrashesNeeded("b", 100, late)).To(Equal(conclusiveCrashesNeeded), "the job may have caused them itself")
	g.Expect(h.IsQuietFor("a", late)).To(BeFalse())
	g.Expect(h.IsQuietFor("b", late)).To(BeTrue())
	g.Expect(h.IsQuietFor("a", late.Add(quietPeriod))).To(BeTrue())
}

// Guards against crashes that still count against a task after a worker has survived a later start of it.
func TestSurvivedStartRemovesAllCrashes(t *testing.T) {
	g := NewWithT(t)
	var x TaskRecord
	x.AddAttempt(1, "w@1")
	g.Expect(x.RemoveAttempt(1)).To(BeTrue())
	for n := 1; n <= MaxConsecutiveCrashes; n++ {
		g.Expect(x.IsLastAttempt()).To(Equal(n == MaxConsecutiveCrashes), "before crash %d", n)
		g.Expect(x.ShouldGiveUp(conclusiveCrashesNeeded)).To(BeFalse())
		g.Expect(x.AddCrash(job.Crash{Run: n, Worker: "w@1"})).To(BeTrue())
	}
	g.Expect(x.ShouldGiveUp(conclusiveCrashesNeeded)).To(BeTrue(), "whatever else crashed")
	x.MarkUnresolved()
	g.Expect(x.RecordSurvival(6)).To(BeTrue())
	g.Expect(x.IsSuspect() || x.IsUnresolved()).To(BeFalse())
	g.Expect(x.AddCrash(job.Crash{Run: 6, Worker: "w@1"})).To(BeFalse())
	g.Expect(x.RecordSurvival(7)).To(BeFalse(), "nothing is stored of the task")
}

// Guards against counting a start against its task when the worker may have crashed before it.
func TestStartIsNotCountedIfWorkerMayHaveCrashedBefore(t *testing.T) {
	g := NewWithT(t)
	g.Expect(WorkerLiveness{LastSeenAt: at}.MayHaveCrashedBefore(at.Add(responsiveTime))).To(BeFalse())
	g.Expect(WorkerLiveness{LastSeenAt: at}.MayHaveCrashedBefore(at.Add(responsiveTime + time.Millisecond))).To(BeTrue())
	g.Expect(WorkerLiveness{LastSeenAt: at, FirstUnansweredAt: at + 10}.MayHaveCrashedBefore(at + 11)).To(BeTrue())
	g.Expect(WorkerLiveness{LastSeenAt: at, FirstUnansweredAt: at + 10}.MayHaveCrashedBefore(at + 10)).To(BeFalse())
	g.Expect(WorkerLiveness{LastSeenAt: at, FirstUnansweredAt: at + 10}.IsResponsive(at + 11)).To(BeFalse())
}
