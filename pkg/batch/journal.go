package batch

import (
	"context"
	"encoding/json"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/store"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

const (
	// Prefix is where the segments of all shards stand in the store.
	Prefix = "batch/"
	// maxSegment leaves a wide margin to the largest value of the store.
	maxSegment = 256 << 10
	// ringSize bounds the entries that wait for a write.
	ringSize = 1024
	// commitTimeout bounds one write with its settling.
	commitTimeout = 1500 * time.Millisecond
)

// ErrRingFull says that too many entries wait; the entry was not taken.
var ErrRingFull = errors.New("too many batch entries wait for the store")

// Journal writes entries into the store in groups.
type Journal struct {
	shard    cell.ShardID
	interval time.Duration
	deps     JournalDeps
	ring     chan pendingEntry
}

// JournalDeps are what a journal needs of the world.
type JournalDeps struct {
	// Put writes a new key of the store; errors as of store.Swap.
	Put func(ctx context.Context, key, value string) (revision int64, err error)
	// Stored is told of each segment that was written, and of each that may have been.
	Stored func(Segment)
	// Authorized is asked right before each write.
	Authorized func() bool
}

type pendingEntry struct {
	entry Entry
	size  int
	done  chan error
}

// NewJournal returns the journal of a shard that lets interval lie between two writes.
func NewJournal(shard cell.ShardID, interval time.Duration, deps JournalDeps) *Journal {
	return &Journal{shard: shard, interval: interval, deps: deps, ring: make(chan pendingEntry, ringSize)}
}

// Load reads all segments of a shard, for a new owner, in no certain order.
func Load(ctx context.Context, s *store.Store, shard cell.ShardID) ([]Segment, error) {
	items, _, err := s.List(ctx, prefixOf(shard))
	if err != nil {
		return nil, errors.Wrapf(err, "batch segments of %s", shard)
	}
	var all []Segment
	for _, item := range items {
		segment := Segment{Key: item.Key, Revision: item.Revision}
		if err := json.Unmarshal([]byte(item.Value), &segment.Entries); err != nil {
			return nil, errors.Wrapf(err, "batch segment %s", item.Key)
		}
		all = append(all, segment)
	}
	return all, nil
}

func prefixOf(shard cell.ShardID) string {
	return Prefix + shard.String() + "/"
}

// Append returns nil when the entry is stored. ErrRingFull and store.ErrDown say that it
// certainly is not; store.ErrUnsettled that this is not known.
func (j *Journal) Append(ctx context.Context, e Entry) error {
	text, err := json.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode batch entry")
	}
	p := pendingEntry{entry: e, size: len(text) + 1, done: make(chan error, 1)}
	select {
	case j.ring <- p:
	default:
		return ErrRingFull
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return errors.Wrap(store.ErrUnsettled, "batch entry")
	}
}

// Run writes segments until ctx ends.
func (j *Journal) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			j.refuseRest()
			return
		case first := <-j.ring:
			j.commit(ctx, j.collect(first))
			j.rest(ctx)
		}
	}
}

func (j *Journal) collect(first pendingEntry) []pendingEntry {
	group, size := []pendingEntry{first}, first.size
	for size < maxSegment {
		select {
		case p := <-j.ring:
			group = append(group, p)
			size += p.size
		default:
			return group
		}
	}
	return group
}

func (j *Journal) commit(ctx context.Context, group []pendingEntry) {
	entries := make([]Entry, 0, len(group))
	for _, p := range group {
		entries = append(entries, p.entry)
	}
	err := j.write(ctx, entries)
	for _, p := range group {
		p.done <- err
	}
}

func (j *Journal) write(ctx context.Context, entries []Entry) error {
	text, err := json.Marshal(entries)
	if err != nil {
		return errors.Wrap(err, "encode batch segment")
	}
	if !j.deps.Authorized() {
		return errors.Wrap(store.ErrDown, "no authority to write a batch segment")
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	key := prefixOf(j.shard) + uuid.NewString()
	revision, err := j.deps.Put(ctx, key, string(text))
	if errors.Is(err, store.ErrUnsettled) {
		j.deps.Stored(Segment{Key: key, Entries: entries, Unsettled: true})
	}
	if err != nil {
		return err
	}
	j.deps.Stored(Segment{Key: key, Revision: revision, Entries: entries})
	// A segment that was stored after the authority ended may have been missed by the
	// next owner, so it must not be acknowledged.
	if !j.deps.Authorized() {
		return errors.Wrap(store.ErrUnsettled, "authority ended while a batch segment was written")
	}
	return nil
}

// rest lets the interval pass, so that what comes in meanwhile is written together.
func (j *Journal) rest(ctx context.Context) {
	t := time.NewTimer(j.interval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (j *Journal) refuseRest() {
	for {
		select {
		case p := <-j.ring:
			p.done <- errors.Wrap(store.ErrDown, "the journal has stopped")
		default:
			return
		}
	}
}
