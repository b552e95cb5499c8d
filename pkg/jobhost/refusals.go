package jobhost

import (
	"context"
	"fmt"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
)

// queueRefusals are the queues that take in no jobs, as the owner told last.
type queueRefusals struct {
	told[*poolpb.Refusal]
}

// of returns the refusal of a queue; nil when it takes in jobs, or nobody knows.
func (q *queueRefusals) of(queueName string, now clock.Time) *poolpb.Refusal {
	return refusalOf(q.now(now), queueName)
}

// refusalOf returns the refusal of a queue; nil when there is none.
func refusalOf(list []*poolpb.Refusal, queueName string) *poolpb.Refusal {
	for _, r := range list {
		if r.Queue == queueName {
			return r
		}
	}
	return nil
}

// refusal returns the refusal of a queue by the owner; nil when it takes in jobs.
func (h *Host) refusal(queueName string) *poolpb.Refusal {
	if o := h.owner.Load(); o != nil {
		return refusalOf(o.Refusals(), queueName)
	}
	return h.refusals.of(queueName, h.clk.Now())
}

// refuseUnserved refuses a job that would wait too long, unless it was handed in before: that one stays accepted. Errors: *platform.RefusedError.
func (h *Host) refuseUnserved(ctx context.Context, queueName string, id job.ID) error {
	r := h.refusal(queueName)
	if r == nil {
		return nil
	}
	if !h.certainlyNew(ctx, id) {
		return nil
	}
	h.figures.unserved.Inc(1)
	return &platform.RefusedError{
		Reason:     fmt.Sprintf("queue %s takes in no jobs: the calls for advice before a new one take %d ms", queueName, r.WaitMs),
		RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
	}
}

// certainlyNew says that the store has no record of a job, and tells so.
func (h *Host) certainlyNew(ctx context.Context, id job.ID) bool {
	_, err := h.readRecord(ctx, id)
	return errors.Is(err, platform.ErrNoJob)
}
