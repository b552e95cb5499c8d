package batch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Whatever is removed, no segment is left that tells of a request without its end. In the end all is removed, though ends were written twice.
func TestRemovalWithRepeatedEntries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		book, segments, stored := NewBook(), NewSegments(), map[string][]Entry{}
		write := func(e Entry) {
			key := fmt.Sprint(len(stored))
			stored[key] = []Entry{e}
			segments.Add(Segment{Key: key, Revision: 1, Entries: stored[key]})
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
			book.Apply(submitted)
			book.Apply(ended)
		}
		for {
			s, ok := segments.Removable(book, time.Unix(1, 0), func(Record) time.Duration { return 0 })
			if !ok {
				break
			}
			delete(stored, s.Key)
			segments.Removed(s.Key, book)
			left := NewBook()
			for _, entries := range stored {
				left.Apply(entries[0])
			}
			g.Expect(left.Open()).To(BeEmpty())
		}
		g.Expect(stored).To(BeEmpty())
	})
}
