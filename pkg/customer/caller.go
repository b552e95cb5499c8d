package customer

// Caller is the originator of an admitted call.
type Caller struct {
	// Customer is nil for a caller without a key.
	Customer *Customer
	call     Call
	anyJob   bool
}

// NewCaller returns the caller of a call that Decide has admitted; c is nil without a key. anyJob means
// that the caller may read and cancel the jobs of all customers.
func NewCaller(c *Customer, call Call, anyJob bool) Caller {
	return Caller{Customer: c, call: call, anyJob: anyJob}
}

// Name returns the customer's name; empty without a customer.
func (c Caller) Name() string {
	if c.Customer == nil {
		return ""
	}
	return c.Customer.Name
}

// DecideSubmit decides whether the caller may submit a job.
func (c Caller) DecideSubmit() Decision {
	call := c.call
	call.Submits = true
	return Decide(call)
}

// DecideAccess decides whether the caller may read or cancel a job of the named customer; the name is
// empty for a job that belongs to nobody.
func (c Caller) DecideAccess(owner string) Decision {
	call := c.call
	call.Job = c.jobOwner(owner)
	return Decide(call)
}

func (c Caller) jobOwner(owner string) JobOwner {
	switch {
	case c.anyJob || owner == "":
		return UnownedJob
	case c.Name() == owner:
		return OwnJob
	}
	return OtherCustomersJob
}
