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
	// KeyPrefix is the prefix of the keys under which the segments of all shards are stored.
	KeyPrefix = "batch/"
	// maxSegmentBytes stays well below the largest value that the store accepts. The last entry of a
	// segment may exceed it.
	maxSegmentBytes = 256 << 10
	// queueSize is how many entries can wait for a write.
	queueSize = 1024
	// commitTimeout bounds one write, including the time to find out whether it took effect.
	commitTimeout = 1500 * time.Millisecond
)

// ErrQueueFull means that an entry was rejected because too many entries wait for a write.
var ErrQueueFull = errors.New("batch journal queue is full")

// Journal writes the entries of a shard into the store in groups, called segments.
type Journal struct {
	shard    cell.ShardID
	interval time.Duration
	deps     JournalDeps
	queue    chan pendingEntry
}

// JournalDeps holds the functions that a journal calls.
type JournalDeps struct {
	// Put writes a new key into the store. It returns the same errors as store.Swap.
	Put func(ctx context.Context, key, value string) (revision int64, err error)
	// Stored is called with each segment that was stored or may have been stored.
	Stored func(Segment)
	// Authorized reports whether this process has the authority to write for the shard. It is called
	// immediately before and after each write.
	Authorized func() bool
}

// pendingEntry is an entry that waits for a write; done receives the result.
type pendingEntry struct {
	entry Entry
	size  int
	done  chan error
}

// NewJournal returns the journal of a shard. It waits for the given interval between two writes.
func NewJournal(shard cell.ShardID, interval time.Duration, deps JournalDeps) *Journal {
	return &Journal{shard: shard, interval: interval, deps: deps, queue: make(chan pendingEntry, queueSize)}
}

// Load reads all stored segments of a shard, in no particular order. A new owner calls it.
func Load(ctx context.Context, s *store.Store, shard cell.ShardID) ([]Segment, error) {
	items, _, err := s.List(ctx, shardPrefix(shard))
	if err != nil {
		return nil, errors.Wrapf(err, "list batch segments of shard %s", shard)
	}
	var segments []Segment
	for _, item := range items {
		segment := Segment{Key: item.Key, Revision: item.Revision}
		if err := json.Unmarshal([]byte(item.Value), &segment.Entries); err != nil {
			return nil, errors.Wrapf(err, "decode batch segment %s", item.Key)
		}
		segments = append(segments, segment)
	}
	return segments, nil
}

func shardPrefix(shard cell.ShardID) string {
	return KeyPrefix + shard.String() + "/"
}

// Append queues an entry and waits until it is stored, and then returns nil. ErrQueueFull and
// store.ErrUnavailable mean that the entry was certainly not stored, store.ErrUnsettled that it may have been.
func (j *Journal) Append(ctx context.Context, e Entry) error {
	text, err := json.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode batch entry")
	}
	p := pendingEntry{entry: e, size: len(text) + 1, done: make(chan error, 1)}
	select {
	case j.queue <- p:
	default:
		return ErrQueueFull
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return errors.Wrap(store.ErrUnsettled, "append batch entry: gave up waiting")
	}
}

// Run writes segments until ctx ends, and then rejects the entries that still wait.
func (j *Journal) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			j.rejectQueued()
			return
		case first := <-j.queue:
			j.commit(ctx, j.collect(first))
			j.waitInterval(ctx)
		}
	}
}

// collect returns the first entry together with the waiting ones that fit into the same segment.
func (j *Journal) collect(first pendingEntry) []pendingEntry {
	group, size := []pendingEntry{first}, first.size
	for size < maxSegmentBytes {
		select {
		case p := <-j.queue:
			group = append(group, p)
			size += p.size
		default:
			return group
		}
	}
	return group
}

// commit writes a group of entries as one segment and reports the result to all who wait for them.
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

// write stores a segment under a new key.
func (j *Journal) write(ctx context.Context, entries []Entry) error {
	text, err := json.Marshal(entries)
	if err != nil {
		return errors.Wrap(err, "encode batch segment")
	}
	if !j.deps.Authorized() {
		return errors.Wrap(store.ErrUnavailable, "no authority to write batch segment")
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	key := shardPrefix(j.shard) + uuid.NewString()
	revision, err := j.deps.Put(ctx, key, string(text))
	if errors.Is(err, store.ErrUnsettled) {
		j.deps.Stored(Segment{Key: key, Entries: entries, Unsettled: true})
	}
	if err != nil {
		return err
	}
	j.deps.Stored(Segment{Key: key, Revision: revision, Entries: entries})
	// The next owner may have read the segments before this one was stored, if it was stored after the
	// authority ended. Its entries must not be acknowledged then.
	if !j.deps.Authorized() {
		return errors.Wrap(store.ErrUnsettled, "authority ended during the write of a batch segment")
	}
	return nil
}

// waitInterval waits for the interval, so that the entries that arrive in the meantime are written
// together.
func (j *Journal) waitInterval(ctx context.Context) {
	t := time.NewTimer(j.interval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// rejectQueued rejects all entries that wait.
func (j *Journal) rejectQueued() {
	for {
		select {
		case p := <-j.queue:
			p.done <- errors.Wrap(store.ErrUnavailable, "batch journal has stopped")
		default:
			return
		}
	}
}
