package ownership

import (
	"encoding/json"
	"net/netip"
	"strings"

	"foldarch.dev/foldarch/pkg/cell"
	"github.com/cockroachdb/errors"
)

// RecordPrefix is where the records of the shards stand in the store.
const RecordPrefix = "cell/shards/"

// Holder is one process. A process that starts again is another holder.
type Holder struct {
	ID          string         `json:"id"`
	Incarnation string         `json:"incarnation"`
	Address     netip.AddrPort `json:"address"`
}

// Record is what the store holds of a shard.
type Record struct {
	Epoch     cell.Epoch `json:"epoch"`
	Owner     Holder     `json:"owner"`
	Successor Holder     `json:"successor"`
	// WriteID makes every record unique.
	WriteID string `json:"write_id"`
}

// IsNone says that the holder stands for nobody.
func (h Holder) IsNone() bool {
	return h.Incarnation == ""
}

// KeyOf returns the key of a shard's record.
func KeyOf(shard cell.ShardID) string {
	return RecordPrefix + shard.String()
}

// ShardOfKey returns the shard to whose record a key belongs.
func ShardOfKey(key string) (cell.ShardID, error) {
	return cell.ParseShardID(strings.TrimPrefix(key, RecordPrefix))
}

// ParseRecord reads a record as it stands in the store.
func ParseRecord(text string) (Record, error) {
	var r Record
	if err := json.Unmarshal([]byte(text), &r); err != nil {
		return Record{}, errors.Wrap(err, "shard record")
	}
	return r, nil
}

// String returns the record as it stands in the store.
func (r Record) String() string {
	text, err := json.Marshal(r)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
