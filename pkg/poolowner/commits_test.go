package poolowner

import (
	"fmt"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/platform"
	. "github.com/onsi/gomega"
)

func changes(n int, c dispatch.JobChange) []dispatch.JobChange {
	out := make([]dispatch.JobChange, n)
	for i := range out {
		out[i] = c
		out[i].Job = job.ID(fmt.Sprintf("%016d", i))
	}
	return out
}

// packInAnyOrder packs changes, all of which may be written in any order, into transactions.
func packInAnyOrder(g *WithT, changes []dispatch.JobChange) []platform.Txn {
	packed := packChanges(changes, progressEncoder{})
	g.Expect(packed.refused).To(BeEmpty())
	g.Expect(packed.last).To(BeEmpty())
	var txns []platform.Txn
	for _, b := range packed.first {
		txns = append(txns, b.txn())
	}
	return txns
}

// A slow store takes a tenth of a second per transaction, so changes must be packed into few.
func TestChangesArePackedIntoFewTransactions(t *testing.T) {
	g := NewWithT(t)
	g.Expect(packInAnyOrder(g, nil)).To(BeEmpty())
	for _, c := range []struct {
		changes int
		change  dispatch.JobChange
		want    int
	}{
		{30, dispatch.JobChange{Outcome: job.Completed}, 1},
		{30, dispatch.JobChange{}, 1},
		{31, dispatch.JobChange{Outcome: job.Completed}, 2},
		{30, dispatch.JobChange{Outcome: job.Completed, HasProgress: true}, 2},
		{20, dispatch.JobChange{Outcome: job.Cancelled, HasProgress: true}, 2},
	} {
		txns := packInAnyOrder(g, changes(c.changes, c.change))
		g.Expect(txns).To(HaveLen(c.want), "%+v", c)
		jobs := 0
		for _, t := range txns {
			g.Expect(len(t.Put) + len(t.Remove) + reservedEntries).To(BeNumerically("<=", platform.MaxTxnEntries))
			jobs += len(t.Put)
		}
		g.Expect(jobs).To(Equal(c.changes))
	}
}

// Guards against a later owner that acknowledges run ends of an ended job while a late start of the job
// may still arrive. The stored outcome contains the time until which that is possible.
func TestOutcomeRecordsTheLastUnansweredStart(t *testing.T) {
	g := NewWithT(t)
	at := time.Date(2020, 1, 2, 3, 4, 5, 6_000_000, time.UTC)
	txns := packInAnyOrder(g, []dispatch.JobChange{{Job: "a", Outcome: job.Completed, LastLateStart: at}})
	record, err := job.DecodeRecord(txns[0].Put[0].Value)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(record.LastLateStart).To(Equal(at))
}

// Guards against repeating a write at the usual interval while its bytes still wait on a slow link,
// which would queue up copies of it.
func TestUnansweredWritesGetLongerTimeouts(t *testing.T) {
	g := NewWithT(t)
	var timeouts []time.Duration
	extraTimeout := time.Duration(0)
	for range 6 {
		extraTimeout = nextExtraTimeout(extraTimeout, platform.ErrOutcomeUnknown)
		timeouts = append(timeouts, extraTimeout)
	}
	g.Expect(timeouts).To(Equal([]time.Duration{
		firstExtraTimeout, 2 * firstExtraTimeout, 4 * firstExtraTimeout, maxExtraWriteTimeout, maxExtraWriteTimeout, maxExtraWriteTimeout,
	}))
	g.Expect(nextExtraTimeout(firstExtraTimeout, platform.ErrRefused)).To(Equal(firstExtraTimeout), "no extra time for a write that was not sent")
}
