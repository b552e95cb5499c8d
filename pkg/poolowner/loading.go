package poolowner

import (
	"context"
	"strings"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

const (
	// jobsEvery is the time between two looks for jobs of which no host has told.
	jobsEvery = 500 * time.Millisecond
	// workersWait is how long a watch on the workers' entries waits.
	workersWait = time.Second
	// workersPause is the time between two watches: entries change with each heartbeat, and
	// a change of state may come a little late.
	workersPause = 300 * time.Millisecond
	// manyChanges is how many changes in one answer tell that more may be there already: an
	// answer holds about 500 at most, and thousands of workers write as many in a pause.
	manyChanges = 250
	storeRetry  = 100 * time.Millisecond
)

// position is how far a duty has followed the store.
type position struct {
	jobs    int64
	workers int64
}

// load reads the workers and the jobs, trying again until the store answers.
func (o *Owner) load(ctx context.Context) error {
	for ctx.Err() == nil {
		err := o.loadOnce(ctx)
		if err == nil {
			return nil
		}
		o.deps.Log.WithField("error", err).Warn("owner_loading")
		clock.Sleep(ctx, storeRetry)
	}
	return ctx.Err()
}

// loadOnce reads workers and jobs at the same time, since the store may be slow. What runs
// is held on as soon as the workers are known.
func (o *Owner) loadOnce(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error {
		if err := o.loadWorkers(ctx); err != nil {
			return err
		}
		o.openSessions(ctx)
		return nil
	})
	group.Go(func() error { return o.listJobs(ctx) })
	group.Go(func() error { return errors.Wrap(o.deps.ReadOperator(ctx), "operator's keys") })
	if err := group.Wait(); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pool.MarkJobsLoaded()
	o.putConfigured()
	o.loaded.Store(true)
	close(o.jobsKnown)
	return nil
}

// loadWorkers reads the workers' entries and the roster.
func (o *Owner) loadWorkers(ctx context.Context) error {
	var roster []platform.Item
	var group errgroup.Group
	group.Go(func() error { return o.listWorkers(ctx) })
	group.Go(func() (err error) {
		roster, err = o.listRoster(ctx)
		return err
	})
	if err := group.Wait(); err != nil {
		return err
	}
	o.takeRoster(roster)
	return nil
}

// listJobs reads all jobs and their progress, which nobody else changes any more.
func (o *Owner) listJobs(ctx context.Context) error {
	started := o.deps.Clock.Now()
	var items []platform.Item
	var at int64
	var progress map[job.ID]job.Progress
	var group errgroup.Group
	group.Go(func() (err error) {
		items, at, err = o.deps.Store.List(ctx, jobstore.JobsPrefix)
		return errors.Wrap(err, "jobs")
	})
	group.Go(func() (err error) {
		progress, err = o.listProgress(ctx)
		return err
	})
	if err := group.Wait(); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.takeJobs(items, progress)
	o.position.jobs = at
	o.deps.Log.WithFields(logrus.Fields{
		"items": len(items), "progress": len(progress), "took": o.deps.Clock.Now().Sub(started),
	}).Info("jobs_listed")
	return nil
}

func (o *Owner) listProgress(ctx context.Context) (map[job.ID]job.Progress, error) {
	items, _, err := o.deps.Store.List(ctx, jobstore.ProgressPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "progress of jobs")
	}
	progress := make(map[job.ID]job.Progress, len(items))
	for _, i := range items {
		id := job.ID(strings.TrimPrefix(i.Key, jobstore.ProgressPrefix))
		p, err := job.DecodeProgress(i.Value)
		if err != nil {
			// What the job has done is not known, so it must not run on; the others do.
			o.deps.Log.WithFields(logrus.Fields{"job": id, "error": err}).Error("progress_unreadable")
			o.mu.Lock()
			o.unreadable[id] = true
			o.mu.Unlock()
			continue
		}
		progress[id] = p
	}
	return progress, nil
}

// takeJobs takes in items under JobsPrefix. The caller holds o.mu.
func (o *Owner) takeJobs(items []platform.Item, progress map[job.ID]job.Progress) {
	for _, i := range items {
		id, cancel := jobstore.ParseJobKey(i.Key)
		switch {
		case i.Gone:
		case o.pool.IsJobActive(id) && !cancel && !job.HasOutcome(i.Value):
			// A host has told of it; reading all records once more took 5% of an owner's time.
		case cancel:
			if !o.pool.Cancel(id) {
				o.cancelled[id] = true
			}
		default:
			record, err := job.DecodeRecord(i.Value)
			if err != nil {
				o.deps.Log.WithFields(logrus.Fields{"job": id, "error": err}).Error("record_unreadable")
				continue
			}
			p, stored := progress[id]
			o.addJob(id, record, p, stored)
		}
	}
}

