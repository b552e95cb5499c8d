package poolowner

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/admission"
	. "github.com/onsi/gomega"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// Hosts receive a limit with the heartbeat. Its begin and end are logged.
func TestHostsAreSentCustomerLimits(t *testing.T) {
	g := NewWithT(t)
	o, now := newOwnerWithMembers(t, 1, sufficientStrength)
	hook := logtest.NewLocal(o.deps.Log.Logger)
	list := []admission.Limit{{Customer: "hot", Queues: []admission.QueueLimit{{
		Refusal: admission.Refusal{Queue: "sheets", Wait: 9 * time.Second, RetryAfter: 2 * time.Second}, Share: 0.25,
	}}}}
	o.logLimits(nil, list)
	g.Expect(hook.LastEntry().Message).To(Equal("customer_limited"))
	g.Expect(hook.LastEntry().Data).To(HaveKeyWithValue("customer", "hot"))
	o.customerLimits = customerLimits{computedAt: *now, list: list, messages: limitMessages(list)}
	told := o.memberStatus(o.members["m000"].Session).Limits
	g.Expect(told).To(HaveLen(1))
	g.Expect(told[0].Customer).To(Equal("hot"))
	g.Expect(told[0].Queues[0].RetryAfterMs).To(BeEquivalentTo(2000))
	g.Expect(told[0].Queues[0].Share).To(Equal(0.25))
	g.Expect(o.CustomerLimits()).To(Equal(told), "for the owner's own job API")
	hook.Reset()
	*now = now.Add(time.Second)
	g.Expect(o.CustomerLimits()).To(BeEmpty(), "the pool has no jobs")
	g.Expect(hook.LastEntry().Message).To(Equal("customer_limit_ends"))
}
