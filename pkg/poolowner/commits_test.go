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

// A slow store takes a tenth of a second a transaction: few must do.
func TestChangesArePackedIntoFewTransactions(t *testing.T) {
	g := NewWithT(t)
	none, err := packChanges(nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(none).To(BeEmpty())
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
		txns, err := packChanges(changes(c.changes, c.change))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(txns).To(HaveLen(c.want), "%+v", c)
		jobs := 0
		for _, t := range txns {
			g.Expect(size(t) + ownEntries).To(BeNumerically("<=", platform.MaxTxnEntries))
			jobs += len(t.Put)
		}
		g.Expect(jobs).To(Equal(c.changes))
	}
}

// Guards against a later owner that notes ends of an ended job while a late start of it may come.
func TestOutcomeTellsOfTheLastStartWithoutAnAnswer(t *testing.T) {
	g := NewWithT(t)
	at := time.Date(2020, 1, 2, 3, 4, 5, 6_000_000, time.UTC)
	txns, err := packChanges([]dispatch.JobChange{{Job: "a", Outcome: job.Completed, LastLateStart: at}})
	g.Expect(err).NotTo(HaveOccurred())
	record, err := job.DecodeRecord(txns[0].Put[0].Value)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(record.LateStart).To(Equal(at))
}

// A write whose bytes wait on the link is not followed by its own copies at the usual rate.
func TestWritesWithoutAnAnswerAreGivenMoreTime(t *testing.T) {
	g := NewWithT(t)
	var tries []time.Duration
	p := time.Duration(0)
	for range 6 {
		p = morePatience(p, platform.ErrUnsettled)
		tries = append(tries, p)
	}
	g.Expect(tries).To(Equal([]time.Duration{
		firstPatience, 2 * firstPatience, 4 * firstPatience, mostWritePatience, mostWritePatience, mostWritePatience,
	}))
	g.Expect(morePatience(firstPatience, platform.ErrRefused)).To(Equal(firstPatience), "nothing was sent")
}
