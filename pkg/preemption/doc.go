// Package preemption chooses which runs are stopped on which workers to make room for tasks, so that least work is thrown away.
//
// It knows neither jobs nor workers. Package dispatch says which runs may be stopped and what their stops cost.
//
// # Usage
//
//	var options []*preemption.Option[*run] // one for each worker
//	best := preemption.Cheapest(need, options)
//	if best != nil && best.Lost() <= limit {
//		stops := best.Take(need) // then again, for the next task
//	}
package preemption
