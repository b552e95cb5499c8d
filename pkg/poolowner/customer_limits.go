package poolowner

import (
	"slices"

	"foldarch.dev/foldarch/pkg/admission"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/poolrpc"
	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
	"github.com/sirupsen/logrus"
)

// customerLimits are the customers whose jobs are accepted only in part, as computed last and as sent to
// the hosts.
type customerLimits struct {
	computedAt clock.Time
	list       []admission.Limit
	messages   []*poolpb.Limit
}

// CustomerLimits returns the customers whose jobs are accepted only in part at present, for the job API
// of this host.
func (o *Owner) CustomerLimits() []*poolpb.Limit {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.currentLimits()
}

// currentLimits returns the customers whose jobs are accepted only in part. They are computed at most
// once per heartbeat interval, since this goes over all jobs. The caller holds o.mu.
func (o *Owner) currentLimits() []*poolpb.Limit {
	now := o.deps.Clock.Now()
	if o.customerLimits.computedAt != 0 && now.Sub(o.customerLimits.computedAt) < poolrpc.HeartbeatInterval {
		return o.customerLimits.messages
	}
	list := o.pool.CustomerLimits(now)
	o.logLimits(o.customerLimits.list, list)
	o.customerLimits = customerLimits{computedAt: now, list: list, messages: limitMessages(list)}
	return o.customerLimits.messages
}

// limitMessages returns the messages that tell hosts of limits.
func limitMessages(list []admission.Limit) []*poolpb.Limit {
	var out []*poolpb.Limit
	for _, l := range list {
		message := &poolpb.Limit{Customer: l.Customer}
		for _, q := range l.Queues {
			queue := refusalMessage(q.Refusal)
			queue.Share = q.Share
			message.Queues = append(message.Queues, queue)
		}
		out = append(out, message)
	}
	return out
}

// logLimits logs which customers' limits on which queues begin and end, and why they begin.
func (o *Owner) logLimits(before, list []admission.Limit) {
	for _, l := range before {
		for _, q := range l.Queues {
			if !isLimited(list, l.Customer, q.Queue) {
				o.deps.Log.WithFields(logrus.Fields{"customer": l.Customer, "queue": q.Queue}).Info("customer_limit_ends")
			}
		}
	}
	for _, l := range list {
		for _, q := range l.Queues {
			if !isLimited(before, l.Customer, q.Queue) {
				o.deps.Log.WithFields(logrus.Fields{
					"customer": l.Customer, "queue": q.Queue, "share": q.Share, "wait_ms": q.Wait.Milliseconds(), "retry_after_ms": q.RetryAfter.Milliseconds(),
				}).Info("customer_limited")
			}
		}
	}
}

func isLimited(list []admission.Limit, customer, queueName string) bool {
	return slices.ContainsFunc(list, func(l admission.Limit) bool {
		return l.Customer == customer && slices.ContainsFunc(l.Queues, func(q admission.QueueLimit) bool { return q.Queue == queueName })
	})
}
