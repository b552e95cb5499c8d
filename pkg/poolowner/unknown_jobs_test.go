package poolowner

import (
	"context"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

// lateJob is a job that a host has accepted for the former owner.
const lateJob = job.ID("00000000000000a1")

// putJob puts the record of a job into the store.
func putJob(t *testing.T, p *emulator.Platform, id job.ID) {
	t.Helper()
	text, err := job.Record{Job: job.Job{ID: id, Spec: "s", Steps: []job.Step{{Count: 1}}}}.Encode()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	p.Store.Put(jobstore.JobKey(id), text)
}

// listsLateJob has the pool's worker list a run of a job of which nobody has told the owner, and the duty run that reads such jobs.
func listsLateJob(t *testing.T, o *Owner, info dispatch.WorkerInfo) {
	g := NewWithT(t)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.deps.Clock.Now()
	o.pool.MarkJobsLoaded()
	o.pool.UpsertWorker(info, true, now)
	h, ok := o.pool.NewPoll(info.ID, false, true, now)
	g.Expect(ok).To(BeTrue())
	run := dispatch.ActiveRun{Task: job.TaskID{StepID: job.StepID{Job: lateJob}}, Run: 1}
	o.pool.HandlePollAnswer(h, dispatch.Answer{Verdict: dispatch.VerdictDone, Clock: 1}, dispatch.Report{IncarnationStart: info.ID.StartedAt(), Active: []dispatch.ActiveRun{run}}, now)
	o.tellUnknownJobs()
	ctx, cancel := context.WithCancel(t.Context())
	o.duties.Go(func() { o.readUnknownJobs(ctx) })
	t.Cleanup(func() {
		cancel()
		o.duties.Wait()
	})
}

// A worker that lists a job which is not known gets no tasks and keeps its ends. The look for such jobs comes every half a second, and finds
// none while the watch is silent; the record itself tells at once.
func TestJobThatAWorkerListsIsReadAtOnce(t *testing.T) {
	o, p, info := ownerOfEmulated(t)
	putJob(t, p, lateJob)
	listsLateJob(t, o, info)
	known := func() bool {
		_, ok := o.Explain(lateJob)
		return ok
	}
	NewWithT(t).Eventually(known, 10*time.Second, time.Millisecond).Should(BeTrue())
}

// Whether a job is known any more can't be told while the store is away: it is neither noted nor stopped for as long.
func TestJobThatAWorkerListsIsNotGivenUpWhileTheStoreIsAway(t *testing.T) {
	g := NewWithT(t)
	o, p, info := ownerOfEmulated(t)
	p.Store.SetMode(emulator.StoreBusy)
	listsLateJob(t, o, info)
	unknown := func() []job.ID { return o.jobsToRead() }
	g.Consistently(unknown, 4*storeRetry, storeRetry/4).Should(Equal([]job.ID{lateJob}))
	p.Store.SetMode(emulator.StoreUp)
	g.Eventually(unknown, 10*time.Second, time.Millisecond).Should(BeEmpty(), "the store has no record of it")
	_, ok := o.Explain(lateJob)
	g.Expect(ok).To(BeFalse())
}
