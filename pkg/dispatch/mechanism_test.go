package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func only(left Mechanism) DisabledMechanisms {
	return func(m Mechanism) bool { return m == left }
}

// seedsWithoutOne is how many random histories are played with each mechanism left out.
const seedsWithoutOne = 8

// StuckRunRestarts is not among them: without it a run that stands still holds its job for good.
func TestPromisesHoldWithAMechanismLeftOut(t *testing.T) {
	for _, left := range []Mechanism{
		PriorityReservations, GangReservations, OverloadCheck, Preemption, CostBasedAdviceSize, AdviceOnFullWorkers, ExpectedRoom,
		ReservedAdvisers, DelayedAdviceFirst, ParallelAdvice, Suspension, Avoidance,
	} {
		t.Run(string(left), func(t *testing.T) {
			for seed := range uint64(seedsWithoutOne) {
				w := newWorld(t, 5000+seed)
				w.without = only(left)
				w.play()
			}
		})
	}
}

func TestPreemptionCanBeLeftOut(t *testing.T) {
	f := fullWorker(t, nil)
	f.pool.cfg.Disabled = only(Preemption)
	f.pass(500 * time.Millisecond)
	f.add(testJob("a", testStep(1)))
	f.Expect(f.plan().Stops).To(BeEmpty())
	f.pool.cfg.Disabled = only(Suspension)
	f.Expect(f.plan().Stops).To(HaveLen(1))
}
