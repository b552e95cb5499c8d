// Package upkeep decides when each machine of a wave of upkeep goes down for it.
//
// A wave names machines that all have to get their upkeep within its duration, at most so
// many at once. A machine is first closed for new tasks and emptied (the caller does that),
// then sent into upkeep. The package is pure: what is known of the machines goes in with a
// clock reading, and Plan tells what to do next. A new owner begins with nothing: the order
// for a machine that had its upkeep already is answered as done and changes nothing.
//
// # Usage
//
//	p := upkeep.New()
//	p.PutWave(wave, now)
//	p.SetMachines(machines)
//	plan := p.Plan(now)         // plan.Close, plan.Order, plan.Show
//	p.Ordered(order, true, now) // the platform has taken the order
package upkeep
