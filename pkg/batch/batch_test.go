package batch

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/store"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var shard = cell.ShardID{Hall: "seoul-1", Index: 2}

func TestIDContainsItsShard(t *testing.T) {
	g := NewWithT(t)
	id := NewID(shard, "foundry", "quote-17")
	g.Expect(id).To(Equal(NewID(shard, "foundry", "quote-17")))
	g.Expect(id).NotTo(Equal(NewID(shard, "foundryquote", "-17")))
	got, err := id.Shard()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(shard))
	_, err = ID("nonsense").Shard()
	g.Expect(err).To(HaveOccurred())
}

func TestRequestTableAppliesEntriesInAnyOrderAndTwice(t *testing.T) {
	g := NewWithT(t)
	end := End{ID: "a", State: Done, Result: "r"}
	request := Request{ID: "a", Workload: "fit"}
	table := NewRequestTable()
	for _, e := range []Entry{{Ended: &end}, {Starting: "a"}, {Submitted: &request}, {Ended: &end}, {Submitted: &request}} {
		table.Apply(e)
	}
	r, ok := table.Get("a")
	g.Expect(ok).To(BeTrue())
	g.Expect(r.State).To(Equal(Done))
	g.Expect(r.StartIntended).To(BeTrue())
	g.Expect(table.Unfinished()).To(BeEmpty())
}

// After any sequence of removals, the segments that are left in the store must not make a request that
// has ended seem unfinished: a new owner would run it again.
func TestRemovalDoesNotMakeAnEndedRequestUnfinished(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var entries []Entry
		requests, segments, stored := NewRequestTable(), NewSegmentIndex(), map[string][]Entry{}
		for i := range rapid.IntRange(1, 8).Draw(rt, "requests") {
			id := ID(rune('a' + i))
			entries = append(entries, Entry{Submitted: &Request{ID: id, Workload: "w"}})
			if rapid.Bool().Draw(rt, "intended") {
				entries = append(entries, Entry{Starting: id})
			}
			entries = append(entries, Entry{Ended: &End{ID: id, State: Done, At: time.Unix(int64(i), 0)}})
		}
		for n := 0; len(entries) > 0; n++ {
			k := min(rapid.IntRange(1, 4).Draw(rt, "group"), len(entries))
			key := string(rune('0' + n))
			stored[key] = entries[:k]
			segments.Add(Segment{Key: key, Entries: entries[:k]})
			for _, e := range entries[:k] {
				requests.Apply(e)
			}
			entries = entries[k:]
		}
		now := time.Unix(int64(rapid.IntRange(0, 10).Draw(rt, "now")), 0)
		for {
			s, ok := segments.Removable(requests, now, func(Record) time.Duration { return 0 })
			if !ok {
				break
			}
			delete(stored, s.Key)
			segments.Remove(s.Key, requests)
			reloaded := NewRequestTable()
			for _, group := range stored {
				for _, e := range group {
					reloaded.Apply(e)
				}
			}
			if unfinished := reloaded.Unfinished(); len(unfinished) > 0 {
				rt.Fatalf("a new owner would run %v again", unfinished)
			}
		}
	})
}

// Guards against the removal of a segment that was just stored, while its request is not in the table yet:
// it would be the only record of the request.
func TestSegmentStaysUntilItsRequestIsInTheTable(t *testing.T) {
	g := NewWithT(t)
	requests, segments := NewRequestTable(), NewSegmentIndex()
	submitted := Entry{Submitted: &Request{ID: "a", Workload: "w"}}
	segments.Add(Segment{Key: "0", Entries: []Entry{submitted}})
	keep := func(Record) time.Duration { return time.Hour }
	_, removable := segments.Removable(requests, time.Unix(1e9, 0), keep)
	g.Expect(removable).To(BeFalse())

	requests.Apply(submitted)
	requests.Apply(Entry{Ended: &End{ID: "a", State: Done, At: time.Unix(0, 0)}})
	_, removable = segments.Removable(requests, time.Unix(1e9, 0), keep)
	g.Expect(removable).To(BeTrue())
}

func TestJournalWritesWaitingEntriesTogether(t *testing.T) {
	g := NewWithT(t)
	written := make(chan []Entry, 10)
	proceed := make(chan struct{})
	j := NewJournal(shard, time.Microsecond, JournalDeps{
		Put: func(_ context.Context, _, value string) (int64, error) {
			var entries []Entry
			g.Expect(json.Unmarshal([]byte(value), &entries)).To(Succeed())
			written <- entries
			<-proceed
			return 1, nil
		},
		Authorized: func() bool { return true },
		Stored:     func(Segment) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go j.Run(ctx)
	results := make(chan error, 6)
	add := func() { results <- j.Append(ctx, Entry{Starting: "x"}) }
	go add()
	g.Eventually(written, "10s").Should(Receive(HaveLen(1)))
	for range 5 {
		go add()
	}
	g.Eventually(func() int { return len(j.queue) }, "10s").Should(Equal(5))
	close(proceed)
	g.Eventually(written, "10s").Should(Receive(HaveLen(5)))
	for range 6 {
		g.Eventually(results, "10s").Should(Receive(BeNil()))
	}
}

func TestSegmentStoredAfterTheAuthorityEndedIsNotAcknowledged(t *testing.T) {
	g := NewWithT(t)
	authorized := true
	j := NewJournal(shard, time.Microsecond, JournalDeps{
		Put: func(context.Context, string, string) (int64, error) {
			authorized = false
			return 1, nil
		},
		Authorized: func() bool { return authorized },
		Stored:     func(Segment) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go j.Run(ctx)
	err := j.Append(ctx, Entry{Starting: "x"})
	g.Expect(errors.Is(err, store.ErrUnsettled)).To(BeTrue(), "%v", err)
}
