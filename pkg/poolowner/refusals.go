package poolowner

import (
	"foldarch.dev/foldarch/pkg/admission"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/poolrpc"
	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
	"github.com/sirupsen/logrus"
)

// refusals are the queues that take in no jobs, as worked out at a time and as told to the hosts.
type refusals struct {
	at   clock.Time
	list []admission.Refusal
	told []*poolpb.Refusal
}

// Refusals lists the queues that take in no jobs for now, as this host's door asks it.
func (o *Owner) Refusals() []*poolpb.Refusal {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.refusalsNow()
}

// refusalsNow lists the queues that take in no jobs. It is worked out once a heartbeat, since it goes over all jobs. The caller holds o.mu.
func (o *Owner) refusalsNow() []*poolpb.Refusal {
	now := o.deps.Clock.Now()
	if o.refusals.at != 0 && now.Sub(o.refusals.at) < poolrpc.HeartbeatEvery {
		return o.refusals.told
	}
	list := o.pool.RefusedQueues(now)
	if !admission.SameQueues(list, o.refusals.list) {
		o.logRefusals(list)
	}
	o.refusals = refusals{at: now, list: list}
	for _, r := range list {
		o.refusals.told = append(o.refusals.told, messageOf(r))
	}
	return o.refusals.told
}

// logRefusals tells which queues take in no jobs from now on, and why.
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

// messageOf is a refusal as hosts are told of it.
func messageOf(r admission.Refusal) *poolpb.Refusal {
	return &poolpb.Refusal{Queue: r.Queue, WaitMs: r.Wait.Milliseconds(), RetryAfterMs: r.RetryAfter.Milliseconds()}
}
