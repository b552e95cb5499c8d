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

// customerLimits are the customers of which only a share of the jobs is accepted, as the owner last
// reported them.
type customerLimits struct {
	ownerList[*poolpb.Limit]
}

// findLimit returns the refusal that applies to a job because it is not in the accepted share of its
// customer's jobs; nil if it is.
func findLimit(list []*poolpb.Limit, r job.Record) *poolpb.Refusal {
	for _, l := range list {
		if l.Customer != r.Customer.Name {
			continue
		}
		if q := findRefusal(l.Queues, r.Queue.Name); q != nil && hashFraction(r.Job.ID) >= q.Share {
			return q
		}
	}
	return nil
}

// hashFractionBits is the number of hash bits used by hashFraction: the precision of a float64.
const hashFractionBits = 53

// hashFraction maps a job's id to a number in [0, 1). All hosts compute the same number, so that each
// makes the same decision about a job that is sent again.
func hashFraction(id job.ID) float64 {
	sum := sha256.Sum256([]byte(id))
	return float64(binary.BigEndian.Uint64(sum[:])>>(64-hashFractionBits)) / (1 << hashFractionBits)
}

// refuseForShare refuses a job of a customer that sends more than its weight if the job would wait too
// long, unless the job was already accepted. Errors: *platform.RefusedError.
func (h *Host) refuseForShare(ctx context.Context, r job.Record) error {
	if r.Customer.Name == "" {
		return nil
	}
	q := findLimit(h.currentLimits(), r)
	if q == nil || !h.isNewJob(ctx, r.Job.ID) {
		return nil
	}
	h.metrics.overShare.Inc(1)
	return &platform.RefusedError{
		Reason:     fmt.Sprintf("customer %s sends more than its weight: its work before a new job of queue %s takes %d ms", r.Customer.Name, q.Queue, q.WaitMs),
		RetryAfter: time.Duration(q.RetryAfterMs) * time.Millisecond,
	}
}

// currentLimits lists the customers of which only a share of the jobs is accepted.
func (h *Host) currentLimits() []*poolpb.Limit {
	if o := h.owner.Load(); o != nil {
		return o.CustomerLimits()
	}
	return h.limits.current(h.clk.Now())
}
