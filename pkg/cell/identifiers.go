package cell

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Hall names a data hall.
type Hall string

// Epoch counts the owners of a shard. A higher epoch fences a lower one. The first is 1.
type Epoch int64

// ShardID names one slice of a hall's workers and endpoints.
type ShardID struct {
	Hall  Hall
	Index int
}

// String returns the form "hall/index", which ParseShardID reads.
func (s ShardID) String() string {
	return string(s.Hall) + "/" + strconv.Itoa(s.Index)
}

// ParseShardID reads the form "hall/index".
func ParseShardID(text string) (ShardID, error) {
	hall, index, ok := strings.Cut(text, "/")
	n, err := strconv.Atoi(index)
	if !ok || err != nil || hall == "" || n < 0 {
		return ShardID{}, errors.Newf("shard %q is not of the form hall/index", text)
	}
	return ShardID{Hall: Hall(hall), Index: n}, nil
}

// HallLayout is one hall of a cell.
type HallLayout struct {
	Name   Hall
	Region string
	// Shards is the number of shards of the hall, 1 or more.
	Shards int
}

// Layout is the fixed shape of a cell.
type Layout struct {
	Halls []HallLayout
}

// Hall returns the layout of one hall, and whether the cell has it.
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

// Home returns the shard at which all copies of a key meet. A key of the form
// "hall/rest" is at home in that hall, when the cell has it; any other key is spread over
// all shards. The answer depends on the layout only, never on who is alive.
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

// ShardOf returns the shard of a hall to which a worker or a task belongs.
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
