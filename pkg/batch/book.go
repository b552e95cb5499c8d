package batch

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// ID names a batch request: "hall.index.hash", so that it tells its home shard.
type ID string

// NewID returns the id of a caller's key at its home shard; the same key has the same id.
func NewID(home cell.ShardID, caller, key string) ID {
	sum := xxhash.Sum64String(strconv.Itoa(len(caller)) + caller + key)
	return ID(fmt.Sprintf("%s.%d.%016x", home.Hall, home.Index, sum))
}

// Shard returns the home shard that the id tells.
func (id ID) Shard() (cell.ShardID, error) {
	parts := strings.Split(string(id), ".")
	if len(parts) < 3 {
		return cell.ShardID{}, errors.Newf("%q is not the id of a batch request", string(id))
	}
	n := len(parts)
	return cell.ParseShardID(strings.Join(parts[:n-2], ".") + "/" + parts[n-2])
}

// State says how far a batch request is.
type State string

// The states.
const (
	Waiting State = "waiting"
	Running State = "running"
	Done    State = "done"
	Failed  State = "failed"
	Unknown State = "unknown" // it may have run; it is not run again
)

// Ended says whether the state is final.
func (s State) Ended() bool {
	return s == Done || s == Failed || s == Unknown
}

// Request is a batch request as a caller made it.
type Request struct {
	ID            ID        `json:"id"`
	Caller        string    `json:"caller"`
	Workload      string    `json:"workload"`
	Payload       string    `json:"payload"`
	NotRepeatable bool      `json:"not_repeatable,omitempty"`
	At            time.Time `json:"at"`
}

// End is how a batch request ended.
type End struct {
	ID     ID        `json:"id"`
	State  State     `json:"state"`
	Worker string    `json:"worker,omitempty"`
	Result string    `json:"result,omitempty"`
	At     time.Time `json:"at"`
}

// Entry is one thing that must not be lost; exactly one field is set.
type Entry struct {
	Submitted *Request `json:"submitted,omitempty"`
	Starting  ID       `json:"starting,omitempty"`
	Ended     *End     `json:"ended,omitempty"`
}

// Record is what is known of one request.
type Record struct {
	Request
	State    State
	Worker   string
	Result   string
	EndedAt  time.Time
	Intended bool // an intention to start it was written
}

// Book is what an owner knows of the batch requests of its shard. It is not safe for
// concurrent use.
type Book struct {
	records map[ID]*Record
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{records: map[ID]*Record{}}
}

// Apply takes an entry in; entries may come twice and an end before its submission.
func (b *Book) Apply(e Entry) {
	switch {
	case e.Submitted != nil:
		r := b.record(e.Submitted.ID)
		r.Request = *e.Submitted
	case e.Starting != "":
		b.record(e.Starting).Intended = true
	case e.Ended != nil:
		r := b.record(e.Ended.ID)
		r.State, r.Worker, r.Result, r.EndedAt = e.Ended.State, e.Ended.Worker, e.Ended.Result, e.Ended.At
	}
}

func (b *Book) record(id ID) *Record {
	r, ok := b.records[id]
	if !ok {
		r = &Record{Request: Request{ID: id}, State: Waiting}
		b.records[id] = r
	}
	return r
}

// Moved records that a request was placed on a worker, or waits again.
func (b *Book) Moved(id ID, state State, worker string) {
	if r, ok := b.records[id]; ok && !r.State.Ended() {
		r.State, r.Worker = state, worker
	}
}

// Get returns what is known of a request.
func (b *Book) Get(id ID) (Record, bool) {
	r, ok := b.records[id]
	if !ok {
		return Record{}, false
	}
	return *r, true
}

// Open lists the requests that have not ended, by id.
func (b *Book) Open() []Record {
	var open []Record
	for _, id := range slices.Sorted(maps.Keys(b.records)) {
		if r := b.records[id]; !r.State.Ended() && r.Workload != "" {
			open = append(open, *r)
		}
	}
	return open
}

// Drop forgets a request.
func (b *Book) Drop(id ID) {
	delete(b.records, id)
}
