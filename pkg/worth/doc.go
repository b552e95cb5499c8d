// Package worth says what the end of a step's work can still be worth, and orders waiting steps by that.
//
// The order is by value class: work in time goes first, then late work, then work over its customer's
// share, then work that is worth nothing any more. Within a class the order is by priority, then by the
// latest moment at which a step may start for its job to end in time. A step with a long-running task that
// has waited for too long goes before all others.
//
// When a job should have ended follows from the estimates of its steps and from its queue (ChainEstimates,
// Deadlines).
//
// The package handles neither runs nor workers. Package dispatch has the steps and goes through them in this
// order. Package customer decides whether a job is over its customer's share.
//
// # Usage
//
//	chains := worth.ChainEstimates([]job.Step{{Estimate: time.Second}}, 0) // 1 s
//	objective, latest := worth.Deadlines(at, slices.Max(chains), 2, 0)     // at + 2 s and at + 6 s
//	w := worth.Work{Objective: objective, LatestUsefulEnd: latest, ChainEstimate: chains[0]}
//	w.LatestStart()                       // at + 1 s
//	w.ValueClass(at.Add(time.Second))     // InTime
//	w.ValueClass(at.Add(3 * time.Second)) // Late
//	slices.SortFunc(ranks, worth.Rank.Compare)
package worth
