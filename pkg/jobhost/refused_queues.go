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
type refusedQueueList struct {
	ownerList[*poolpb.Refusal]
}

// find returns the refusal of a queue; nil if the queue accepts jobs or no recent list is known.
func (q *refusedQueueList) find(queueName string, now clock.Time) *poolpb.Refusal {
	return findRefusal(q.current(now), queueName)
}

// findRefusal returns the refusal of a queue from a list; nil if it is not on the list.
func findRefusal(list []*poolpb.Refusal, queueName string) *poolpb.Refusal {
	for _, r := range list {
		if r.Queue == queueName {
			return r
		}
	}
	return nil
}

// queueRefusal returns the owner's refusal of a queue; nil if the queue accepts jobs.
func (h *Host) queueRefusal(queueName string) *poolpb.Refusal {
	if o := h.owner.Load(); o != nil {
		return findRefusal(o.RefusedQueues(), queueName)
	}
	return h.refusedQueues.find(queueName, h.clk.Now())
}

// refuseForQueue refuses a job that would wait too long, unless the job was already accepted. Errors:
// *platform.RefusedError.
func (h *Host) refuseForQueue(ctx context.Context, queueName string, id job.ID) error {
	r := h.queueRefusal(queueName)
	if r == nil {
		return nil
	}
	if !h.isNewJob(ctx, id) {
		return nil
	}
	h.metrics.queueRefused.Inc(1)
	return &platform.RefusedError{
		Reason:     fmt.Sprintf("queue %s takes in no jobs: the calls for advice before a new one take %d ms", queueName, r.WaitMs),
		RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
	}
}

// isNewJob reports whether the store has answered that it has no record of a job.
func (h *Host) isNewJob(ctx context.Context, id job.ID) bool {
	_, err := h.readRecord(ctx, id)
	return errors.Is(err, platform.ErrNoJob)
}
