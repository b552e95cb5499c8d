package batch

import (
	"maps"
	"slices"
	"time"
)

// Segment is one value of the store with the entries that were written together.
type Segment struct {
	Key      string
	Revision int64 // of the key in the store
	Entries  []Entry
	// Unsettled says that the store may or may not hold the segment.
	Unsettled bool
}

// Segments knows which segments of a shard the store holds, or may hold, and which of them
// are of no use any more. It is not safe for concurrent use.
type Segments struct {
	byKey map[string]*held
	// holding counts for each request the segments that tell of it.
	holding map[ID]int
	// open counts for each request the segments that tell of it without its end.
	open map[ID]int
}

// held is what is remembered of a segment.
type held struct {
	revision  int64
	unsettled bool
	ids       map[ID]bool // true when the segment holds the end
}

// NewSegments returns an empty set.
func NewSegments() *Segments {
	return &Segments{byKey: map[string]*held{}, holding: map[ID]int{}, open: map[ID]int{}}
}

// Add records a segment that the store holds or may hold.
func (s *Segments) Add(segment Segment) {
	if _, ok := s.byKey[segment.Key]; ok {
		return
	}
	h := &held{revision: segment.Revision, unsettled: segment.Unsettled, ids: map[ID]bool{}}
	for _, e := range segment.Entries {
		id, isEnd := e.about()
		h.ids[id] = h.ids[id] || isEnd
	}
	for id, isEnd := range h.ids {
		s.holding[id]++
		if !isEnd {
			s.open[id]++
		}
	}
	s.byKey[segment.Key] = h
}

// about returns the request that an entry tells of, and whether it tells its end.
func (e Entry) about() (ID, bool) {
	switch {
	case e.Submitted != nil:
		return e.Submitted.ID, false
	case e.Ended != nil:
		return e.Ended.ID, true
	}
	return e.Starting, false
}

// Removable returns a segment that can be removed from the store: the store is known to hold
// it, all its requests ended longer ago than keep says, and no other segment would be left
// to tell of one of them without its end, which would make it run again.
func (s *Segments) Removable(book *Book, now time.Time, keep func(Record) time.Duration) (Segment, bool) {
	for _, key := range slices.Sorted(maps.Keys(s.byKey)) {
		if h := s.byKey[key]; !h.unsettled && s.obsolete(h, book, now, keep) {
			return Segment{Key: key, Revision: h.revision}, true
		}
	}
	return Segment{}, false
}

func (s *Segments) obsolete(h *held, book *Book, now time.Time, keep func(Record) time.Duration) bool {
	for id, isEnd := range h.ids {
		r, ok := book.Get(id)
		if !ok || !r.State.Ended() || now.Before(r.EndedAt.Add(keep(r))) {
			return false
		}
		if isEnd && s.open[id] > 0 {
			return false
		}
	}
	return true
}

// Removed takes a segment out, and lets the book forget the requests of which no segment
// tells any more.
func (s *Segments) Removed(key string, book *Book) {
	h, ok := s.byKey[key]
	if !ok {
		return
	}
	delete(s.byKey, key)
	for id, isEnd := range h.ids {
		if !isEnd {
			decrement(s.open, id)
		}
		if decrement(s.holding, id) == 0 {
			book.Drop(id)
		}
	}
}

// decrement lowers the count of a request by one and returns it.
func decrement(counts map[ID]int, id ID) int {
	counts[id]--
	n := counts[id]
	if n == 0 {
		delete(counts, id)
	}
	return n
}

// Len returns how many segments the store holds or may hold.
func (s *Segments) Len() int {
	return len(s.byKey)
}
