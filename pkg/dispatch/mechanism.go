package dispatch

// Mechanism names a part of the scheduling policy that can be disabled on its own, so that a test or an
// experimental build can measure what it is worth (docs/design/policy.md). No mechanism is needed to keep a
// task from running twice or a worker from getting more than its capacity; some keep jobs from waiting too
// long.
type Mechanism string

// The mechanisms that can be disabled.
const (
	// PriorityReservations reserves workers for waiting steps against steps of lower priorities.
	PriorityReservations Mechanism = "priority_reservations"
	// GangReservations reserves workers for gangs that wait for room on many of them.
	GangReservations Mechanism = "gang_reservations"
	// OverloadCheck lets gangs reserve no workers while more tasks wait than the pool can soon run.
	OverloadCheck Mechanism = "overload_check"
	// Preemption stops runs of lower priorities.
	Preemption Mechanism = "preemption"
	// CostBasedAdviceSize lets an advice call ask about as many workers as make the expected time of calls
	// shortest. Without it, a call asks about workers with enough room for the need at the queue's rate of
	// allowed workers.
	CostBasedAdviceSize Mechanism = "naming_by_cost"
	// AdviceOnFullWorkers lets advice calls ask about workers without room, too.
	AdviceOnFullWorkers Mechanism = "learning_full_workers"
	// ExpectedRoom counts the room that is expected by the time an advice call is answered.
	ExpectedRoom Mechanism = "expected_room"
	// ReservedAdvisers keeps some advisers free for short calls.
	ReservedAdvisers Mechanism = "spare_advisers"
	// DelayedAdviceFirst makes advice calls first for steps that have waited too long for one.
	DelayedAdviceFirst Mechanism = "starving_first"
	// DelayedAdviceInOrder lets such steps wait for their turn in a mostly used pool.
	DelayedAdviceInOrder Mechanism = "starving_take_turns"
	// GangPromotion reserves a customer's quota for the gang of the customer that has waited longest.
	GangPromotion Mechanism = "starving_gangs_first"
	// ParallelAdvice makes several advice calls for a step at once.
	ParallelAdvice Mechanism = "advice_in_parts"
	// Suspension prefers other workers for a time to those that fail more than the others, or have a stuck run.
	Suspension Mechanism = "suspension"
	// Avoidance places a task away from the worker where it failed.
	Avoidance Mechanism = "avoidance"
	// StuckRunRestarts stops stuck runs, so that their tasks start elsewhere.
	StuckRunRestarts Mechanism = "stuck_moves"
	// Pacing slows down filler tasks that disturb tasks which serve.
	Pacing Mechanism = "pacing"
	// ParallelCommits writes several commits of run ends at once.
	ParallelCommits Mechanism = "commit_lanes"
	// PlanThrottling makes plans less frequent the longer they take.
	PlanThrottling Mechanism = "plan_rests"
	// CallLimit limits the number of pending calls to workers.
	CallLimit Mechanism = "call_gate"
)

// DisabledMechanisms reports whether a mechanism is disabled; nil disables none.
type DisabledMechanisms func(Mechanism) bool

// Contains reports whether a mechanism is disabled.
func (d DisabledMechanisms) Contains(m Mechanism) bool {
	return d != nil && d(m)
}

// isDisabled reports whether a mechanism is disabled in the pool's policy.
func (p *Pool) isDisabled(m Mechanism) bool {
	return p.cfg.Disabled.Contains(m)
}
