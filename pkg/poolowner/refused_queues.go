package poolowner

import (
	"foldarch.dev/foldarch/pkg/admission"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/poolrpc"
	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
	"github.com/sirupsen/logrus"
)

// refusedQueues are the queues that accept no jobs, as computed last and as sent to the hosts.
type refusedQueues struct {
	computedAt clock.Time
	list       []admission.Refusal
	messages   []*poolpb.Refusal
}

// RefusedQueues returns the queues that accept no jobs at present, for the job API of this host.
func (o *Owner) RefusedQueues() []*poolpb.Refusal {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.currentRefusals()
}

// currentRefusals returns the queues that accept no jobs. They are computed at most once per heartbeat
// interval, since this goes over all jobs. The caller holds o.mu.
func (o *Owner) currentRefusals() []*poolpb.Refusal {
	now := o.deps.Clock.Now()
	if o.refusedQueues.computedAt != 0 && now.Sub(o.refusedQueues.computedAt) < poolrpc.HeartbeatInterval {
		return o.refusedQueues.messages
	}
	list := o.pool.RefusedQueues(now)
	if !admission.SameQueues(list, o.refusedQueues.list) {
		o.logRefusals(list)
	}
	o.refusedQueues = refusedQueues{computedAt: now, list: list}
	for _, r := range list {
		o.refusedQueues.messages = append(o.refusedQueues.messages, refusalMessage(r))
	}
	return o.refusedQueues.messages
}

// logRefusals logs which queues accept no jobs from now on, and why.
func (o *Owner) logRefusals(list []admission.Refusal) {
	if len(list) == 0 {
		o.deps.Log.Info("queues_take_in_again")
		return
	}
	for _, r := range list {
		o.deps.Log.WithFields(logrus.Fields{
			"queue": r.Queue, "advice_wait_ms": r.Wait.Milliseconds(), "retry_after_ms": r.RetryAfter.Milliseconds(),
		}).Info("queue_refuses")
	}
}

// refusalMessage returns the message that tells hosts of a refusal.
func refusalMessage(r admission.Refusal) *poolpb.Refusal {
	return &poolpb.Refusal{Queue: r.Queue, WaitMs: r.Wait.Milliseconds(), RetryAfterMs: r.RetryAfter.Milliseconds()}
}
