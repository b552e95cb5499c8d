package dispatch

// Mechanism names a part of the policy that can be left out on its own, so that a test or a build for
// trials can measure what it is worth (docs/design/policy.md). None keeps a task from running twice or a worker
// from being given more than it holds; some keep jobs from waiting for too long.
type Mechanism string

// The mechanisms.
const (
	// PriorityReservations hold workers for waiting steps from steps of lower priorities.
	PriorityReservations Mechanism = "priority_reservations"
	// GangReservations hold workers for gangs that wait for room on many of them.
	GangReservations Mechanism = "gang_reservations"
	// OverloadCheck has gangs hold nothing while more waits than the pool gets through soon.
	OverloadCheck Mechanism = "overload_check"
	// Preemption stops runs of lower priorities.
	Preemption Mechanism = "preemption"
	// CostBasedAdviceSize names as many workers in a call for advice as make the expected time of calls least.
	// Without it a call names workers with room for what is needed at the queue's rate.
	CostBasedAdviceSize Mechanism = "naming_by_cost"
	// AdviceOnFullWorkers also names workers without room in calls for advice.
	AdviceOnFullWorkers Mechanism = "learning_full_workers"
	// ExpectedRoom counts room that is expected by the time that a call for advice is answered.
	ExpectedRoom Mechanism = "expected_room"
	// ReservedAdvisers keeps some processes free for short calls for advice.
	ReservedAdvisers Mechanism = "spare_advisers"
	// DelayedAdviceFirst makes calls for advice first for steps that have waited too long for one.
	DelayedAdviceFirst Mechanism = "starving_first"
	// DelayedAdviceInOrder has them wait for their turn in a pool that is well used.
	DelayedAdviceInOrder Mechanism = "starving_take_turns"
	// GangPromotion keeps a customer's quota for its gang that has starved longest.
	GangPromotion Mechanism = "starving_gangs_first"
	// ParallelAdvice makes several calls for advice for a step at once.
	ParallelAdvice Mechanism = "advice_in_parts"
	// Suspension leaves out workers that fail in a row, or on which a run stands still.
	Suspension Mechanism = "suspension"
	// Avoidance places a task away from the worker where it failed.
	Avoidance Mechanism = "avoidance"
	// StuckRunRestarts stops runs that stand still, so that their tasks start elsewhere.
	StuckRunRestarts Mechanism = "stuck_moves"
	// Pacing slows down tasks that fill what others leave when they disturb those that serve.
	Pacing Mechanism = "pacing"
	// ParallelCommits writes commits of ends in several series at once.
	ParallelCommits Mechanism = "commit_lanes"
	// PlanThrottling has plans follow each other more slowly the longer they take.
	PlanThrottling Mechanism = "plan_rests"
	// CallLimit bounds the calls to workers that are begun and not over.
	CallLimit Mechanism = "call_gate"
)

// Without says whether a mechanism is left out; nil leaves out none.
type DisabledMechanisms func(Mechanism) bool

// Contains says that a mechanism is left out.
func (w DisabledMechanisms) Contains(m Mechanism) bool {
	return w != nil && w(m)
}

// isDisabled says whether a mechanism is left out of the pool's policy.
func (p *Pool) isDisabled(m Mechanism) bool {
	return p.cfg.Disabled.Contains(m)
}
