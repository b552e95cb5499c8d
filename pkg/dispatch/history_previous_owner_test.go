package dispatch

import (
	"slices"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
)

const (
	// maxJobFindDelay is how long it takes at most until an owner finds a job that was not announced to
	// it, and maxRecordReadTime until it has read a record.
	findWithin = 1500 * time.Millisecond
	readWithin = 600 * time.Millisecond
	// maxJobLoadTime is how long a new owner takes at most to read the jobs: longer than the leases of
	// what previous owners have started.
	mostLoading = 14 * time.Second
)

// jobSnapshot is what a new owner reads of a job.
type storedAt struct {
	id job.ID
	storedJob
}

// snapshotJobs returns what the store holds of all jobs.
func (w *world) stored() []storedAt {
	var out []storedAt
	for _, id := range w.jobs() {
		s := storedAt{id, *w.store[id]}
		s.progress = copied(s.progress)
		out = append(out, s)
	}
	return out
}

// loadJobs has an owner load the jobs of the store.
func (o *modelOwner) load(w *world, jobs []storedAt) {
	for _, s := range jobs {
		o.take(w, s.id, &s.storedJob)
	}
	o.pool.MarkJobsLoaded()
	o.loading = false
}

// loadJob has an owner load what the store holds of a job.
func (o *modelOwner) take(w *world, id job.ID, s *storedJob) {
	if s.outcome != "" {
		o.pool.AddOutcome(id, job.Record{Outcome: s.outcome, Customer: s.record.Customer, Unended: s.unended, LateStart: s.lateStart}, w.now)
		return
	}
	o.pool.AddJob(s.record, copied(s.progress), s.stored, 0, w.now)
	if s.cancelled {
		o.pool.Cancel(id)
	}
}

// scheduleJobLoad has a new owner load the jobs some time after it has read them, and then find those
// that were stored meanwhile.
func (w *world) loadLate(o *modelOwner) {
	o.loading = true
	jobs := w.stored()
	w.later(w.between(0, mostLoading), func() {
		if o.ended {
			return
		}
		o.load(w, jobs)
		w.note("owner %d has loaded the jobs", o.term)
		for _, id := range w.jobs() {
			w.later(w.between(0, findWithin), func() { w.find(o, id) })
		}
	})
}

// ownerToInform returns the owner to which a job is announced: a previous one that still acts, in
// histories with announceToPrevious, or the present one.
func (w *world) hearsOfJobs() *modelOwner {
	for _, o := range w.owners {
		if w.tellsFormer && !o.ended && !o.loading && o.until != 0 && w.now < o.until && !o.pool.IsFenced() {
			return o
		}
	}
	return w.present()
}

// scheduleFinds has all owners find a job that may not be announced to them.
func (w *world) findLater(id job.ID) {
	for _, o := range w.owners {
		w.later(w.between(0, findWithin), func() { w.find(o, id) })
	}
}

// findJob has an owner read a job's record, and reports whether there is one.
func (w *world) find(o *modelOwner, id job.ID) bool {
	s, found := w.store[id]
	switch {
	case !found:
		return false
	case o.ended || o.loading:
	case s.record.Term > o.term:
		o.ended = true // there is a later owner
	default:
		o.take(w, id, s)
	}
	return true
}

// readUnknownJobs has an owner read the jobs that workers report and that it does not know.
func (w *world) readUnknownJobs(o *modelOwner) {
	for _, id := range o.pool.UnknownJobs() {
		if o.reading[id] || w.now < o.storeAwayUntil {
			continue
		}
		if o.reading == nil {
			o.reading = map[job.ID]bool{}
		}
		o.reading[id] = true
		w.later(w.between(time.Millisecond, readWithin), func() {
			delete(o.reading, id)
			if !w.chance(0.2) && !w.find(o, id) {
				o.pool.MarkJobAbsent(id)
			}
		})
	}
}

// announcementSeeds are seeds of such histories that violate an invariant if ends are applied only up to
// the first one of an unknown job.
var toldSeeds = []uint64{85, 98, 150, 358, 560}

// Simulates histories in which a host announces a job to a previous owner after the new one has read the
// jobs of the store. Without these, no history had an end of an unknown job; and without
// checkNotBegunAfterAckedEnd, none would have shown the consequences.
func TestPromisesHoldWhenFormerOwnersAreToldOfJobs(t *testing.T) {
	playSeeds(t, append(slices.Clone(toldSeeds), drawnSeeds(t, all)...), func(w *world) { w.tellsFormer = true })
}

// Guards against tasks that run again after they are done, for instance in seed 1. A new owner needs
// longer to read the jobs than the leases of what previous owners have started. It considers the takeover
// finished before the workers, whose leases it extends all the time, have reported anything that it
// applies.
func TestPromisesHoldWhenReadingTheJobsTakesLong(t *testing.T) {
	playDrawn(t, all, func(w *world) { w.tellsFormer, w.slow = true, true })
}

// Guards against a customer beyond its quota. An owner that does not know a job whose runs workers report
// does not know the customer of these runs, and starts others of the same customer. (The logs of all
// these seeds but 412, whose log was not examined, have run_unknown before the starts.)
func TestQuotasHoldWhenFormerOwnersAreToldOfJobs(t *testing.T) {
	playSeeds(t, []uint64{61, 85, 320, 331, 412, 588}, func(w *world) { w.tellsFormer, w.quotas = true, newModelQuotas() })
}
