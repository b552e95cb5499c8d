package jobhost

import (
	"foldarch.dev/foldarch/pkg/customer"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/queue"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// admit decides whether a call may go on (package customer), and logs each that may not.
func (h *Host) admit(cfg *queue.Config, c platform.Call) (customer.Caller, error) {
	bounds := h.cfg.Load().Bounds
	call := customer.Call{
		QueueKnown: c.Queue != nil, Age: h.operatorKeys.Age(),
		Terms: customer.Terms{Apply: bounds.ConfigApply, Strict: bounds.StrictKeys, Revoke: bounds.Revoke},
	}
	if c.Queue != nil {
		call.QueuePublic = c.Queue.Public
	}
	var holder *customer.Customer
	holder, call.Key = keyOf(cfg.Customers, c)
	caller := customer.NewCaller(holder, call, c.Operator || cfg.Customers == nil)
	ruling := customer.Decide(call)
	if ruling.Verdict != customer.Admitted {
		h.figures.denied(ruling.Verdict)
		event := "call_denied"
		if c.Queue == nil {
			event = "queue_unknown"
		}
		h.log.WithFields(logrus.Fields{
			"asked": c.Asked, "reason": ruling.Reason, "customer": caller.Name(), "config": cfg.Version, "config_age_ms": call.Age.Milliseconds(),
		}).Info(event)
	}
	return caller, errorOf(ruling)
}

// keyOf says what the keys of a call are, and whose.
func keyOf(d *customer.Directory, call platform.Call) (*customer.Customer, customer.Key) {
	switch keys := call.Keys; {
	case d == nil:
		return nil, customer.KeyNotNeeded
	case len(keys) == 0 && call.Operator:
		return nil, customer.KeyOfOperator
	case len(keys) == 0:
		return nil, customer.KeyAbsent
	case len(keys) > 1 || keys[0] == "":
		return nil, customer.KeyUnclear
	}
	c, known := d.ByKey(call.Keys[0])
	if !known {
		return nil, customer.KeyUnknown
	}
	return c, customer.KeyKnown
}

// errorOf returns what a ruling means for a call; nil when it is admitted.
func errorOf(r customer.Ruling) error {
	switch r.Verdict {
	case customer.Admitted:
		return nil
	case customer.UnknownQueue:
		return errors.Wrap(platform.ErrNoQueue, r.Reason)
	case customer.Unauthenticated:
		return errors.Wrap(platform.ErrUnauthenticated, r.Reason)
	case customer.Forbidden:
		return errors.Wrap(platform.ErrForbidden, r.Reason)
	}
	return errors.Wrap(platform.ErrRefused, r.Reason)
}

// about decides whether a caller's call may be about a job of the customer of a name, and logs one that may not.
func (h *Host) about(c customer.Caller, id job.ID, owner string) error {
	ruling := c.About(owner)
	if ruling.Verdict != customer.Admitted {
		h.figures.denied(ruling.Verdict)
		h.log.WithFields(logrus.Fields{"job": id, "reason": ruling.Reason, "customer": c.Name(), "holder": owner}).Info("call_denied")
	}
	return errorOf(ruling)
}

// tooWide tells of a step that can't run within the customer's quota, whatever else runs; nil when there is none.
func tooWide(c customer.Caller, j job.Job) error {
	if c.Customer == nil {
		return nil
	}
	for n, s := range j.Steps {
		need := s.AtOnce()
		if !c.Customer.Allows(need) {
			return errors.Wrapf(platform.ErrRefused, "steps[%d] needs %s at once, more than customer %s may have running: %s",
				n, need, c.Customer.Name, c.Customer.Quota)
		}
	}
	return nil
}
