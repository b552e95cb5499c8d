package batch

import (
	"maps"
	"slices"
	"time"
)

// Segment is a group of entries that are stored together as one value.
type Segment struct {
	Key      string
	Revision int64 // of the key in the store
	Entries  []Entry
	// Unsettled means that it is not known whether the store contains the segment.
	Unsettled bool
}

// SegmentIndex tracks the segments of a shard that the store contains or may contain, and finds those that
// are no longer needed. It is not safe for concurrent use.
type SegmentIndex struct {
	byKey map[string]*indexedSegment
	// segmentCount is the number of segments with entries of a request.
	segmentCount map[ID]int
	// unfinishedCount is the number of segments with entries of a request but without its end.
	unfinishedCount map[ID]int
}

// indexedSegment is what SegmentIndex keeps of a segment.
type indexedSegment struct {
	revision  int64
	unsettled bool
	ids       map[ID]bool // the segment's requests; true when it contains the request's end
}

// NewSegmentIndex returns an empty index.
func NewSegmentIndex() *SegmentIndex {
	return &SegmentIndex{byKey: map[string]*indexedSegment{}, segmentCount: map[ID]int{}, unfinishedCount: map[ID]int{}}
}

// Add adds a segment that the store contains or may contain.
func (s *SegmentIndex) Add(segment Segment) {
	if _, ok := s.byKey[segment.Key]; ok {
		return
	}
	indexed := &indexedSegment{revision: segment.Revision, unsettled: segment.Unsettled, ids: map[ID]bool{}}
	for _, e := range segment.Entries {
		id, isEnd := e.request()
		indexed.ids[id] = indexed.ids[id] || isEnd
	}
	for id, isEnd := range indexed.ids {
		s.segmentCount[id]++
		if !isEnd {
			s.unfinishedCount[id]++
		}
	}
	s.byKey[segment.Key] = indexed
}

// request returns the request that an entry belongs to, and whether the entry is the request's end.
func (e Entry) request() (ID, bool) {
	switch {
	case e.Submitted != nil:
		return e.Submitted.ID, false
	case e.Ended != nil:
		return e.Ended.ID, true
	}
	return e.Starting, false
}

// Removable returns a segment that can be deleted from the store. The store must be known to contain it,
// and the retention period, given by keep, must have passed since the end of each of its requests. If it
// contains the end of a request, no other segment may contain entries of that request without the end:
// after the deletion the request would seem unfinished, and the next owner would run it again.
func (s *SegmentIndex) Removable(requests *RequestTable, now time.Time, keep func(Record) time.Duration) (Segment, bool) {
	for _, key := range slices.Sorted(maps.Keys(s.byKey)) {
		if indexed := s.byKey[key]; !indexed.unsettled && s.obsolete(indexed, requests, now, keep) {
			return Segment{Key: key, Revision: indexed.revision}, true
		}
	}
	return Segment{}, false
}

// obsolete reports whether no request needs the segment any more.
func (s *SegmentIndex) obsolete(indexed *indexedSegment, requests *RequestTable, now time.Time, keep func(Record) time.Duration) bool {
	for id, isEnd := range indexed.ids {
		r, ok := requests.Get(id)
		if !ok || !r.State.Ended() || now.Before(r.EndedAt.Add(keep(r))) {
			return false
		}
		if isEnd && s.unfinishedCount[id] > 0 {
			return false
		}
	}
	return true
}

// Remove removes a segment that was deleted from the store, and removes from the table the requests that
// no remaining segment contains.
func (s *SegmentIndex) Remove(key string, requests *RequestTable) {
	indexed, ok := s.byKey[key]
	if !ok {
		return
	}
	delete(s.byKey, key)
	for id, isEnd := range indexed.ids {
		if !isEnd {
			decrement(s.unfinishedCount, id)
		}
		if decrement(s.segmentCount, id) == 0 {
			requests.Remove(id)
		}
	}
}

// decrement decrements the count of a request, deletes it when it is 0, and returns it.
func decrement(counts map[ID]int, id ID) int {
	counts[id]--
	n := counts[id]
	if n == 0 {
		delete(counts, id)
	}
	return n
}

// Len returns the number of segments that the store contains or may contain.
func (s *SegmentIndex) Len() int {
	return len(s.byKey)
}
