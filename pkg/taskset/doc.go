// Package taskset keeps sets of task numbers that grow towards all numbers below a limit, such as the tasks
// of a job that are done.
//
// Its memory depends on the gaps in the set and not on the number of its members: numbers are grouped into
// segments of SegmentSize. A segment that is complete is kept as part of an interval of segments, and one
// that is not as a bitmap. Package dispatch keeps the done tasks of each job in a Set, and package job
// stores one in parts, segment by segment.
//
// A Set is not safe for concurrent use.
//
// # Usage
//
//	var s taskset.Set
//	s.Add(0)
//	s.Add(2)
//	s.Contains(2)        // true
//	s.NextAbsent(0)      // 1
//	s.Count(0, 10)       // 2
//	s.Segment(0)         // [{0 1} {2 3}]
//	s.CompleteSegments() // none: segment 0 lacks most of its numbers
package taskset
