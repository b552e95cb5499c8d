package evacuation

import (
	"maps"
	"slices"
)

// Halls holds which data halls are being evacuated, as far as this process knows. It is not safe for
// concurrent use.
type Halls struct {
	byHall map[string]hallState
}

// hallState is the latest known state of a hall.
type hallState struct {
	revision  int64 // the store's revision at which the hall had this state
	evacuated bool
}

// New returns a Halls in which no hall is being evacuated.
func New() *Halls {
	return &Halls{byHall: map[string]hallState{}}
}

// Put records that a hall's key was written at a revision of the store. It reports whether this begins the
// evacuation of the hall.
func (h *Halls) Put(hall string, revision int64) (changed bool) {
	return h.apply(hall, hallState{revision, true})
}

// Remove records that a hall's key was deleted at a revision of the store. It reports whether this ends the
// evacuation of the hall.
func (h *Halls) Remove(hall string, revision int64) (changed bool) {
	return h.apply(hall, hallState{revision, false})
}

// List records all keys that existed at a revision of the store: keys maps each hall to the revision at which
// its key was written. It reports whether this changes which halls are being evacuated.
func (h *Halls) List(keys map[string]int64, at int64) (changed bool) {
	for hall, revision := range keys {
		changed = h.Put(hall, revision) || changed
	}
	for hall := range h.byHall {
		if _, listed := keys[hall]; !listed {
			changed = h.Remove(hall, at) || changed
		}
	}
	return changed
}

// apply records the state of a hall unless a state of the same or a later revision is known. It reports
// whether the hall's evacuation begins or ends.
func (h *Halls) apply(hall string, state hallState) (changed bool) {
	before := h.byHall[hall]
	if state.revision <= before.revision {
		return false
	}
	h.byHall[hall] = state
	return state.evacuated != before.evacuated
}

// Names returns the names of the halls that are being evacuated, sorted.
func (h *Halls) Names() []string {
	var out []string
	for _, hall := range slices.Sorted(maps.Keys(h.byHall)) {
		if h.byHall[hall].evacuated {
			out = append(out, hall)
		}
	}
	return out
}
