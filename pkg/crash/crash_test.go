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

// Guards against a job that is given up since one worker crashes by itself again and again.
func TestLivesOfOneWorkerAreSureOnce(t *testing.T) {
	alone := func(workers ...string) []job.Crash {
		var out []job.Crash
		for n, w := range workers {
			out = append(out, job.Crash{Run: n + 1, Worker: w, Alone: true})
		}
		return out
	}
	sure := func(crashes []job.Crash) int {
		var x TaskRecord
		x.Load(nil, crashes)
		return x.ConclusiveCrashes()
	}
	g := NewWithT(t)
	g.Expect(sure(alone("w1@1000", "w1@1900", "w1@2800"))).To(Equal(1))
	g.Expect(sure(alone("w1@1000", "w2@1900", "w1@2800"))).To(Equal(2))
	g.Expect(sure(alone("w1", "w2"))).To(Equal(2))
}

func start(id job.ID, run int) Start {
	return Start{Task: job.TaskID{StepID: job.StepID{Job: id}}, Run: run, InCrashWindow: true}
}

func address(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80)
}

// crashOf is the crash of a worker at its own address under starts of some jobs.
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

// Guards against a task that is held for the only cause of a crash that may have another one, and against one that is never.
func TestTaskIsTheOnlyCauseUnlessSomethingElseExplainsTheCrash(t *testing.T) {
	for name, c := range map[string]struct {
		jobs   []job.ID
		before []*Crash
		silent []*Crash
		soon   bool
		alone  bool
	}{
		"nothing else":                 {jobs: []job.ID{"a"}, soon: true, alone: true},
		"heard of long after":          {jobs: []job.ID{"a"}},
		"another job was beginning":    {jobs: []job.ID{"a", "b"}, soon: true},
		"another worker crashed":       {jobs: []job.ID{"a"}, before: []*Crash{crashOf(2, at-900, "b", "c")}, soon: true},
		"another crashed long before":  {jobs: []job.ID{"a"}, before: []*Crash{crashOf(2, at-1000, "b", "c")}, soon: true, alone: true},
		"another crashed for its job":  {jobs: []job.ID{"a"}, before: []*Crash{crashOf(2, at-900, "b")}, soon: true, alone: true},
		"another crashed under it":     {jobs: []job.ID{"a"}, before: []*Crash{crashOf(2, at-900, "a", "c")}, soon: true, alone: true},
		"another went silent":          {jobs: []job.ID{"a"}, silent: []*Crash{crashOf(2, at, "b")}, soon: true},
		"another went silent under it": {jobs: []job.ID{"a"}, silent: []*Crash{crashOf(2, at, "a")}, soon: true, alone: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHistory(time.Second, 0)
			for _, b := range c.before {
				h.Add(b, none, at)
			}
			x := crashOf(1, at, c.jobs...)
			h.Add(x, func() []*Crash { return c.silent }, at)
			s := start("a", 3)
			s.InCrashWindow = c.soon
			NewWithT(t).Expect(x.RecordFor(s)).To(Equal(job.Crash{Run: 3, Worker: "w@1", Alone: c.alone}))
		})
	}
}

// Guards against jobs that are given up for a server that goes down and up by itself.
func TestWorkerAtAnAddressThatCrashedBeforeProvesNothing(t *testing.T) {
	g := NewWithT(t)
	h := NewHistory(time.Second, 0)
	h.Add(NewCrash("w@1", address(1), at, nil), none, at)
	g.Expect(h.LastCrashAt(address(1))).To(Equal(at))
	again := NewCrash("w@2", address(1), at.Add(20*time.Second), Starts{start("a", 1)})
	h.Add(again, none, at.Add(20*time.Second))
	g.Expect(again.RecordFor(start("a", 1)).Alone).To(BeFalse())
	h.RemoveCrashesOf("w@1")
	h.RemoveCrashesOf("w@2")
	later := NewCrash("w@3", address(1), at.Add(21*time.Second), Starts{start("a", 1)})
	h.Add(later, none, at.Add(21*time.Second))
	g.Expect(later.RecordFor(start("a", 1)).Alone).To(BeTrue(), "the others had only been cut off")
}

// Guards against a job that is given up for two crashes in a row where workers crash often, or where a new owner can't know whether they do.
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
	g.Expect(h.ConclusiveCrashesNeeded("b", 100, late)).To(Equal(conclusiveCrashesNeeded), "they may be its own")
	g.Expect(h.IsQuietFor("a", late)).To(BeFalse())
	g.Expect(h.IsQuietFor("b", late)).To(BeTrue())
	g.Expect(h.IsQuietFor("a", late.Add(quietPeriod))).To(BeTrue())
}

// Guards against crashes that are counted against a task after one of its later starts was survived.
func TestSurvivedStartTakesAllCrashesBack(t *testing.T) {
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
	g.Expect(x.RecordSurvival(7)).To(BeFalse(), "the store has nothing of it")
}

// Guards against starts that are counted against tasks though their worker had crashed before.
func TestStartAfterASignOfTroubleIsNoCause(t *testing.T) {
	g := NewWithT(t)
	g.Expect(WorkerLiveness{LastSeenAt: at}.MayPrecede(at.Add(responsiveTime))).To(BeFalse())
	g.Expect(WorkerLiveness{LastSeenAt: at}.MayPrecede(at.Add(responsiveTime + time.Millisecond))).To(BeTrue())
	g.Expect(WorkerLiveness{LastSeenAt: at, FirstUnansweredAt: at + 10}.MayPrecede(at + 11)).To(BeTrue())
	g.Expect(WorkerLiveness{LastSeenAt: at, FirstUnansweredAt: at + 10}.MayPrecede(at + 10)).To(BeFalse())
	g.Expect(WorkerLiveness{LastSeenAt: at, FirstUnansweredAt: at + 10}.IsResponsive(at + 11)).To(BeFalse())
}
