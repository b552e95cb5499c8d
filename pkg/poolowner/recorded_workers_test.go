package poolowner

import (
	"testing"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/queue"
	. "github.com/onsi/gomega"
)

// Guards against starts that wait for the next commit, up to 40 ms, when the store does not record their
// worker yet.
func TestCommitStartsEarlyForUnstoredWorkers(t *testing.T) {
	g := NewWithT(t)
	o, _, info := newOwnerOnEmulator(t)
	o = New(o.deps, Claim{Term: 1, Revision: o.claim.Revision, First: true, RecordWorkersFromTerm: 1})
	now := o.deps.Clock.Now()
	o.pool.MarkJobsLoaded()
	o.pool.UpsertWorker(info, true, now)
	o.pool.MarkInRoster([]dispatch.WorkerID{info.ID})
	poll, ok := o.pool.NewPoll(info.ID, false, true, now)
	g.Expect(ok).To(BeTrue())
	o.pool.HandlePollAnswer(poll, dispatch.Answer{Verdict: dispatch.VerdictDone, Clock: 1000}, dispatch.Report{IncarnationStart: info.ID.StartedAt()}, now)
	o.planAndExecute(t.Context())
	g.Expect(o.commitSignal).To(BeEmpty())
	step := job.Step{Count: 1, Resources: cell.Resources{CPUMillis: 1}}
	o.pool.AddJob(job.Record{
		Job: job.Job{ID: "a", Spec: "spec", Steps: []job.Step{step}}, Queue: queue.Queue{Name: "q", Pool: info.Pool, MaxAttempts: 3}, Term: 1,
	}, job.Progress{}, false, 0, now)
	o.planAndExecute(t.Context())
	g.Expect(o.commitSignal).To(HaveLen(1))
}
