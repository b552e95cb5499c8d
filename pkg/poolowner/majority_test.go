package poolowner

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/dispatch"
	. "github.com/onsi/gomega"
)

// answerPolls has incarnations of workers answer polls that are sent to others of the same names.
func answerPolls(t *testing.T, o *Owner, now *clock.Time, workers int, sentTo, answeredBy int64) {
	for n := range workers {
		name := fmt.Sprintf("w%d", n)
		poll, ok := o.pool.NewPoll(dispatch.NewWorkerID(name, sentTo), false, true, *now)
		NewWithT(t).Expect(ok).To(BeTrue())
		*now = now.Add(time.Millisecond)
		o.pool.HandlePollAnswer(poll, dispatch.Answer{Verdict: dispatch.VerdictDone, Clock: int64(*now)}, dispatch.Report{IncarnationStart: answeredBy}, *now)
	}
}

// A restart of all workers takes the authority of an owner only while the store does not confirm its ownership.
func TestAuthorityAfterAllWorkersRestart(t *testing.T) {
	g := NewWithT(t)
	const workers, first, second = 3, 1_700_000_000_000, 1_700_000_100_000
	o, now := newOwnerWithMembers(t, 0, sufficientStrength)
	hasLease := false
	o.deps.HasLease = func(clock.Time) bool { return hasLease }
	for n := range workers {
		o.pool.UpsertWorker(dispatch.WorkerInfo{
			ID: dispatch.NewWorkerID(fmt.Sprintf("w%d", n), first), Pool: "p", Address: netip.MustParseAddrPort("10.0.0.1:80"), Capacity: cell.Resources{CPUMillis: 1000},
		}, true, *now)
	}
	answerPolls(t, o, now, workers, first, first)
	g.Expect(o.hasAuthority(*now)).To(BeTrue(), "most workers answer")

	*now = now.Add(AuthorityTerm)
	answerPolls(t, o, now, workers, first, second)
	answerPolls(t, o, now, workers, second, second)
	*now = now.Add(majorityCheckInterval)
	g.Expect(o.hasAuthority(*now)).To(BeFalse(), "a later owner may have fenced their earlier incarnations")
	g.Expect(o.pool.Plan(*now, false).ConfirmOwnership).To(BeTrue())
	hasLease = true
	g.Expect(o.hasAuthority(*now)).To(BeTrue(), "the store confirms the ownership")

	hasLease = false
	o.pool.RecordOwnershipConfirmed(*now)
	*now = now.Add(majorityCheckInterval)
	g.Expect(o.hasAuthority(*now)).To(BeTrue(), "any later owner has to fence the workers that answer")
}
