package reach

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// RetryAfter is when a caller may come back who was refused while nobody could write: some whole second before its time is up, at least one. It
// follows from the job's id, so that all hosts agree and callers who were refused together come back spread over the time that they have left.
func RetryAfter(id string, left time.Duration) time.Duration {
	sum := sha256.Sum256([]byte(id))
	choices := max(uint64(max(left-1, 0)/time.Second), 1)
	return time.Duration(1+binary.BigEndian.Uint64(sum[:])%choices) * time.Second
}
