package batch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// After any sequence of removals, no remaining segment may contain a request without its end, even if the
// writes of some segments got no answer. When all writes were answered, all segments must be removed, also
// when submissions and ends were written twice.
func TestRemovalAfterLostAnswers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		requests, segments, stored := NewRequestTable(), NewSegmentIndex(), map[string][]Entry{}
		lost := map[string]bool{}
		write := func(e Entry) {
			key := fmt.Sprint(len(stored))
			stored[key] = []Entry{e}
			lost[key] = rapid.Bool().Draw(rt, "lost "+key)
			segments.Add(Segment{Key: key, Revision: 1, Entries: stored[key], Unsettled: lost[key]})
		}
		for i := range rapid.IntRange(1, 4).Draw(rt, "requests") {
			id := ID(rune('a' + i))
			submitted := Entry{Submitted: &Request{ID: id, Workload: "w"}}
			ended := Entry{Ended: &End{ID: id, State: Done, At: time.Unix(0, 0)}}
			for range rapid.IntRange(1, 2).Draw(rt, "copies") {
				write(submitted)
			}
			for range rapid.IntRange(1, 2).Draw(rt, "ends") {
				write(ended)
			}
			requests.Apply(submitted)
			requests.Apply(ended)
		}
		for {
			s, ok := segments.Removable(requests, time.Unix(1, 0), func(Record) time.Duration { return 0 })
			if !ok {
				break
			}
			g.Expect(lost[s.Key]).To(BeFalse())
			delete(stored, s.Key)
			segments.Remove(s.Key, requests)
			remaining := NewRequestTable()
			for _, entries := range stored {
				remaining.Apply(entries[0])
			}
			g.Expect(remaining.Unfinished()).To(BeEmpty())
		}
		if !slices.Contains(slices.Collect(maps.Values(lost)), true) {
			g.Expect(stored).To(BeEmpty())
		}
	})
}
