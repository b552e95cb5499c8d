// Package advice reckons with calls for advice: what they cost (prices.go), how many workers they name (number.go), who makes them
// (advisers.go), and what their answers tell of a queue's next ones (rates.go, rounds.go).
//
// Which workers may run the tasks of some steps is known only to a service outside. A process of the deployment calls it with a list of workers, which
// takes a fixed time and some for each worker, and gets tickets for those that are allowed. A process makes one call at a time, so that
// calls are a good that steps share.
//
// The package knows neither steps nor workers, only numbers. Package dispatch finds out which workers a step could use and how many tasks
// each has room for, asks here how many of them to name in how many calls, and has the calls made. Package queue has the times of
// a queue's calls.
//
// # Usage
//
// Eight workers have room for two tasks each, and a step has three tasks. At the queue's rate, three in ten workers are allowed.
//
//	cost := queue.AdviceCost{Base: 400 * time.Millisecond, PerWorker: 6 * time.Millisecond}
//	p := advice.Prices{Cost: cost, Free: 4, Most: 2}
//	rooms := []int{2, 2, 2, 2, 2, 2, 2, 2}
//	n, suffices := p.Cheapest(rooms, 3, 0.3, 0) // 8, 0.74: a second call would cost more than all the names
//	p.Size(n)                                   // 8 in one call
//	p.Wait(n)                                   // 448 ms
//
//	hosts := advice.NewAdvisers()
//	hosts.Put("host-1")
//	name := hosts.Take() // host-1, which makes the call
//	hosts.Answered(name, true, now)
//
//	rates := advice.Rates{}
//	rates.Of("recap")           // 0.5, of which nothing is known yet
//	rates.Learn("recap", 2, 20) // two of twenty were allowed
//	rates.Of("recap")           // 0.44
package advice
