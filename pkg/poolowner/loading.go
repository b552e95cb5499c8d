package poolowner

import (
	"context"
	"slices"
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
	// jobsWatchInterval is the time between two watches for jobs that no host has reported.
	jobsWatchInterval = 500 * time.Millisecond
	// workersWatchWait is how long a watch on the workers' entries waits for changes.
	workersWatchWait = time.Second
	// workersWatchPause is the time between two watches. Entries change with each heartbeat, and a
	// change of a worker's state may be seen a little late.
	workersWatchPause = 300 * time.Millisecond
	// fullAnswerChanges is the number of changes in one answer from which more may be waiting already.
	// An answer holds at most about 500, and thousands of workers write as many during a pause.
	fullAnswerChanges = 250
	storeRetryDelay   = 100 * time.Millisecond
)

// watchPosition is the revision up to which each prefix of the store has been read.
type watchPosition struct {
	jobs    int64
	workers int64
}

// listings are the lists that an owner reads; each keeps its pages until they are applied.
type listings struct {
	jobs, progress, workers, roster *platform.Listing
}

func newListings(s *platform.Store) listings {
	return listings{
		jobs: s.NewListing(jobstore.JobsPrefix), progress: s.NewListing(jobstore.ProgressPrefix),
		workers: s.NewListing(platform.WorkersPrefix), roster: s.NewListing(jobstore.RosterPrefix),
	}
}

// load reads workers, jobs and the operator's keys at the same time, since the store may be slow. Each read is
// repeated by itself, and a list goes on with the page that failed: on a slow link, reads that began anew whenever
// another one failed would keep the link full. The leases of running tasks are extended as soon as the workers are
// known.
func (o *Owner) load(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error {
		if err := o.loadWorkers(ctx); err != nil {
			return err
		}
		o.startSessions(ctx)
		return nil
	})
	group.Go(func() error { return o.loadJobs(ctx) })
	group.Go(func() error { return o.readUntilSuccess(ctx, o.readOperatorKeys) })
	if err := group.Wait(); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pool.MarkJobsLoaded()
	o.applyConfiguredEntries()
	o.loaded.Store(true)
	close(o.jobsLoaded)
	return nil
}

// readUntilSuccess repeats a read until it succeeds or ctx ends.
func (o *Owner) readUntilSuccess(ctx context.Context, read func(context.Context) error) error {
	for ctx.Err() == nil {
		err := read(ctx)
		if err == nil {
			return nil
		}
		o.deps.Log.WithField("error", err).Warn("owner_loading")
		clock.Sleep(ctx, storeRetryDelay)
	}
	return ctx.Err()
}

func (o *Owner) readOperatorKeys(ctx context.Context) error {
	return errors.Wrap(o.deps.ReadOperatorKeys(ctx), "read operator's keys")
}

// loadWorkers reads the workers' entries and the roster.
func (o *Owner) loadWorkers(ctx context.Context) error {
	var roster []platform.Item
	var group errgroup.Group
	group.Go(func() error { return o.readUntilSuccess(ctx, o.listWorkers) })
	group.Go(func() error {
		return o.readUntilSuccess(ctx, func(ctx context.Context) (err error) {
			roster, err = o.readRoster(ctx)
			return err
		})
	})
	if err := group.Wait(); err != nil {
		return err
	}
	o.listings.roster.Reset()
	o.loadRoster(roster)
	return nil
}

// loadJobs reads all jobs and their progress, which no previous owner can change any more.
func (o *Owner) loadJobs(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return o.readUntilSuccess(ctx, o.readJobs) })
	group.Go(func() error { return o.readUntilSuccess(ctx, o.readProgress) })
	if err := group.Wait(); err != nil {
		return err
	}
	return o.listJobs(ctx)
}

func (o *Owner) readJobs(ctx context.Context) error {
	_, _, err := o.listings.jobs.Read(ctx)
	return errors.Wrap(err, "list jobs")
}

func (o *Owner) readProgress(ctx context.Context) error {
	_, _, err := o.listings.progress.Read(ctx)
	return errors.Wrap(err, "list progress of jobs")
}

