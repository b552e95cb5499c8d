package jobhost

import (
	"foldarch.dev/foldarch/pkg/customer"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/queue"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// admit decides whether a call may proceed (package customer), and logs each denial.
func (h *Host) admit(cfg *queue.Config, c platform.CallInfo) (customer.Caller, error) {
	bounds := h.cfg.Load().Bounds
	call := customer.Call{
		QueueKnown: c.Queue != nil, ConfigAge: h.operatorKeys.Age(),
		AccessSettings: customer.AccessSettings{MaxConfigAge: bounds.ConfigApply, StrictRevocation: bounds.StrictRevocation, RevocationLimit: bounds.RevocationLimit},
	}
	if c.Queue != nil {
		call.QueuePublic = c.Queue.Public
	}
	var keyOwner *customer.Customer
	keyOwner, call.Key = classifyKey(cfg.Customers, c)
	caller := customer.NewCaller(keyOwner, call, c.Operator || cfg.Customers == nil)
	decision := customer.Decide(call)
	if decision.Verdict != customer.Admitted {
		h.metrics.countDenial(decision.Verdict)
		event := "call_denied"
		if c.Queue == nil {
			event = "queue_unknown"
		}
		h.log.WithFields(logrus.Fields{
			"asked": c.RequestedQueue, "reason": decision.Reason, "customer": caller.Name(), "config": cfg.Version, "config_age_ms": call.ConfigAge.Milliseconds(),
		}).Info(event)
	}
	return caller, decisionError(decision)
}

// classifyKey classifies the keys of a call, and returns the customer that a known key belongs to.
func classifyKey(customers *customer.Directory, call platform.CallInfo) (*customer.Customer, customer.Key) {
	switch keys := call.APIKeys; {
	case customers == nil:
		return nil, customer.KeyNotNeeded
	case len(keys) == 0 && call.Operator:
		return nil, customer.KeyAbsentOperator
	case len(keys) == 0:
		return nil, customer.KeyAbsent
	case len(keys) > 1 || keys[0] == "":
		return nil, customer.KeyAmbiguous
	}
	c, known := customers.ByKey(call.APIKeys[0])
	if !known {
		return nil, customer.KeyUnknown
	}
	return c, customer.KeyKnown
}

// decisionError returns the error that a decision means for a call; nil if the call is admitted.
func decisionError(d customer.Decision) error {
	switch d.Verdict {
	case customer.Admitted:
		return nil
	case customer.UnknownQueue:
		return errors.Wrap(platform.ErrNoQueue, d.Reason)
	case customer.Unauthenticated:
		return errors.Wrap(platform.ErrUnauthenticated, d.Reason)
	case customer.Forbidden:
		return errors.Wrap(platform.ErrForbidden, d.Reason)
	}
	return errors.Wrap(platform.ErrRefused, d.Reason)
}

// checkJobAccess returns an error unless a caller may access a job of the customer with the given name,
// and logs each denial.
func (h *Host) checkJobAccess(c customer.Caller, id job.ID, customerName string) error {
	decision := c.DecideAccess(customerName)
	if decision.Verdict != customer.Admitted {
		h.metrics.countDenial(decision.Verdict)
		h.log.WithFields(logrus.Fields{"job": id, "reason": decision.Reason, "customer": c.Name(), "holder": customerName}).Info("call_denied")
	}
	return decisionError(decision)
}

// checkStepQuota returns an error if a step can never run within the customer's quota, even if nothing
// else runs.
func checkStepQuota(c customer.Caller, j job.Job) error {
	if c.Customer == nil {
		return nil
	}
	for n, s := range j.Steps {
		need := s.MinResources()
		if !c.Customer.WithinQuota(need) {
			return errors.Wrapf(platform.ErrRefused, "steps[%d] needs %s at once, more than customer %s may have running: %s",
				n, need, c.Customer.Name, c.Customer.Quota)
		}
	}
	return nil
}
