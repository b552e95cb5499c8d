package outcome

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

const at = clock.Time(1000)

// Guards against an outcome that changes later: a job ends once.
func TestFirstOutcomeIsKept(t *testing.T) {
	g := NewWithT(t)
	o := New()
	o.Put("a", Outcome{State: job.Completed, Customer: "north", RecordedAt: at})
	o.Put("a", Outcome{State: job.Failed, RecordedAt: at + 1})
	x, known := o.Find("a")
	g.Expect(known).To(BeTrue())
	g.Expect(x).To(Equal(Outcome{State: job.Completed, Customer: "north", RecordedAt: at}))
	g.Expect(o.Contains("b")).To(BeFalse())
}

// Guards against ends that are acknowledged too early because an earlier time replaces a later one.
func TestLatestLateStartExpiryIsKept(t *testing.T) {
	g := NewWithT(t)
	o := New()
	o.Put("a", Outcome{State: job.Completed, RecordedAt: at})
	o.ExtendLateStarts("a", at+5)
	o.ExtendLateStarts("a", at+2)
	o.ExtendLateStarts("b", at+2)
	x, _ := o.Find("a")
	g.Expect(x.LateStartsExpireAt).To(Equal(at + 5))
	g.Expect(o.Contains("b")).To(BeFalse())
}

// Guards against outcomes that are removed while callers may still ask for them, or kept for ever.
func TestOutcomesAreForgottenOldestFirst(t *testing.T) {
	g := NewWithT(t)
	o := New()
	for n, id := range []job.ID{"c", "a", "b"} {
		o.Put(id, Outcome{State: job.Completed, RecordedAt: at.Add(time.Duration(n) * time.Second)})
	}
	g.Expect(o.Expired(time.Minute, 9, at)).To(BeEmpty())
	now := at.Add(time.Minute + time.Second)
	g.Expect(o.Expired(time.Minute, 1, now)).To(Equal([]job.ID{"c"}))
	ids := o.Expired(time.Minute, 9, now)
	g.Expect(ids).To(Equal([]job.ID{"c", "a"}))
	o.Forget(ids)
	g.Expect(o.Contains("a")).To(BeFalse())
	g.Expect(o.Expired(time.Minute, 9, now.Add(time.Hour))).To(Equal([]job.ID{"b"}))
}
