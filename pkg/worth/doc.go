// Package worth says what the end of a step's work can still be worth, and in which order steps that wait go by that.
//
// The order drops what comes too late: work in time goes first, then late work, then what a customer sends beyond its weight, then
// what is worth nothing any more; among equals priority decides, then the latest moment at which a step may begin for its job to end in time.
// A step whose tasks last, and that has been away for too long, goes before all.
//
// The package knows neither jobs nor workers. Package dispatch has the steps and goes through them in this order; how a job is beyond its
// customer's weight is decided by package customer.
//
// # Usage
//
//	w := worth.Work{Objective: at.Add(2 * time.Second), Latest: at.Add(6 * time.Second), Chain: time.Second}
//	w.LatestStart()                  // at + 1 s
//	w.Standing(at.Add(time.Second))  // InTime
//	w.Standing(at.Add(3 * time.Second)) // Late
//	slices.SortFunc(places, worth.Place.Compare)
package worth
