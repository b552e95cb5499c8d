package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Each start on the next incarnation has a higher token than all holds for the earlier one that carry a deadline or
// acknowledge ends, however the next one became known.
func TestStartsOnTheNextIncarnationOutrankHoldsForTheEarlierOne(t *testing.T) {
	first, second := firstIncarnation(0), secondIncarnation(0)
	for name, learn := range map[string]func(f *fixture, hold func()){
		"by its entry": func(f *fixture, hold func()) {
			f.addEntry(second)
			hold()
			f.pollAndReport(second, Report{})
		},
		"by a report, before its entry": func(f *fixture, hold func()) {
			poll := f.newPoll(first, false)
			hold()
			f.answerPoll(poll, second, Report{})
			f.addEntry(second)
			f.pollAndReport(second, Report{})
		},
		"by its entry, before an outdated one": func(f *fixture, hold func()) {
			f.addEntry(second)
			f.addEntry(first)
			hold()
			poll := f.newPoll(second, false)
			hold()
			f.answerPoll(poll, second, Report{})
			f.addEntry(second)
			f.pollAndReport(second, Report{})
		},
		"by the entry, while a higher token is asked for": func(f *fixture, hold func()) {
			f.newPoll(first, true)
			hold()
			f.addEntry(second)
			hold()
			f.pollAndReport(second, Report{})
		},
		"after the earlier one was forgotten": func(f *fixture, hold func()) {
			f.removeEntry(first)
			for f.pool.workers[first.id] != nil {
				f.advance(100 * time.Millisecond)
				f.plan()
			}
			f.beginIncarnation(second, Report{})
		},
		"after a third one, whose entry is outdated": func(f *fixture, hold func()) {
			f.addEntry(thirdIncarnation(0))
			f.pollAndReport(first, Report{})
			hold()
			f.addEntry(second)
			f.pollAndReport(second, Report{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newIncarnationFixture(t, 1, withLongWorkerLeases)
			f.completeOnFirst("b")
			var highest int64
			hold := func() {
				if f.pool.workers[first.id] == nil || f.pool.workers[first.id].terminated {
					return
				}
				if p := f.newPoll(first, false); p.Deadline != 0 || p.AckedEnd != 0 {
					highest = max(highest, p.Token)
				}
			}
			hold()
			f.Expect(highest).NotTo(BeZero())
			learn(f, hold)
			f.add(testJob("a", testStep(1)))
			s := f.oneStartWithinOneSecond(second, Report{})
			f.Expect(s.Worker).To(Equal(second.id))
			f.Expect(s.Token).To(BeNumerically(">", highest))
		})
	}
}
