// Package worth says what the end of a step's work can still be worth, and in which order steps that wait go by that.
//
// The order drops what comes too late: work in time goes first, then late work, then what a customer sends beyond its weight, then
// what is worth nothing any more; among equals priority decides, then the latest moment at which a step may begin for its job to end in time.
// A step whose tasks last, and that has been away for too long, goes before all.
//
// When a job should have ended follows from its steps' estimates and its queue (Chains, Deadlines).
//
// The package knows nothing of what runs, and of workers. Package dispatch has the steps and goes through them in this order; whether a job is
// beyond its customer's weight is decided by package customer.
//
// # Usage
//
//	chains := worth.Chains([]job.Step{{Estimate: time.Second}}, 0)       // 1 s
//	objective, latest := worth.Deadlines(at, slices.Max(chains), 2, 0) // at + 2 s and at + 6 s
//	w := worth.Work{Objective: objective, Latest: latest, Chain: chains[0]}
//	w.LatestStart()                  // at + 1 s
//	w.Standing(at.Add(time.Second))  // InTime
//	w.Standing(at.Add(3 * time.Second)) // Late
//	slices.SortFunc(places, worth.Place.Compare)
package worth
