package evacuation

import (
	"maps"
	"slices"
)

// Halls are the data halls that are being evacuated, as far as is known. It is not safe for concurrent use.
type Halls struct {
	of map[string]news
}

// news is the latest that is known of a hall.
type news struct {
	revision  int64 // of the store
	evacuated bool
}

// New returns Halls of which none is being evacuated.
func New() *Halls {
	return &Halls{of: map[string]news{}}
}

// Put takes in that a hall's key was written at a revision of the store. It says whether the hall was not being evacuated before.
func (h *Halls) Put(hall string, revision int64) (changed bool) {
	return h.take(hall, news{revision, true})
}

// Remove takes in that a hall's key was removed at a revision of the store. It says whether the hall was being evacuated before.
func (h *Halls) Remove(hall string, revision int64) (changed bool) {
	return h.take(hall, news{revision, false})
}

// List takes in all keys there were at a revision of the store, by hall, with the revisions at which they were written. It says whether
// that changes which halls are being evacuated.
func (h *Halls) List(keys map[string]int64, at int64) (changed bool) {
	for hall, revision := range keys {
		changed = h.Put(hall, revision) || changed
	}
	for hall := range h.of {
		if _, there := keys[hall]; !there {
			changed = h.Remove(hall, at) || changed
		}
	}
	return changed
}

func (h *Halls) take(hall string, n news) (changed bool) {
	before := h.of[hall]
	if n.revision <= before.revision {
		return false
	}
	h.of[hall] = n
	return n.evacuated != before.evacuated
}

// Names lists the halls that are being evacuated, sorted.
func (h *Halls) Names() []string {
	var out []string
	for _, hall := range slices.Sorted(maps.Keys(h.of)) {
		if h.of[hall].evacuated {
			out = append(out, hall)
		}
	}
	return out
}
