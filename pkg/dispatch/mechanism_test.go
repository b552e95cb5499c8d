package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// disableOnly disables one mechanism.
func disableOnly(disabled Mechanism) DisabledMechanisms {
	return func(m Mechanism) bool { return m == disabled }
}

// seedsPerDisabledMechanism is how many random histories are simulated with each mechanism disabled.
const seedsPerDisabledMechanism = 8

// StuckRunRestarts is not among the mechanisms: without it a stuck run blocks its job forever.
func TestInvariantsHoldWithAMechanismDisabled(t *testing.T) {
	for _, disabled := range []Mechanism{
		PriorityReservations, GangReservations, OverloadCheck, Preemption, CostBasedAdviceSize, AdviceOnFullWorkers, ExpectedRoom,
		ReservedAdvisers, DelayedAdviceFirst, ParallelAdvice, Suspension, Avoidance,
	} {
		t.Run(string(disabled), func(t *testing.T) {
			for seed := range uint64(seedsPerDisabledMechanism) {
				w := newWorld(t, 5000+seed)
				w.disabled = disableOnly(disabled)
				w.simulate()
			}
		})
	}
}

func TestPreemptionCanBeDisabled(t *testing.T) {
	f := newFullWorker(t, nil)
	f.pool.cfg.Disabled = disableOnly(Preemption)
	f.advance(500 * time.Millisecond)
	f.add(testJob("a", testStep(1)))
	f.Expect(f.plan().Stops).To(BeEmpty())
	f.pool.cfg.Disabled = disableOnly(Suspension)
	f.Expect(f.plan().Stops).To(HaveLen(1))
}