// listJobs reads what has not been read yet of the jobs and their progress, and applies them once both are complete.
func (o *Owner) listJobs(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return o.readJobs(ctx) })
	group.Go(func() error { return o.readProgress(ctx) })
	if err := group.Wait(); err != nil {
		return err
	}
	defer o.listings.jobs.Reset()
	defer o.listings.progress.Reset()
	took := o.deps.Clock.Now().Sub(o.listings.jobs.StartedAt())
	if o.loaded.Load() && took >= o.deps.Bounds.OutcomeRetention {
		// The outcomes of jobs that have ended meanwhile may be forgotten, and they would run again.
		return errors.Newf("list jobs: the list took %s, and outcomes are kept for %s", took, o.deps.Bounds.OutcomeRetention)
	}
	items, at, err := o.listings.jobs.Read(ctx)
	if err != nil {
		return err
	}
	progressItems, _, err := o.listings.progress.Read(ctx)
	if err != nil {
		return err
	}
	progress := o.decodeProgress(progressItems)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.applyJobs(items, progress)
	if !o.loaded.Load() {
		o.orphanedSegments = orphanedSegments(items, progress)
	}
	o.watchPosition.jobs = at
	o.deps.Log.WithFields(logrus.Fields{"items": len(items), "progress": len(progress), "took": took}).Info("jobs_listed")
	return nil
}

// decodeProgress decodes items under jobstore.ProgressPrefix.
func (o *Owner) decodeProgress(items []platform.Item) map[job.ID]job.Progress {
	progress := make(map[job.ID]job.Progress, len(items))
	for _, i := range items {
		id, segment, err := jobstore.ParseProgressKey(i.Key)
		if err != nil {
			// No host writes such a key, so nothing of the job's progress is missing.
			o.deps.Log.WithFields(logrus.Fields{"job": id, "key": i.Key, "error": err}).Error("progress_unreadable")
			continue
		}
		if err := addStoredProgress(progress, id, segment, i.Value); err != nil {
			// The progress of this job is unknown, so it must not run; other jobs do.
			o.deps.Log.WithFields(logrus.Fields{"job": id, "key": i.Key, "error": err}).Error("progress_unreadable")
			o.mu.Lock()
			o.unreadableProgress[id] = true
			o.mu.Unlock()
		}
	}
	return progress
}

// addStoredProgress adds a value under jobstore.ProgressPrefix to the progress of its job. segment is as in
// jobstore.ParseProgressKey.
func addStoredProgress(progress map[job.ID]job.Progress, id job.ID, segment int64, value []byte) error {
	p := progress[id]
	if segment >= 0 {
		s, err := job.DecodeSegment(value)
		if err != nil {
			return err
		}
		p.AddSegment(segment, s)
		progress[id] = p
		return nil
	}
	segments := p.Segments
	p, err := job.DecodeProgress(value)
	p.Segments = segments
	progress[id] = p
	return err
}

// orphanedSegments returns the keys of stored segments whose jobs have ended, according to the jobs' records.
// An owner that ended between two transactions, or that knows no segments, leaves them behind.
func orphanedSegments(records []platform.Item, progress map[job.ID]job.Progress) []string {
	active := map[job.ID]bool{}
	for _, i := range records {
		if id, cancel := jobstore.ParseJobKey(i.Key); !cancel && !job.HasOutcome(i.Value) {
			active[id] = true
		}
	}
	var keys []string
	for id, p := range progress {
		if active[id] {
			continue
		}
		for n := range p.Segments {
			keys = append(keys, jobstore.SegmentKey(id, n))
		}
	}
	slices.Sort(keys)
	return keys
}

// applyJobs applies items under JobsPrefix. The caller holds o.mu.
func (o *Owner) applyJobs(items []platform.Item, progress map[job.ID]job.Progress) {
	for _, i := range items {
		id, cancel := jobstore.ParseJobKey(i.Key)
		switch {
		case i.Removed:
		case o.pool.IsJobActive(id) && !cancel && !job.HasOutcome(i.Value):
			// A host has reported it already; decoding all records again took 5% of an owner's processor
			// time.
		case cancel:
			if !o.pool.Cancel(id) {
				o.earlyCancellations[id] = true
			}
		default:
			record, err := o.decodeStoredRecord(id, i)
			if err != nil {
				o.deps.Log.WithFields(logrus.Fields{"job": id, "error": err}).Error("record_unreadable")
				continue
			}
			p, stored := progress[id]
			o.addJob(id, record, p, stored)
		}
	}
}

// watchJobs watches the store for jobs that no host has reported to the owner.
func (o *Owner) watchJobs(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, jobsWatchInterval)
		if err := o.watchJobsOnce(ctx); err != nil && ctx.Err() == nil {
			o.jobsWatch.RecordFailure(err)
		}
	}
}

// watchJobsOnce applies the jobs that were written since the last watch.
func (o *Owner) watchJobsOnce(ctx context.Context) error {
	if o.listings.jobs.HasPages() {
		return o.listJobsAgain(ctx)
	}
	requestedAt := o.deps.Clock.Now()
	items, at, err := o.deps.Store.Watch(ctx, jobstore.JobsPrefix, o.watchPosition.jobs, 0)
	if errors.Is(err, platform.ErrHistoryCompacted) {
		return o.listJobsAgain(ctx)
	}
	if err != nil {
		return err
	}
	o.jobsWatch.RecordCurrent(requestedAt)
	o.watchPosition.jobs = at
	if len(items) == 0 {
		return nil
	}
	o.mu.Lock()
	o.applyJobs(items, nil)
	o.mu.Unlock()
	o.requestPlan()
	return nil
}

