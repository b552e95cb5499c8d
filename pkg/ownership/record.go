package ownership

import (
	"encoding/json"
	"net/netip"
	"strings"

	"foldarch.dev/foldarch/pkg/cell"
	"github.com/cockroachdb/errors"
)

// RecordPrefix is the prefix of the keys under which the store holds the shard records.
const RecordPrefix = "cell/shards/"

// Holder is one process, as an owner or a successor. A process that restarts is another holder.
type Holder struct {
	ID          string         `json:"id"`
	Incarnation string         `json:"incarnation"`
	Address     netip.AddrPort `json:"address"`
}

// Record is the store's record of a shard.
type Record struct {
	Epoch     cell.Epoch `json:"epoch"`
	Owner     Holder     `json:"owner"`
	Successor Holder     `json:"successor"`
	// WriteID is unique to each write of a record.
	WriteID string `json:"write_id"`
}

// IsNone reports whether the holder names no process.
func (h Holder) IsNone() bool {
	return h.Incarnation == ""
}

// RecordKey returns the key of a shard's record.
func RecordKey(shard cell.ShardID) string {
	return RecordPrefix + shard.String()
}

// ParseRecordKey returns the shard whose record has the given key.
func ParseRecordKey(key string) (cell.ShardID, error) {
	return cell.ParseShardID(strings.TrimPrefix(key, RecordPrefix))
}

// ParseRecord decodes a record from its form in the store.
func ParseRecord(text string) (Record, error) {
	var r Record
	if err := json.Unmarshal([]byte(text), &r); err != nil {
		return Record{}, errors.Wrap(err, "parse shard record")
	}
	return r, nil
}

// String returns the record in the form that the store holds.
func (r Record) String() string {
	text, err := json.Marshal(r)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
