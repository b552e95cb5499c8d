// Package upkeep schedules the maintenance of machines, which is requested in waves.
//
// A wave lists machines that must all be maintained within its duration, with a limit on how
// many may be unavailable at a time. Each machine is first closed for new tasks and drained by
// the caller, then ordered into upkeep. The package does no I/O: the caller passes in the list
// of machines and the current time, and Plan returns the next actions.
//
// Only the platform's answer proves that an order was carried out: a machine may be down for another
// wave, or because it has crashed. An order without an answer is repeated until it is confirmed. The
// platform identifies an upkeep by machine and wave; if it has carried out the order before, it
// confirms that and does nothing.
//
// The planner's progress is not stored. A new owner starts without it and orders each machine again.
//
// # Usage
//
//	p := upkeep.New()
//	p.PutWave(wave)
//	p.SetMachines(machines)
//	plan := p.Plan(now)             // plan.CloseWorkers, plan.Orders, plan.StateUpdates
//	p.RecordOrder(order, true, now) // the platform has acknowledged the order
package upkeep
