package reach

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// RetryAfter returns after which time a caller that was refused because no host could write may try
// again: a whole number of seconds, at least one and within the time that the caller has left. It depends
// on the job's id, so that all hosts give the same answer and callers that were refused together return
// spread over the time that they have left.
func RetryAfter(id string, left time.Duration) time.Duration {
	sum := sha256.Sum256([]byte(id))
	choices := max(uint64(max(left-1, 0)/time.Second), 1)
	return time.Duration(1+binary.BigEndian.Uint64(sum[:])%choices) * time.Second
}
