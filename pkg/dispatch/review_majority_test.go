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
