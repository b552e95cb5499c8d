package dispatch

import (
	"maps"
	"slices"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
)

const (
	// maxJobFindDelay is how long it takes at most until an owner finds a job that was not announced to
	// it, and maxRecordReadTime until it has read a record.
	maxJobFindDelay   = 1500 * time.Millisecond
	maxRecordReadTime = 600 * time.Millisecond
	// maxJobLoadTime is how long a new owner takes at most to read the jobs: longer than the leases of
	// what previous owners have started.
	maxJobLoadTime = 14 * time.Second
)

// jobSnapshot is what a new owner reads of a job.
type jobSnapshot struct {
	id job.ID
	storedJob
}

// snapshotJobs returns what the store holds of all jobs.
func (w *world) snapshotJobs() []jobSnapshot {
	var out []jobSnapshot
	for _, id := range w.jobs() {
		s := jobSnapshot{id, *w.store[id]}
		s.progress, s.segments = copyProgress(s.progress), maps.Clone(s.segments)
		out = append(out, s)
	}
	return out
}

// loadJobs has an owner load the jobs of the store.
func (o *modelOwner) loadJobs(w *world, jobs []jobSnapshot) {
	for _, s := range jobs {
		o.loadJob(w, s.id, &s.storedJob)
	}
	o.pool.MarkJobsLoaded()
	o.loading = false
}

// loadJob has an owner load what the store holds of a job.
func (o *modelOwner) loadJob(w *world, id job.ID, s *storedJob) {
	if s.outcome != "" {
		o.pool.AddOutcome(id, job.Record{Outcome: s.outcome, Customer: s.record.Customer, RemainingUse: s.remainingUse, LastLateStart: s.lastLateStart}, w.now)
		return
	}
	o.pool.AddJob(s.record, s.storedProgress(), s.hasProgress, 0, w.now)
	if s.cancelled {
		o.pool.Cancel(id)
	}
}

// scheduleJobLoad has a new owner load the jobs some time after it has read them, and then find those
// that were stored meanwhile.
func (w *world) scheduleJobLoad(o *modelOwner) {
	o.loading = true
	jobs := w.snapshotJobs()
	w.schedule(w.drawDuration(0, maxJobLoadTime), func() {
		if o.ended {
			return
		}
		o.loadJobs(w, jobs)
		w.logf("owner %d has loaded the jobs", o.term)
		for _, id := range w.jobs() {
			w.schedule(w.drawDuration(0, maxJobFindDelay), func() { w.findJob(o, id) })
		}
	})
}

// ownerToInform returns the owner to which a job is announced: a previous one that still acts, in
// histories with announceToPrevious, or the present one.
func (w *world) ownerToInform() *modelOwner {
	for _, o := range w.owners {
		if w.announceToPrevious && !o.ended && !o.loading && o.authorityEnd != 0 && w.now < o.authorityEnd && !o.pool.IsFenced() {
			return o
		}
	}
	return w.presentOwner()
}

// scheduleFinds has all owners find a job that may not be announced to them.
func (w *world) scheduleFinds(id job.ID) {
	for _, o := range w.owners {
		w.schedule(w.drawDuration(0, maxJobFindDelay), func() { w.findJob(o, id) })
	}
}

// findJob has an owner read a job's record, and reports whether there is one.
func (w *world) findJob(o *modelOwner, id job.ID) bool {
	s, found := w.store[id]
	switch {
	case !found:
		return false
	case o.ended || o.loading:
	case s.record.Term > o.term:
		o.ended = true // there is a later owner
	default:
		o.loadJob(w, id, s)
	}
	return true
}

// readUnknownJobs has an owner read the jobs that workers report and that it does not know.
func (w *world) readUnknownJobs(o *modelOwner) {
	for _, id := range o.pool.UnknownJobs() {
		if o.jobsBeingRead[id] || w.now < o.storeUnreachableUntil {
			continue
		}
		if o.jobsBeingRead == nil {
			o.jobsBeingRead = map[job.ID]bool{}
		}
		o.jobsBeingRead[id] = true
		w.schedule(w.drawDuration(time.Millisecond, maxRecordReadTime), func() {
			delete(o.jobsBeingRead, id)
			if !w.chance(0.2) && !w.findJob(o, id) {
				o.pool.MarkJobAbsent(id)
			}
		})
	}
}

// announcementSeeds are seeds of such histories that violate an invariant if ends are applied only up to
// the first one of an unknown job.
var announcementSeeds = []uint64{85, 98, 150, 358, 560}

// Simulates histories in which a host announces a job to a previous owner after the new one has read the
// jobs of the store. Without these, no history had an end of an unknown job; and without
// checkNotBegunAfterAckedEnd, none would have shown the consequences.
func TestInvariantsHoldWhenPreviousOwnersGetJobs(t *testing.T) {
	simulateSeeds(t, append(slices.Clone(announcementSeeds), selectSeeds(t, allSeeds)...), func(w *world) { w.announceToPrevious = true })
}

// Guards against tasks that run again after they are done, for instance in seed 1. A new owner needs
// longer to read the jobs than the leases of what previous owners have started. It considers the takeover
// finished before the workers, whose leases it extends all the time, have reported anything that it
// applies.
func TestInvariantsHoldWhenLoadingJobsTakesLong(t *testing.T) {
	simulateShare(t, allSeeds, func(w *world) { w.announceToPrevious, w.slowLoading = true, true })
}

// Guards against a customer above its quota. An owner that does not know a job whose runs workers report
// does not know the customer of these runs, and starts others of the same customer. (The logs of all
// these seeds but 412, whose log was not examined, have run_unknown before the starts.)
func TestQuotasHoldWhenPreviousOwnersGetJobs(t *testing.T) {
	simulateSeeds(t, []uint64{61, 85, 320, 331, 412, 588}, func(w *world) { w.announceToPrevious, w.quotas = true, newModelQuotas() })
}
