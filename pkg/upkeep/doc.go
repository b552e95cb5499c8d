// Package upkeep schedules the maintenance of machines, which is requested in waves.
//
// A wave lists machines that must all be maintained within its duration, with a limit on how
// many may be unavailable at a time. Each machine is first closed for new tasks and drained by
// the caller, then ordered into upkeep. The package does no I/O: the caller passes in the list
// of machines and the current time, and Plan returns the next actions.
//
// The planner's progress is not stored. A new owner starts without it and may order a machine
// into upkeep a second time; the platform then answers that the order was already carried out
// and does nothing.
//
// # Usage
//
//	p := upkeep.New()
//	p.AddWave(wave, now)
//	p.SetMachines(machines)
//	plan := p.Plan(now)             // plan.CloseWorkers, plan.Orders, plan.StateUpdates
//	p.RecordOrder(order, true, now) // the platform has acknowledged the order
package upkeep
