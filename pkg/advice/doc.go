// Package advice plans advice calls and accounts for them: what calls cost (prices.go), about how
// many workers they ask (worker_count.go), which processes make them (advisers.go), what the answers say
// about a queue's next calls (rates.go, rounds.go), and totals for metrics (tally.go).
//
// Only an outside service knows which workers may run the tasks of some steps. A process of the deployment
// calls it with a list of workers. The call takes a fixed time and some more for each worker, and brings
// tickets for the workers that are allowed. Since a process makes one call at a time, calls are a limited
// resource that steps share.
//
// The package handles neither steps nor workers, only numbers. Package dispatch finds out which workers a
// step could use and for how many tasks each has room. It asks this package about how many of them to ask,
// in how many calls, and has the calls made. Package queue has the times that a queue's calls take.
//
// # Usage
//
// Eight workers have room for two tasks each, and a step has three tasks. At the queue's rate, three in ten
// workers are allowed.
//
//	cost := queue.AdviceCost{Base: 400 * time.Millisecond, PerWorker: 6 * time.Millisecond}
//	p := advice.Prices{Cost: cost, IdleAdvisers: 4, MaxCalls: 2}
//	rooms := []int{2, 2, 2, 2, 2, 2, 2, 2}
//	n, suffices := p.CheapestCount(rooms, 3, 0.3, 0) // 8, 0.74: a second call would cost more
//	p.WorkersPerCall(n)                              // 8 in one call
//	p.CallTime(n)                                    // 448 ms
//
//	advisers := advice.NewAdvisers()
//	advisers.Add("host-1")
//	name := advisers.Acquire() // host-1, which makes the call
//	advisers.Release(name, true, now)
//
//	rates := advice.Rates{}
//	rates.Of("recap")           // 0.5: nothing is known of the queue yet
//	rates.Update("recap", 2, 20) // two of twenty workers were allowed
//	rates.Of("recap")           // 0.44
package advice
