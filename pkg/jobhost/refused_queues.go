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

// refusedQueueList are the queues that accept no jobs, as the owner last reported them.
type queueRefusals struct {
	told[*poolpb.Refusal]
}

// find returns the refusal of a queue; nil if the queue accepts jobs or no recent list is known.
func (q *queueRefusals) of(queueName string, now clock.Time) *poolpb.Refusal {
	return refusalOf(q.now(now), queueName)
}

// findRefusal returns the refusal of a queue from a list; nil if it is not on the list.
func refusalOf(list []*poolpb.Refusal, queueName string) *poolpb.Refusal {
	for _, r := range list {
		if r.Queue == queueName {
			return r
		}
	}
	return nil
}

// queueRefusal returns the owner's refusal of a queue; nil if the queue accepts jobs.
func (h *Host) refusal(queueName string) *poolpb.Refusal {
	if o := h.owner.Load(); o != nil {
		return refusalOf(o.Refusals(), queueName)
	}
	return h.refusals.of(queueName, h.clk.Now())
}

// refuseForQueue refuses a job that would wait too long, unless the job was already accepted. Errors:
// *platform.RefusedError.
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

// isNewJob reports whether the store has answered that it has no record of a job.
func (h *Host) certainlyNew(ctx context.Context, id job.ID) bool {
	_, err := h.readRecord(ctx, id)
	return errors.Is(err, platform.ErrNoJob)
}
