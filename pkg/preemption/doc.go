// Package preemption chooses which runs to stop on which worker to make room for a task, so that least work
// is lost.
//
// It handles neither jobs nor workers. Package dispatch says which runs may be stopped and how much work each
// stop loses.
//
// # Usage
//
//	var options []*preemption.Option[*run] // one for each worker
//	best := preemption.SelectCheapest(need, options)
//	if best != nil && best.LostWork() <= limit {
//		stops := best.TakeVictims(need) // then again, for the next task
//	}
package preemption
