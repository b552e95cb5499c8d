package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a second run by an owner that was replaced: a later owner had reached the worker of a
// task and acknowledged its end when the previous owner took the worker's leases for expired and started
// the task again. Seen with seed 1008461 of the random histories.
func TestLeaseExpiryNeedsALaterOwnershipConfirmation(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.reportAll(2)
	f.add(testJob("a", testStep(1)))
	first := f.plan().Starts[0]
	f.accept(first)
	other := 1 - workerNumber(first.Worker)
	f.storeUnreachable = true
	confirmationRequested := false
	for range 50 {
		f.advance(200 * time.Millisecond)
		f.report(other, Report{})
		a := f.plan()
		f.Expect(a.Starts).To(BeEmpty(), "a later owner may have extended the lease")
		confirmationRequested = confirmationRequested || a.ConfirmOwnership
	}
	f.Expect(confirmationRequested).To(BeTrue())
	f.storeUnreachable = false
	f.advance(loadUpdateInterval)
	f.Expect(f.plan().Starts).To(HaveLen(1))
}

func TestLostTaskStartsOnlyShortlyAfterAConfirmation(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.reportAll(2)
	f.add(testJob("a", testStep(1)))
	first := f.plan().Starts[0]
	f.accept(first)
	other := 1 - workerNumber(first.Worker)
	for range 40 {
		f.advance(200 * time.Millisecond)
		f.plan() // the other worker does not answer either
	}
	f.storeUnreachable = true
	f.advance(ownershipConfirmationValidity)
	f.report(other, Report{})
	a := f.plan()
	f.Expect(a.Starts).To(BeEmpty())
	f.Expect(a.ConfirmOwnership).To(BeTrue())
	f.storeUnreachable = false
	f.Expect(f.plan().Starts).To(HaveLen(1))
}

func TestTakeoverTimeoutNeedsAConfirmation(t *testing.T) {
	f := newFixture(t, 2, afterPreviousOwner)
	f.add(testJob("a", testStep(1)))
	f.storeUnreachable = true
	for range 60 {
		f.advance(200 * time.Millisecond)
		f.report(0, Report{})
		f.Expect(f.plan().Starts).To(BeEmpty())
	}
	f.storeUnreachable = false
	f.Expect(f.plan().Starts).To(HaveLen(1))
}