// watchJobs is the duty that looks for jobs of which no host has told the owner.
func (o *Owner) watchJobs(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, jobsEvery)
		if err := o.lookForJobs(ctx); err != nil && ctx.Err() == nil {
			o.followsJobs.Lost(err)
		}
	}
}

// lookForJobs takes in the jobs that were written since the last look.
func (o *Owner) lookForJobs(ctx context.Context) error {
	asked := o.deps.Clock.Now()
	items, at, err := o.deps.Store.Watch(ctx, jobstore.JobsPrefix, o.position.jobs, 0)
	if errors.Is(err, platform.ErrHistoryIsGone) {
		err = o.listJobs(ctx)
		at = o.position.jobs
		o.wake()
	}
	if err != nil {
		return err
	}
	o.followsJobs.Known(asked)
	o.position.jobs = at
	if len(items) == 0 {
		return nil
	}
	o.mu.Lock()
	o.takeJobs(items, nil)
	o.mu.Unlock()
	o.wake()
	return nil
}

// listWorkers reads all entries of workers.
func (o *Owner) listWorkers(ctx context.Context) error {
	items, at, err := o.deps.Store.List(ctx, platform.WorkersPrefix)
	if err != nil {
		return errors.Wrap(err, "workers")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	listed := make(map[dispatch.WorkerID]bool, len(items))
	for _, i := range items {
		if id, ok := o.putEntry(i); ok {
			listed[id] = true
		}
	}
	for _, w := range o.pool.Workers() {
		if !listed[w.ID] {
			o.pool.RemoveEntry(w.ID, false, o.deps.Clock.Now())
		}
	}
	o.position.workers = at
	return nil
}

// watchWorkers is the duty that follows the workers' entries.
func (o *Owner) watchWorkers(ctx context.Context) {
	for ctx.Err() == nil {
		items, at, err := o.deps.Store.Watch(ctx, platform.WorkersPrefix, o.position.workers, workersWait)
		if errors.Is(err, platform.ErrHistoryIsGone) {
			err = o.listWorkers(ctx)
			at = o.position.workers
		}
		if err != nil {
			o.loseWorkers(ctx, err)
			continue
		}
		o.followsWorkers.Known(o.deps.Clock.Now())
		o.takeWorkers(items)
		o.openSessions(ctx)
		o.position.workers = at
		clock.Sleep(ctx, pauseAfter(len(items)))
	}
}

// loseWorkers takes in that the workers' entries could not be read, and waits a little.
func (o *Owner) loseWorkers(ctx context.Context, err error) {
	o.beats.interrupted()
	if ctx.Err() == nil {
		o.followsWorkers.Lost(err)
	}
	clock.Sleep(ctx, storeRetry)
}

// pauseAfter is how long the next watch on the workers' entries is put off after an answer with
// a number of changes. There is no pause until the owner has caught up.
func pauseAfter(changes int) time.Duration {
	if changes >= manyChanges {
		return 0
	}
	return workersPause
}

func (o *Owner) takeWorkers(items []platform.Item) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.deps.Clock.Now()
	o.beats.answered(now)
	metrics.GetOrRegisterCounter("pool.entries_read", o.deps.Figures).Inc(int64(len(items)))
	if len(items) >= manyChanges {
		metrics.GetOrRegisterCounter("pool.entries_full_answers", o.deps.Figures).Inc(1)
	}
	for _, i := range items {
		if i.Gone {
			name := platform.WorkerName(i)
			delete(o.unusable, name)
			o.pool.RemoveEntryByName(name, o.beats.fresh(name, now), now)
			continue
		}
		if id, ok := o.putEntry(i); ok {
			o.beats.seen(id.Name())
		}
	}
}

// openSessions begins to talk with the workers that are new.
func (o *Owner) openSessions(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.pool.Workers() {
		o.openSession(ctx, w)
	}
}

func (o *Owner) logWorker(w dispatch.WorkerInfo) {
	o.deps.Log.WithFields(logrus.Fields{
		"worker": w.ID, "address": w.Address, "zone": w.Zone, "rack": w.Rack, "labels": strings.Join(w.Labels, ","), "draining": w.Draining, "capacity": w.Capacity,
	}).Info("worker_listed")
}
