package poolowner

import (
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/poolrpc"
	"github.com/sirupsen/logrus"
)

// refusals are the queues that take in no jobs, as worked out at a time.
type refusals struct {
	at   clock.Time
	list []dispatch.Refusal
}

// Refusal says whether a queue takes in no jobs for now, as this host's door asks it.
func (o *Owner) Refusal(queueName string) (r dispatch.Refusal, refused bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.refusalsNow() {
		if r.Queue == queueName {
			return r, true
		}
	}
	return dispatch.Refusal{}, false
}

// refusalsNow lists the queues that take in no jobs. It is worked out once a heartbeat, since it goes over all jobs. The caller holds o.mu.
func (o *Owner) refusalsNow() []dispatch.Refusal {
	now := o.deps.Clock.Now()
	if o.refusals.at != 0 && now.Sub(o.refusals.at) < poolrpc.HeartbeatEvery {
		return o.refusals.list
	}
	list := o.pool.Refusals(now)
	if !dispatch.SameQueues(list, o.refusals.list) {
		o.logRefusals(list)
	}
	o.refusals = refusals{at: now, list: list}
	return list
}

// logRefusals tells which queues take in no jobs from now on, and why.
func (o *Owner) logRefusals(list []dispatch.Refusal) {
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
