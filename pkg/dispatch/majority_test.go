package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// expectMajority expects the number of workers that answer this owner, of those that have accepted its token, and of
// all.
func (f *fixture) expectMajority(answering, fenced, all int) {
	gotAnswering, gotAll := f.pool.AnsweringCount(f.now, 2*time.Second)
	f.Expect([]int{gotAnswering, gotAll}).To(Equal([]int{answering, all}), "workers that answer, and all")
	gotFenced, gotAll := f.pool.FencedCount(f.now, 2*time.Second)
	f.Expect([]int{gotFenced, gotAll}).To(Equal([]int{fenced, all}), "workers that have accepted the token, and all")
}

func TestRestartedWorkersAnswerOnceTheOwnershipIsConfirmed(t *testing.T) {
	for name, entriesRead := range map[string]bool{"entries are read": true, "known by reports only": false} {
		t.Run(name, func(t *testing.T) {
			f := newIncarnationFixture(t, 3, nil)
			f.plan()
			f.expectMajority(3, 3, 3)
			f.storeUnreachable = true
			f.pool.RecordOwnershipConfirmed(f.now)
			f.advance(time.Millisecond)
			for n := range 2 {
				if entriesRead {
					f.addEntry(secondIncarnation(n))
				} else {
					f.answerPoll(f.newPoll(firstIncarnation(n), false), secondIncarnation(n), Report{})
				}
				f.pollAndReport(secondIncarnation(n), Report{})
			}
			f.expectMajority(1, 3, 3)
			f.Expect(f.plan().ConfirmOwnership).To(BeTrue())
			f.advance(time.Second)
			for n := range 2 {
				f.pollAndReport(secondIncarnation(n), Report{})
			}
			f.pollAndReport(firstIncarnation(2), Report{})
			f.expectMajority(1, 3, 3)
			f.storeUnreachable = false
			f.plan()
			f.expectMajority(3, 3, 3)
			f.Expect(f.plan().ConfirmOwnership).To(BeFalse())
		})
	}
}

// Workers without beginnings of incarnations restart under other names, and new names have not been fenced before.
func TestNewWorkersAnswerWithoutAConfirmation(t *testing.T) {
	f := newIncarnationFixture(t, 2, nil)
	f.storeUnreachable = true
	f.beginIncarnation(secondIncarnation(2), Report{})
	f.beginIncarnation(newTestIncarnation(3, 0, 0), Report{})
	f.expectMajority(4, 4, 4)
	f.Expect(f.plan().ConfirmOwnership).To(BeFalse())
}

// A roster names incarnations that have ended. An owner that takes over confirms its ownership once and counts all
// that answer.
func TestOwnerCountsWorkersWhoseEarlierIncarnationsTheRosterNames(t *testing.T) {
	f := newFixture(t, 0, afterPreviousOwner)
	for n := range 3 {
		f.addEntry(secondIncarnation(n))
		f.pool.UpsertWorker(firstIncarnation(n).info(), false, f.now)
		f.pollAndReport(secondIncarnation(n), Report{})
	}
	f.expectMajority(0, 3, 3)
	f.Expect(f.plan().ConfirmOwnership).To(BeTrue())
	f.expectMajority(3, 3, 3)
	f.Expect(f.plan().ConfirmOwnership).To(BeFalse())
}
