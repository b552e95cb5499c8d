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

// ID identifies a batch request. It has the form "hall.index.hash", which contains the home shard.
type ID string

// NewID returns the id for a caller's idempotency key at its home shard. The same caller and key always
// give the same id.
func NewID(home cell.ShardID, caller, key string) ID {
	sum := xxhash.Sum64String(strconv.Itoa(len(caller)) + caller + key)
	return ID(fmt.Sprintf("%s.%d.%016x", home.Hall, home.Index, sum))
}

// Shard returns the home shard that the id contains.
func (id ID) Shard() (cell.ShardID, error) {
	parts := strings.Split(string(id), ".")
	if len(parts) < 3 {
		return cell.ShardID{}, errors.Newf("%q is not the id of a batch request", string(id))
	}
	n := len(parts)
	return cell.ParseShardID(strings.Join(parts[:n-2], ".") + "/" + parts[n-2])
}

// State is the state of a batch request.
type State string

// States of a batch request.
const (
	Waiting State = "waiting"
	Running State = "running"
	Done    State = "done"
	Failed  State = "failed"
	Unknown State = "unknown" // the request may have run and is not run again
)

// Ended reports whether the state is final.
func (s State) Ended() bool {
	return s == Done || s == Failed || s == Unknown
}

// Request is a batch request as a caller submitted it.
type Request struct {
	ID            ID        `json:"id"`
	Caller        string    `json:"caller"`
	Workload      string    `json:"workload"`
	Payload       string    `json:"payload"`
	NotRepeatable bool      `json:"not_repeatable,omitempty"`
	At            time.Time `json:"at"`
}

// End describes how a batch request ended.
type End struct {
	ID     ID        `json:"id"`
	State  State     `json:"state"`
	Worker string    `json:"worker,omitempty"`
	Result string    `json:"result,omitempty"`
	At     time.Time `json:"at"`
}

// Entry is a change that must be stored: the submission of a request, the intention to start it, or its
// end. Exactly one field is set.
type Entry struct {
	Submitted *Request `json:"submitted,omitempty"`
	Starting  ID       `json:"starting,omitempty"`
	Ended     *End     `json:"ended,omitempty"`
}

// Record is the state of a request as the owner of its shard knows it.
type Record struct {
	Request
	State         State
	Worker        string
	Result        string
	EndedAt       time.Time
	StartIntended bool // the intention to start the request was written
}

// RequestTable holds the batch requests of a shard in memory of the shard's owner. It is not safe for
// concurrent use.
type RequestTable struct {
	records map[ID]*Record
}

// NewRequestTable returns an empty table.
func NewRequestTable() *RequestTable {
	return &RequestTable{records: map[ID]*Record{}}
}

// Apply applies an entry. The same entry may be applied several times, and the entries of a request in any
// order.
func (b *RequestTable) Apply(e Entry) {
	switch {
	case e.Submitted != nil:
		r := b.getOrCreate(e.Submitted.ID)
		r.Request = *e.Submitted
	case e.Starting != "":
		b.getOrCreate(e.Starting).StartIntended = true
	case e.Ended != nil:
		r := b.getOrCreate(e.Ended.ID)
		r.State, r.Worker, r.Result, r.EndedAt = e.Ended.State, e.Ended.Worker, e.Ended.Result, e.Ended.At
	}
}

// getOrCreate returns the record of a request, which it creates if there is none.
func (b *RequestTable) getOrCreate(id ID) *Record {
	r, ok := b.records[id]
	if !ok {
		r = &Record{Request: Request{ID: id}, State: Waiting}
		b.records[id] = r
	}
	return r
}

// SetPlacement records that a request was placed on a worker or waits again. It does nothing when the
// request has ended.
func (b *RequestTable) SetPlacement(id ID, state State, worker string) {
	if r, ok := b.records[id]; ok && !r.State.Ended() {
		r.State, r.Worker = state, worker
	}
}

// Get returns the record of a request.
func (b *RequestTable) Get(id ID) (Record, bool) {
	r, ok := b.records[id]
	if !ok {
		return Record{}, false
	}
	return *r, true
}

// Unfinished returns the requests that were submitted and have not ended, sorted by id.
func (b *RequestTable) Unfinished() []Record {
	var unfinished []Record
	for _, id := range slices.Sorted(maps.Keys(b.records)) {
		if r := b.records[id]; !r.State.Ended() && r.Workload != "" {
			unfinished = append(unfinished, *r)
		}
	}
	return unfinished
}

// Remove removes a request from the table.
func (b *RequestTable) Remove(id ID) {
	delete(b.records, id)
}