// listJobsAgain lists the jobs after a watch has failed because the store no longer has all changes.
func (o *Owner) listJobsAgain(ctx context.Context) error {
	requestedAt := o.deps.Clock.Now()
	if o.listings.jobs.HasPages() {
		requestedAt = o.listings.jobs.StartedAt()
	}
	if err := o.listJobs(ctx); err != nil {
		return err
	}
	o.jobsWatch.RecordCurrent(requestedAt)
	o.requestPlan()
	return nil
}

// listWorkers reads what has not been read yet of the entries of all workers, and applies them once it has them all.
func (o *Owner) listWorkers(ctx context.Context) error {
	items, at, err := o.listings.workers.Read(ctx)
	if err != nil {
		return errors.Wrap(err, "list worker entries")
	}
	o.listings.workers.Reset()
	o.mu.Lock()
	defer o.mu.Unlock()
	listed := make(map[dispatch.WorkerID]bool, len(items))
	for _, i := range items {
		if id, ok := o.applyEntry(i); ok {
			listed[id] = true
		}
	}
	for _, w := range o.pool.Workers() {
		if !listed[w.ID] {
			o.pool.RemoveEntry(w.ID, false, o.deps.Clock.Now())
		}
	}
	o.watchPosition.workers = at
	return nil
}

// watchWorkers follows the workers' entries.
func (o *Owner) watchWorkers(ctx context.Context) {
	for ctx.Err() == nil {
		items, at, err := o.watchWorkersOnce(ctx)
		if err != nil {
			o.handleWatchFailure(ctx, err)
			continue
		}
		o.workersWatch.RecordCurrent(o.deps.Clock.Now())
		o.applyEntries(items)
		o.startSessions(ctx)
		o.watchPosition.workers = at
		clock.Sleep(ctx, pauseAfterWatch(len(items)))
	}
}

// watchWorkersOnce waits for changes of the workers' entries. If the store no longer has all changes, it lists the
// entries and returns none.
func (o *Owner) watchWorkersOnce(ctx context.Context) (items []platform.Item, at int64, err error) {
	if !o.listings.workers.HasPages() {
		items, at, err = o.deps.Store.Watch(ctx, platform.WorkersPrefix, o.watchPosition.workers, workersWatchWait)
		if !errors.Is(err, platform.ErrHistoryCompacted) {
			return items, at, err
		}
	}
	err = o.listWorkers(ctx)
	return nil, o.watchPosition.workers, err
}

// handleWatchFailure records that the workers' entries could not be read, and waits before the next
// attempt.
func (o *Owner) handleWatchFailure(ctx context.Context, err error) {
	o.entryWrites.watchFailed()
	if ctx.Err() == nil {
		o.workersWatch.RecordFailure(err)
	}
	clock.Sleep(ctx, storeRetryDelay)
}

// pauseAfterWatch returns the pause after an answer with the given number of changes. There is none
// until the owner has caught up.
func pauseAfterWatch(changes int) time.Duration {
	if changes >= fullAnswerChanges {
		return 0
	}
	return workersWatchPause
}

func (o *Owner) applyEntries(items []platform.Item) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.deps.Clock.Now()
	o.entryWrites.watchAnswered(now)
	metrics.GetOrRegisterCounter("pool.entries_read", o.deps.Metrics).Inc(int64(len(items)))
	if len(items) >= fullAnswerChanges {
		metrics.GetOrRegisterCounter("pool.entries_full_answers", o.deps.Metrics).Inc(1)
	}
	for _, i := range items {
		if i.Removed {
			name := platform.WorkerName(i)
			delete(o.invalidEntries, name)
			o.pool.RemoveEntryByName(name, o.entryWrites.takeRecentlyWritten(name, now), now)
			continue
		}
		if id, ok := o.applyEntry(i); ok {
			o.entryWrites.recordWrite(id.Name())
		}
	}
}

// startSessions starts a session with each new worker.
func (o *Owner) startSessions(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.pool.Workers() {
		o.startSession(ctx, w)
	}
}

func (o *Owner) logWorker(w dispatch.WorkerInfo) {
	o.deps.Log.WithFields(logrus.Fields{
		"worker": w.ID, "address": w.Address, "zone": w.Zone, "rack": w.Rack, "labels": strings.Join(w.Labels, ","), "draining": w.Draining, "capacity": w.Capacity,
	}).Info("worker_listed")
}
