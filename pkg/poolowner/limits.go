package poolowner

import (
	"slices"

	"foldarch.dev/foldarch/pkg/admission"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/poolrpc"
	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
	"github.com/sirupsen/logrus"
)

// limits are the customers of whom not all is taken in, as worked out at a time and as told to the hosts.
type limits struct {
	at   clock.Time
	list []admission.Limit
	told []*poolpb.Limit
}

// Limits lists the customers of whom not all is taken in for now, as this host's door asks it.
func (o *Owner) Limits() []*poolpb.Limit {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.limitsNow()
}

// limitsNow lists the customers of whom not all is taken in. It is worked out once a heartbeat, since it goes over all jobs. The caller holds o.mu.
func (o *Owner) limitsNow() []*poolpb.Limit {
	now := o.deps.Clock.Now()
	if o.limits.at != 0 && now.Sub(o.limits.at) < poolrpc.HeartbeatEvery {
		return o.limits.told
	}
	list := o.pool.CustomerLimits(now)
	o.logLimits(o.limits.list, list)
	o.limits = limits{at: now, list: list, told: messagesOf(list)}
	return o.limits.told
}

// messagesOf are limits as hosts are told of them.
func messagesOf(list []admission.Limit) []*poolpb.Limit {
	var out []*poolpb.Limit
	for _, l := range list {
		told := &poolpb.Limit{Customer: l.Customer}
		for _, q := range l.Queues {
			queue := messageOf(q.Refusal)
			queue.Share = q.Share
			told.Queues = append(told.Queues, queue)
		}
		out = append(out, told)
	}
	return out
}

// logLimits tells for which queues customers begin and cease to be limited, and why.
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
