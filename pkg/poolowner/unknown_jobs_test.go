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

// unknownJob is a job that a host has accepted and reported only to the previous owner.
const lateJob = job.ID("00000000000000a1")

// putJob writes the record of a job to the store.
func putJob(t *testing.T, p *emulator.Platform, id job.ID) {
	t.Helper()
	text, err := job.Record{Job: job.Job{ID: id, Spec: "s", Steps: []job.Step{{Count: 1}}}}.Encode()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	p.Store.Put(jobstore.JobKey(id), text)
}

// reportUnknownJob makes the pool's worker report a run of unknownJob, and runs readUnknownJobs.
func listsLateJob(t *testing.T, o *Owner, info dispatch.WorkerInfo) {
	g := NewWithT(t)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.deps.Clock.Now()
	o.pool.MarkJobsLoaded()
	o.pool.UpsertWorker(info, true, now)
	poll, ok := o.pool.NewPoll(info.ID, false, true, now)
	g.Expect(ok).To(BeTrue())
	run := dispatch.ActiveRun{Task: job.TaskID{StepID: job.StepID{Job: lateJob}}, Run: 1}
	o.pool.HandlePollAnswer(poll, dispatch.Answer{Verdict: dispatch.VerdictDone, Clock: 1}, dispatch.Report{IncarnationStart: info.ID.StartedAt(), Active: []dispatch.ActiveRun{run}}, now)
	o.tellUnknownJobs()
	ctx, cancel := context.WithCancel(t.Context())
	o.duties.Go(func() { o.readUnknownJobs(ctx) })
	t.Cleanup(func() {
		cancel()
		o.duties.Wait()
	})
}

// A worker that lists an unknown job gets no tasks, and its run ends are not acknowledged. Guards
// against waiting for the watch of the jobs, which comes every 0.5 s only and finds nothing while
// watches get no answer.
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

// During a store outage nobody can tell whether a job still exists, so its runs are neither acknowledged
// nor stopped.
func TestJobThatAWorkerListsIsNotGivenUpWhileTheStoreIsAway(t *testing.T) {
	g := NewWithT(t)
	o, p, info := ownerOfEmulated(t)
	p.Store.SetMode(emulator.StoreBusy)
	listsLateJob(t, o, info)
	unknown := func() []job.ID { return o.jobsToRead() }
	g.Consistently(unknown, 4*storeRetry, storeRetry/4).Should(Equal([]job.ID{lateJob}))
	p.Store.SetMode(emulator.StoreUp)
	g.Eventually(unknown, 10*time.Second, time.Millisecond).Should(BeEmpty(), "the store has no record of the job")
	_, ok := o.Explain(lateJob)
	g.Expect(ok).To(BeFalse())
}
