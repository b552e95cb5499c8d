package cell

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Hall is the name of a data hall.
type Hall string

// Epoch is the number of an ownership of a shard, counted from 1. Owners with a lower epoch are fenced off
// by a higher one.
type Epoch int64

// ShardID identifies a shard: one partition of a hall's workers and endpoints.
type ShardID struct {
	Hall  Hall
	Index int
}

// String returns the form "hall/index", which ParseShardID reads.
func (s ShardID) String() string {
	return string(s.Hall) + "/" + strconv.Itoa(s.Index)
}

// ParseShardID parses the form "hall/index".
func ParseShardID(text string) (ShardID, error) {
	hall, index, ok := strings.Cut(text, "/")
	n, err := strconv.Atoi(index)
	if !ok || err != nil || hall == "" || n < 0 {
		return ShardID{}, errors.Newf("shard %q is not of the form hall/index", text)
	}
	return ShardID{Hall: Hall(hall), Index: n}, nil
}

// HallLayout describes a hall of a cell.
type HallLayout struct {
	Name   Hall
	Region string
	// Shards is the number of shards of the hall, 1 or more.
	Shards int
}

// Layout lists the halls of a cell with their shards. It can't change while the cell is running.
type Layout struct {
	Halls []HallLayout
}

// Hall returns the layout of a hall, and whether the cell has that hall.
func (l Layout) Hall(name Hall) (HallLayout, bool) {
	for _, h := range l.Halls {
		if h.Name == name {
			return h, true
		}
	}
	return HallLayout{}, false
}

// Shards lists all shards of the cell in the order of the layout.
func (l Layout) Shards() []ShardID {
	var all []ShardID
	for _, h := range l.Halls {
		for i := range h.Shards {
			all = append(all, ShardID{Hall: h.Name, Index: i})
		}
	}
	return all
}

// Home returns the home shard of an idempotency key, to which all requests with that key are sent. A key of
// the form "hall/rest" has its home in that hall, if the cell has it; other keys are distributed over all
// shards. The result depends only on the layout, not on which processes are alive. It is false if the cell
// has no shards.
func (l Layout) Home(key string) (ShardID, bool) {
	prefix, _, found := strings.Cut(key, "/")
	if found {
		if h, ok := l.Hall(Hall(prefix)); ok {
			return h.shardOf(key), true
		}
	}
	all := l.Shards()
	if len(all) == 0 {
		return ShardID{}, false
	}
	return all[xxhash.Sum64String(key)%uint64(len(all))], true
}

// ShardOf returns the shard of a hall to which a worker or task belongs. It is false if the cell lacks the
// hall.
func (l Layout) ShardOf(hall Hall, id string) (ShardID, bool) {
	h, ok := l.Hall(hall)
	if !ok {
		return ShardID{}, false
	}
	return h.shardOf(id), true
}

func (h HallLayout) shardOf(id string) ShardID {
	return ShardID{Hall: h.Name, Index: int(xxhash.Sum64String(id) % uint64(h.Shards))}
}
