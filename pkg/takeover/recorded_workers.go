package takeover

import (
	"maps"
	"slices"
)

// RecordedWorkers are the workers on which a job may have runs, as its owner records them in the store. A
// start is sent only to a worker that is known to be in the store. The zero value has none.
type RecordedWorkers struct {
	stored map[string]bool // false until the store is known to have the worker
	bytes  int             // of the names
}

// Add adds a worker, unless the names would have more than maxBytes then. It reports whether the worker is new
// and so has to be put into the store.
func (r *RecordedWorkers) Add(worker string, maxBytes int) bool {
	if _, known := r.stored[worker]; known || r.bytes+len(worker) > maxBytes {
		return false
	}
	r.bytes += len(worker)
	if r.stored == nil {
		r.stored = map[string]bool{}
	}
	r.stored[worker] = false
	return true
}

// MarkStored records that the store has the workers.
func (r *RecordedWorkers) MarkStored(workers []string) {
	if r.stored == nil {
		r.stored = make(map[string]bool, len(workers))
	}
	for _, w := range workers {
		if _, known := r.stored[w]; !known {
			r.bytes += len(w)
		}
		r.stored[w] = true
	}
}

// IsStored reports whether the store is known to have the worker.
func (r *RecordedWorkers) IsStored(worker string) bool {
	return r.stored[worker]
}

// Retain removes the workers for which keep returns false. It returns the others, sorted, whether the
// store has them or not.
func (r *RecordedWorkers) Retain(keep func(worker string) bool) []string {
	maps.DeleteFunc(r.stored, func(w string, _ bool) bool {
		if keep(w) {
			return false
		}
		r.bytes -= len(w)
		return true
	})
	return slices.Sorted(maps.Keys(r.stored))
}

// StoredWorkers returns the workers that the store is known to have, sorted.
func (r *RecordedWorkers) StoredWorkers() []string {
	var out []string
	for _, w := range slices.Sorted(maps.Keys(r.stored)) {
		if r.stored[w] {
			out = append(out, w)
		}
	}
	return out
}
