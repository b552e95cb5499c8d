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

// readsAtOnce bounds the records that are read at the same time.
const readsAtOnce = 8

// readUnknownJobs is the duty that reads the records of jobs which workers list and of which no host has told. Until then their workers get no tasks and
// keep their ends.
func (o *Owner) readUnknownJobs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.unknownJobs:
		}
		for ids := o.jobsToRead(); len(ids) > 0 && ctx.Err() == nil; ids = o.jobsToRead() {
			o.readSome(ctx, ids[:min(len(ids), readsAtOnce)])
		}
	}
}

// readSome reads the records of a few jobs at the same time, since the store may be slow.
func (o *Owner) readSome(ctx context.Context, ids []job.ID) {
	var reads sync.WaitGroup
	for _, id := range ids {
		reads.Go(func() { o.readUnknownJob(ctx, id) })
	}
	reads.Wait()
}

func (o *Owner) jobsToRead() []job.ID {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pool.UnknownJobs()
}

// readUnknownJob reads the record of a job that a worker lists. After a failure it stays among the jobs to be read.
func (o *Owner) readUnknownJob(ctx context.Context, id job.ID) {
	item, err := o.deps.Store.Read(ctx, jobstore.JobKey(id))
	if err == nil || errors.Is(err, platform.ErrAbsent) {
		o.readFailures.succeeded()
		o.takeUnknownJob(id, item, err == nil)
		return
	}
	o.readFailures.failed(errors.Wrapf(err, "job %s", id))
	clock.Sleep(ctx, storeRetry)
}

// takeUnknownJob takes in the record of a job that a worker lists, or that there is none.
func (o *Owner) takeUnknownJob(id job.ID, item platform.Item, found bool) {
	o.mu.Lock()
	if found {
		o.takeJobs([]platform.Item{item}, nil)
	}
	o.pool.MarkJobAbsent(id) // also of a record that can't be used; of a job that is known now, nothing
	o.mu.Unlock()
	o.wake()
}

// tellUnknownJobs has the records of unknown jobs read, if there are any. The caller holds o.mu.
func (o *Owner) tellUnknownJobs() {
	if o.pool.HasUnknownJobs() {
		signal(o.unknownJobs)
	}
}
