package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Most workers were fenced by the next owner and have restarted since, so that they accept the previous owner again,
// which reaches no other fenced worker. It must not go on for longer than AuthorityTerm after most were fenced.
func TestRestartsOfFencedWorkersDoNotGiveAPreviousOwnerAuthority(t *testing.T) {
	const restarted, kept, others = 6, 4, 1 // by the previous owner reached: restarted and kept
	for name, restarts := range map[string]bool{"no worker restarts": false, "fenced workers restart": true} {
		t.Run(name, func(t *testing.T) {
			previous := newIncarnationFixture(t, restarted+kept+others, withLongWorkerLeases)
			next := newFixture(t, 0, func(c *Config) {
				afterPreviousOwner(c)
				withLongWorkerLeases(c)
			})
			for n := range restarted + kept + others {
				next.addEntry(firstIncarnation(n))
			}
			for n := range restarted {
				next.pollAndReport(firstIncarnation(n), Report{})
			}
			next.pollAndReport(firstIncarnation(restarted+kept), Report{})
			answering, all := next.pool.AnsweringCount(next.now, 2*time.Second)
			next.Expect(2*answering).To(BeNumerically(">", all), "most workers are fenced")
			next.pool.RestartTakeoverTimers(next.now)
			authorityEndsIn := next.pool.takeover.ordersUntil.Sub(next.now)
			previous.advance(600 * time.Millisecond)
			for until := previous.now.Add(authorityEndsIn); previous.now < until; previous.advance(200 * time.Millisecond) {
				for n := range restarted {
					switch {
					case !restarts: // it would answer that it has seen a higher token
					case previous.pool.workers[secondIncarnation(n).id] == nil:
						previous.answerPoll(previous.newPoll(firstIncarnation(n), false), secondIncarnation(n), Report{})
					default:
						previous.pollAndReport(secondIncarnation(n), Report{})
					}
				}
				for n := restarted; n < restarted+kept; n++ {
					previous.pollAndReport(firstIncarnation(n), Report{})
				}
			}
			answering, all = previous.pool.AnsweringCount(previous.now, 2*time.Second)
			previous.Expect(2*answering).NotTo(BeNumerically(">", all), "%d of %d workers answer the previous owner", answering, all)
		})
	}
}

// The same, up to the start by the next owner of a task that the previous one keeps running.
func TestRestartsOfFencedWorkersDoNotLetATaskRunTwice(t *testing.T) {
	const restarted, kept = 6, 4
	const all = restarted + kept + 1
	for name, restarts := range map[string]bool{"no worker restarts": false, "fenced workers restart": true} {
		t.Run(name, func(t *testing.T) {
			previous := newIncarnationFixture(t, restarted+kept, withLongWorkerLeases)
			previous.add(testJob("a", testStep(1)))
			for n := range restarted + kept {
				previous.pool.historyOf(string(workerID(n))).cordoned = n != restarted
			}
			s := previous.planOneStart()
			keeper := firstIncarnation(restarted)
			previous.Expect(s.Worker).To(Equal(keeper.id))
			previous.acceptFrom(s, keeper)
			previous.pollAndReport(keeper, activeReport(s))

			next := newFixture(t, 0, func(c *Config) {
				afterPreviousOwner(c)
				withLongWorkerLeases(c)
			})
			for n := range all {
				next.addEntry(firstIncarnation(n))
			}
			for n := range restarted {
				next.pollAndReport(firstIncarnation(n), Report{})
			}
			record := testJob("a", testStep(1))
			record.Term = 1
			next.add(record)
			next.pollAndReport(firstIncarnation(all-1), Report{})
			next.pool.RestartTakeoverTimers(next.now)
			previousBegan, nextBegan := previous.now, next.now
			leaseEnd := previous.now.Add(previous.pool.cfg.LeaseDuration)
			for range 100 {
				if restarts {
					for n := range restarted {
						if previous.pool.workers[secondIncarnation(n).id] == nil {
							previous.answerPoll(previous.newPoll(firstIncarnation(n), false), secondIncarnation(n), Report{})
						} else {
							previous.pollAndReport(secondIncarnation(n), Report{})
						}
					}
				}
				for n := restarted; n < restarted+kept; n++ {
					answering, known := previous.pool.AnsweringCount(previous.now, 2*time.Second)
					poll, ok := previous.pool.NewPoll(firstIncarnation(n).id, false, 2*answering > known, previous.now)
					previous.Expect(ok).To(BeTrue())
					report := Report{}
					if n == restarted {
						report = activeReport(s)
					}
					if n == restarted && poll.Deadline != 0 {
						leaseEnd = previous.now.Add(previous.pool.cfg.LeaseDuration)
					}
					previous.answerPoll(poll, firstIncarnation(n), report)
				}
				next.pollAndReport(firstIncarnation(all-1), Report{})
				next.advance(300 * time.Millisecond)
				previous.advance(next.now.Sub(nextBegan) - previous.now.Sub(previousBegan)) // the same time passes for both
				if len(next.plan().Starts) > 0 {
					next.Expect(previous.now).To(BeNumerically(">=", leaseEnd), "the previous owner still extends the lease of the run")
					return
				}
				next.pool.ApplyCommit(next.pool.PrepareCommit())
			}
		})
	}
}

// The same where workers restart under other names: the previous owner hears at their addresses that they have ended.
func TestFencedWorkersThatEndDoNotGiveAPreviousOwnerAuthority(t *testing.T) {
	const ended, kept = 6, 4
	f := newFixture(t, ended+kept+1, nil)
	f.reportAll(ended + kept)
	f.plan()
	f.storeUnreachable = true
	for range 2 {
		f.advance(1100 * time.Millisecond)
		for n := range ended {
			if poll, ok := f.pool.NewPoll(workerID(n), false, true, f.now); ok {
				f.advance(time.Millisecond)
				f.pool.HandlePollAnswer(poll, Answer{Verdict: VerdictWrongWorker, Clock: f.workerClock}, Report{}, f.now)
			}
		}
		for n := ended; n < ended+kept; n++ {
			f.report(n, Report{})
		}
	}
	answering, all := f.pool.AnsweringCount(f.now, 2*time.Second)
	f.Expect(2*answering).NotTo(BeNumerically(">", all), "%d of %d workers answer the previous owner", answering, all)
	f.Expect(f.plan().ConfirmOwnership).To(BeTrue())
	f.storeUnreachable = false
	f.plan()
	answering, all = f.pool.AnsweringCount(f.now, 2*time.Second)
	f.Expect([]int{answering, all}).To(Equal([]int{kept, kept + 1}), "the store names this owner")
}
