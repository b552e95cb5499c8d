package poolowner

import (
	"testing"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/queue"
	. "github.com/onsi/gomega"
)

// Each start that needs a new name would wait for the next commit, 40 ms at most.
func TestCommitStartsEarlyWhenNamesWait(t *testing.T) {
	g := NewWithT(t)
	o, _, info := ownerOfEmulated(t)
	o = New(o.deps, Claim{Term: 1, Revision: o.claim.Revision, First: true, NamedFrom: 1})
	now := o.deps.Clock.Now()
	o.pool.MarkJobsLoaded()
	o.pool.UpsertWorker(info, true, now)
	o.pool.MarkInRoster([]dispatch.WorkerID{info.ID})
	h, ok := o.pool.NewPoll(info.ID, false, true, now)
	g.Expect(ok).To(BeTrue())
	o.pool.HandlePollAnswer(h, dispatch.Answer{Verdict: dispatch.VerdictDone, Clock: 1000}, dispatch.Report{IncarnationStart: info.ID.StartedAt()}, now)
	o.carryOut(t.Context())
	g.Expect(o.names).To(BeEmpty())
	step := job.Step{Count: 1, Resources: cell.Resources{CPUMillis: 1}}
	o.pool.AddJob(job.Record{
		Job: job.Job{ID: "a", Spec: "spec", Steps: []job.Step{step}}, Queue: queue.Queue{Name: "q", Pool: info.Pool, MaxAttempts: 3}, Term: 1,
	}, job.Progress{}, false, 0, now)
	o.carryOut(t.Context())
	g.Expect(o.names).To(HaveLen(1))
}
