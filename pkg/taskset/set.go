package taskset

import (
	"iter"
	"maps"
	"math/bits"
	"slices"
)

// SegmentSize is how many numbers a segment has. Segment n has the numbers from n * SegmentSize on.
const SegmentSize = 256

const (
	wordBits     = 64
	segmentWords = SegmentSize / wordBits
)

// bitmap has a bit for each number of a segment.
type bitmap [segmentWords]uint64

func (b *bitmap) add(offset int64) (added bool) {
	word, bit := offset/wordBits, uint64(1)<<(offset%wordBits)
	added = b[word]&bit == 0
	b[word] |= bit
	return added
}

func (b *bitmap) contains(offset int64) bool {
	return b[offset/wordBits]&(1<<(offset%wordBits)) != 0
}

func (b *bitmap) isComplete() bool {
	for _, word := range b {
		if word != ^uint64(0) {
			return false
		}
	}
	return true
}

// nextAbsent returns the least offset from the given one on that is not set; SegmentSize if all are.
func (b *bitmap) nextAbsent(offset int64) int64 {
	for offset < SegmentSize {
		if absent := ^b[offset/wordBits] >> (offset % wordBits); absent != 0 {
			return offset + int64(bits.TrailingZeros64(absent))
		}
		offset = (offset/wordBits + 1) * wordBits
	}
	return SegmentSize
}

// nextPresent returns the least offset from the given one on that is set; SegmentSize if none is.
func (b *bitmap) nextPresent(offset int64) int64 {
	for offset < SegmentSize {
		if present := b[offset/wordBits] >> (offset % wordBits); present != 0 {
			return offset + int64(bits.TrailingZeros64(present))
		}
		offset = (offset/wordBits + 1) * wordBits
	}
	return SegmentSize
}

// Set is a set of numbers from 0 on. The zero value is empty.
type Set struct {
	complete intervals         // of segments
	partial  map[int64]*bitmap // by segment; none of them is complete or empty
	count    int64
}

// SegmentOf returns the segment of a number.
func SegmentOf(n int64) int64 {
	return n / SegmentSize
}

// Add adds a number.
func (s *Set) Add(n int64) {
	segment, offset := n/SegmentSize, n%SegmentSize
	if s.HasSegment(segment) {
		return
	}
	b := s.partial[segment]
	if b == nil {
		b = &bitmap{}
		if s.partial == nil {
			s.partial = map[int64]*bitmap{}
		}
		s.partial[segment] = b
	}
	if !b.add(offset) {
		return
	}
	s.count++
	if b.isComplete() {
		delete(s.partial, segment)
		s.complete = s.complete.add(Interval{segment, segment + 1})
	}
}

// AddInterval adds the numbers of an interval.
func (s *Set) AddInterval(i Interval) {
	for n := i.From; n < i.To; {
		whole := Interval{n / SegmentSize, i.To / SegmentSize}
		if n%SegmentSize == 0 && whole.From < whole.To {
			s.AddSegments(whole)
			n = whole.To * SegmentSize
			continue
		}
		s.Add(n)
		n++
	}
}

// AddSegments adds all numbers of an interval of segments.
func (s *Set) AddSegments(segments Interval) {
	s.count += segments.Len()*SegmentSize - s.Count(segments.From*SegmentSize, segments.To*SegmentSize)
	s.complete = s.complete.add(segments)
	maps.DeleteFunc(s.partial, func(n int64, _ *bitmap) bool { return segments.From <= n && n < segments.To })
}

// Contains reports whether a number is in the set.
func (s *Set) Contains(n int64) bool {
	segment := n / SegmentSize
	if b := s.partial[segment]; b != nil {
		return b.contains(n % SegmentSize)
	}
	return s.HasSegment(segment)
}

// Len returns how many numbers are in the set.
func (s *Set) Len() int64 {
	return s.count
}

