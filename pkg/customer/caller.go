package customer

// Caller is who makes a call that was admitted.
type Caller struct {
	// Customer is nil for one without a key.
	Customer *Customer
	call     Call
	anyJob   bool
}

// NewCaller returns the caller of a call that Decide has admitted; c is nil without a key. anyJob says that it may ask for and
// cancel the jobs of all customers.
func NewCaller(c *Customer, call Call, anyJob bool) Caller {
	return Caller{Customer: c, call: call, anyJob: anyJob}
}

// Name is the customer's name; empty without one.
func (c Caller) Name() string {
	if c.Customer == nil {
		return ""
	}
	return c.Customer.Name
}

// HandIn decides whether the call may hand a job in.
func (c Caller) HandIn() Ruling {
	call := c.call
	call.HandsIn = true
	return Decide(call)
}

// About decides whether the call may be about a job of the customer of a name; empty for nobody's job.
func (c Caller) About(owner string) Ruling {
	call := c.call
	call.Job = c.holder(owner)
	return Decide(call)
}

func (c Caller) holder(owner string) Holder {
	switch {
	case c.anyJob || owner == "":
		return Unclaimed
	case c.Name() == owner:
		return Own
	}
	return Others
}
