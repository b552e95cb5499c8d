package jobhost

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
	"foldarch.dev/foldarch/platform"
)

// customerLimits are the customers of whom not all is taken in, as the owner told last.
type customerLimits struct {
	told[*poolpb.Limit]
}

// limitOf returns why a job is not among those of its customer that are taken in; nil when it is.
func limitOf(list []*poolpb.Limit, r job.Record) *poolpb.Refusal {
	for _, l := range list {
		if l.Customer != r.Customer.Name {
			continue
		}
		if q := refusalOf(l.Queues, r.Queue.Name); q != nil && place(r.Job.ID) >= q.Share {
			return q
		}
	}
	return nil
}

// placeBits is how many bits of a hash make a job's place: a float64 holds as many.
const placeBits = 53

// place is a number from 0 to below 1 that is the same for a job at all hosts: each decides alike on a job that is sent again.
func place(id job.ID) float64 {
	sum := sha256.Sum256([]byte(id))
	return float64(binary.BigEndian.Uint64(sum[:])>>(64-placeBits)) / (1 << placeBits)
}

// refuseBeyondWeight refuses a job beyond its customer's weight that would wait too long, unless it was handed in before: that one stays
// accepted. Errors: *platform.RefusedError.
func (h *Host) refuseBeyondWeight(ctx context.Context, r job.Record) error {
	if r.Customer.Name == "" {
		return nil
	}
	q := limitOf(h.limitsNow(), r)
	if q == nil || !h.certainlyNew(ctx, r.Job.ID) {
		return nil
	}
	h.figures.beyondWeight.Inc(1)
	return &platform.RefusedError{
		Reason:     fmt.Sprintf("customer %s sends more than its weight: its work before a new job of queue %s takes %d ms", r.Customer.Name, q.Queue, q.WaitMs),
		RetryAfter: time.Duration(q.RetryAfterMs) * time.Millisecond,
	}
}

// limitsNow lists the customers of whom not all is taken in.
func (h *Host) limitsNow() []*poolpb.Limit {
	if o := h.owner.Load(); o != nil {
		return o.Limits()
	}
	return h.limits.now(h.clk.Now())
}