// NextAbsent returns the least number from n on that is not in the set.
func (s *Set) NextAbsent(n int64) int64 {
	for {
		segment := n / SegmentSize
		if after := s.complete.nextAbsent(segment); after != segment {
			n = after * SegmentSize
			continue
		}
		b := s.partial[segment]
		if b == nil {
			return n
		}
		offset := b.nextAbsent(n % SegmentSize)
		n = segment*SegmentSize + offset
		if offset < SegmentSize {
			return n
		}
	}
}

// Intervals iterates over the longest intervals of numbers that are in the set, in order.
func (s *Set) Intervals() iter.Seq[Interval] {
	return func(yield func(Interval) bool) {
		var current Interval
		for next := range s.segmentIntervals() {
			if next.From == current.To {
				current.To = next.To
				continue
			}
			if current.Len() > 0 && !yield(current) {
				return
			}
			current = next
		}
		if current.Len() > 0 {
			yield(current)
		}
	}
}

// segmentIntervals iterates over the intervals of the complete and the other segments, in order.
func (s *Set) segmentIntervals() iter.Seq[Interval] {
	return func(yield func(Interval) bool) {
		partial := s.PartialSegments()
		for _, c := range append(slices.Clone(s.complete), Interval{From: noSegment, To: noSegment}) {
			for len(partial) > 0 && partial[0] < c.From {
				base := partial[0] * SegmentSize
				for _, i := range s.Segment(partial[0]) {
					if !yield(Interval{base + i.From, base + i.To}) {
						return
					}
				}
				partial = partial[1:]
			}
			if c.From != noSegment && !yield(Interval{c.From * SegmentSize, c.To * SegmentSize}) {
				return
			}
		}
	}
}

// noSegment is above the number of any segment.
const noSegment = 1<<63 - 1

// Count returns how many numbers from from to to - 1 are in the set.
func (s *Set) Count(from, to int64) int64 {
	var n int64
	for i := from; i < to; {
		segment := i / SegmentSize
		end := min(to, (segment+1)*SegmentSize)
		if after := s.complete.nextAbsent(segment); after != segment {
			end = min(to, after*SegmentSize)
			n += end - i
		} else if b := s.partial[segment]; b != nil {
			n += b.count(i%SegmentSize, end-segment*SegmentSize)
		} else {
			end = min(to, s.nextUsedSegment(segment)*SegmentSize)
		}
		i = end
	}
	return n
}

// count returns how many offsets from from to to - 1 are set.
func (b *bitmap) count(from, to int64) int64 {
	var n int64
	for at := b.nextPresent(from); at < to; at = b.nextPresent(at) {
		end := min(b.nextAbsent(at), to)
		n += end - at
		at = end
	}
	return n
}

// nextUsedSegment returns the least segment after the given one that has numbers of the set; a segment
// beyond all numbers if there is none.
func (s *Set) nextUsedSegment(segment int64) int64 {
	next := int64(noSegment / SegmentSize)
	if at := s.complete.search(segment); at < len(s.complete) {
		next = s.complete[at].From
	}
	for n := range s.partial {
		if n > segment {
			next = min(next, n)
		}
	}
	return next
}

// Segment returns the numbers of a segment that are in the set, as intervals of their offsets.
func (s *Set) Segment(segment int64) []Interval {
	if s.HasSegment(segment) {
		return []Interval{{0, SegmentSize}}
	}
	b := s.partial[segment]
	if b == nil {
		return nil
	}
	var out []Interval
	for at := b.nextPresent(0); at < SegmentSize; {
		end := b.nextAbsent(at)
		out = append(out, Interval{at, end})
		at = b.nextPresent(end)
	}
	return out
}

// HasSegment reports whether the set has all numbers of a segment.
func (s *Set) HasSegment(segment int64) bool {
	return s.complete.nextAbsent(segment) != segment
}

// CompleteSegments returns the segments of which the set has all numbers. The caller must not change them.
func (s *Set) CompleteSegments() []Interval {
	return s.complete
}

// PartialSegments returns the segments of which the set has some numbers, sorted.
func (s *Set) PartialSegments() []int64 {
	return slices.Sorted(maps.Keys(s.partial))
}
