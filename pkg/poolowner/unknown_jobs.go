package poolowner

import (
	"context"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// readUnknownJobs is the duty that reads the records of jobs which workers list and of which no host has told. Until then their workers get no tasks and
// keep their ends.
func (o *Owner) readUnknownJobs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.unknownJobs:
		}
		for _, id := range o.jobsToRead() {
			o.readUnknownJob(ctx, id)
		}
	}
}

func (o *Owner) jobsToRead() []job.ID {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pool.UnknownJobs()
}

// readUnknownJob reads the record of a job that a worker lists, trying again until the store answers.
func (o *Owner) readUnknownJob(ctx context.Context, id job.ID) {
	for ctx.Err() == nil {
		item, err := o.deps.Store.Read(ctx, jobstore.JobKey(id))
		if err == nil || errors.Is(err, platform.ErrAbsent) {
			o.takeUnknownJob(id, item, err == nil)
			return
		}
		o.deps.Log.WithFields(logrus.Fields{"job": id, "error": err}).Warn("unknown_job_unread")
		clock.Sleep(ctx, storeRetry)
	}
}

// takeUnknownJob takes in the record of a job that a worker lists, or that there is none.
func (o *Owner) takeUnknownJob(id job.ID, item platform.Item, found bool) {
	o.mu.Lock()
	if found {
		o.takeJobs([]platform.Item{item}, nil)
	}
	o.pool.JobAbsent(id) // also of a record that can't be used; of a job that is known now, nothing
	o.mu.Unlock()
	o.wake()
}

// tellUnknownJobs has the records of unknown jobs read, if there are any. The caller holds o.mu.
func (o *Owner) tellUnknownJobs() {
	if !o.pool.ListsUnknown() {
		return
	}
	select {
	case o.unknownJobs <- struct{}{}:
	default:
	}
}
