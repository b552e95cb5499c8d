package poolowner

import (
	"context"
	"sync"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
)

// maxConcurrentReads is the maximum number of job records that are read at the same time.
const maxConcurrentReads = 8

// readUnknownJobs reads the records of jobs that workers list but that no host has reported. Until a job is
// read, the workers that list it get no tasks, and their run ends of the job are not acknowledged.
func (o *Owner) readUnknownJobs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.unknownJobsSignal:
		}
		for ids := o.unknownJobIDs(); len(ids) > 0 && ctx.Err() == nil; ids = o.unknownJobIDs() {
			o.readConcurrently(ctx, ids[:min(len(ids), maxConcurrentReads)])
		}
	}
}

// readConcurrently reads the records of a few jobs at the same time, since the store may be slow.
func (o *Owner) readConcurrently(ctx context.Context, ids []job.ID) {
	var reads sync.WaitGroup
	for _, id := range ids {
		reads.Go(func() { o.readUnknownJob(ctx, id) })
	}
	reads.Wait()
}

func (o *Owner) unknownJobIDs() []job.ID {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pool.UnknownJobs()
}

// readUnknownJob reads the record of a job that a worker lists. If that fails, the job stays among those
// to be read.
func (o *Owner) readUnknownJob(ctx context.Context, id job.ID) {
	item, err := o.deps.Store.Read(ctx, jobstore.JobKey(id))
	if err == nil || errors.Is(err, platform.ErrAbsent) {
		o.readFailures.recordSuccess()
		o.applyUnknownJob(id, item, err == nil)
		return
	}
	o.readFailures.recordFailure(errors.Wrapf(err, "read job %s", id))
	clock.Sleep(ctx, storeRetryDelay)
}

// applyUnknownJob applies the record of a job that a worker lists, or records that it has none.
func (o *Owner) applyUnknownJob(id job.ID, item platform.Item, found bool) {
	o.mu.Lock()
	if found {
		o.applyJobs([]platform.Item{item}, nil)
	}
	o.pool.MarkJobAbsent(id) // also for a record that can't be decoded; no effect for a job that is known by now
	o.mu.Unlock()
	o.requestPlan()
}

// requestUnknownJobs requests that the records of unknown jobs be read, if there are any. The caller
// holds o.mu.
func (o *Owner) requestUnknownJobs() {
	if o.pool.HasUnknownJobs() {
		notify(o.unknownJobsSignal)
	}
}
