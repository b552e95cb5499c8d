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
const unknownJob = job.ID("00000000000000a1")

// putJob writes the record of a job to the store.
func putJob(t *testing.T, p *emulator.Platform, id job.ID) {
	t.Helper()
	text, err := job.Record{Job: job.Job{ID: id, Spec: "s", Steps: []job.Step{{Count: 1}}}}.Encode()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	p.Store.Put(jobstore.JobKey(id), text)
}

// reportUnknownJob makes the pool's worker report a run of unknownJob, and runs readUnknownJobs.
func reportUnknownJob(t *testing.T, o *Owner, info dispatch.WorkerInfo) {
	g := NewWithT(t)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.deps.Clock.Now()
	o.pool.MarkJobsLoaded()
	o.pool.UpsertWorker(info, true, now)
	poll, ok := o.pool.NewPoll(info.ID, false, true, now)
	g.Expect(ok).To(BeTrue())
	run := dispatch.ActiveRun{Task: job.TaskID{StepID: job.StepID{Job: unknownJob}}, Run: 1}
	o.pool.HandlePollAnswer(poll, dispatch.Answer{Verdict: dispatch.VerdictDone, Clock: 1}, dispatch.Report{IncarnationStart: info.ID.StartedAt(), Active: []dispatch.ActiveRun{run}}, now)
	o.requestUnknownJobs()
	ctx, cancel := context.WithCancel(t.Context())
	o.background.Go(func() { o.readUnknownJobs(ctx) })
	t.Cleanup(func() {
		cancel()
		o.background.Wait()
	})
}

// A worker that lists an unknown job gets no tasks, and its run ends are not acknowledged. Guards
// against waiting for the watch of the jobs, which comes every 0.5 s only and finds nothing while
// watches get no answer.
func TestUnknownJobListedByAWorkerIsReadAtOnce(t *testing.T) {
	o, p, info := newOwnerOnEmulator(t)
	putJob(t, p, unknownJob)
	reportUnknownJob(t, o, info)
	known := func() bool {
		_, ok := o.Explain(unknownJob)
		return ok
	}
	NewWithT(t).Eventually(known, 10*time.Second, time.Millisecond).Should(BeTrue())
}

// During a store outage nobody can tell whether a job still exists, so its runs are neither acknowledged
// nor stopped.
func TestUnknownJobIsKeptWhileTheStoreIsUnavailable(t *testing.T) {
	g := NewWithT(t)
	o, p, info := newOwnerOnEmulator(t)
	p.Store.SetMode(emulator.StoreBusy)
	reportUnknownJob(t, o, info)
	unknown := func() []job.ID { return o.unknownJobIDs() }
	g.Consistently(unknown, 4*storeRetryDelay, storeRetryDelay/4).Should(Equal([]job.ID{unknownJob}))
	p.Store.SetMode(emulator.StoreUp)
	g.Eventually(unknown, 10*time.Second, time.Millisecond).Should(BeEmpty(), "the store has no record of the job")
	_, ok := o.Explain(unknownJob)
	g.Expect(ok).To(BeFalse())
}
