package dispatch

import (
	"slices"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
)

// Random histories in which owners do not know all jobs: a host tells a former owner of a job that it has accepted after the new one has read the jobs of
// the store, and a new owner may need long to read them. Without the first, no history had an end of a job that is not known; and without the check of
// ends that are noted after a task began again (checkNotBegunAgain), none would have shown what it does.

const (
	// findWithin is how long it takes until an owner finds a job of which it was not told, and readWithin until it has read a record.
	findWithin = 1500 * time.Millisecond
	readWithin = 600 * time.Millisecond
	// mostLoading is how long a new owner needs to read the jobs at most: longer than what former owners have started may go on.
	mostLoading = 14 * time.Second
)

// storedAt is what a new owner reads of a job.
type storedAt struct {
	id job.ID
	storedJob
}

// stored lists what the store has of all jobs.
func (w *world) stored() []storedAt {
	var out []storedAt
	for _, id := range w.jobs() {
		s := storedAt{id, *w.store[id]}
		s.progress = copied(s.progress)
		out = append(out, s)
	}
	return out
}

// load has an owner take in the jobs of the store.
func (o *modelOwner) load(w *world, jobs []storedAt) {
	for _, s := range jobs {
		o.take(w, s.id, &s.storedJob)
	}
	o.pool.MarkJobsLoaded()
	o.loading = false
}

// take has an owner take in what the store has of a job.
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

// loadLate has a new owner take in the jobs a while after it has read them, and look for those that came meanwhile.
func (w *world) loadLate(o *modelOwner) {
	o.loading = true
	jobs := w.stored()
	w.later(w.between(0, mostLoading), func() {
		if o.ended {
			return
		}
		o.load(w, jobs)
		w.note("owner %d has read the jobs", o.term)
		for _, id := range w.jobs() {
			w.later(w.between(0, findWithin), func() { w.find(o, id) })
		}
	})
}

// hearsOfJobs is the owner that is told of a job: a former one that still gives orders, where hosts tell these, or the present one.
func (w *world) hearsOfJobs() *modelOwner {
	for _, o := range w.owners {
		if w.tellsFormer && !o.ended && !o.loading && o.until != 0 && w.now < o.until && !o.pool.IsFenced() {
			return o
		}
	}
	return w.present()
}

// findLater has all owners find a job of which they may not be told.
func (w *world) findLater(id job.ID) {
	for _, o := range w.owners {
		w.later(w.between(0, findWithin), func() { w.find(o, id) })
	}
}

// find has an owner read a job's record, and says whether there is one.
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

// readUnknownJobs has an owner read the jobs that workers list and that it does not know.
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

// toldSeeds are seeds of such histories that break a promise when ends are read up to the first one of a job that is not known only.
var toldSeeds = []uint64{85, 98, 150, 358, 560}

func TestPromisesHoldWhenFormerOwnersAreToldOfJobs(t *testing.T) {
	playSeeds(t, append(slices.Clone(toldSeeds), drawnSeeds(t, all)...), func(w *world) { w.tellsFormer = true })
}

// Seed 1, for one. A new owner that needs longer to read the jobs than what former owners have started may go on holds the takeover for over
// before the workers, which it has held on all the time, have told it anything that it takes in. It starts again what has ended there as done.
func TestPromisesHoldWhenReadingTheJobsTakesLong(t *testing.T) {
	playDrawn(t, all, func(w *world) { w.tellsFormer, w.slow = true, true })
}

// An owner that does not know a job whose runs workers list does not know whose they are, and starts others of the same customer beyond its quota. (The
// logs of all seeds but 412, which was not read, have run_unknown before the starts.)
func TestQuotasHoldWhenFormerOwnersAreToldOfJobs(t *testing.T) {
	playSeeds(t, []uint64{61, 85, 320, 331, 412, 588}, func(w *world) { w.tellsFormer, w.quotas = true, newModelQuotas() })
}
