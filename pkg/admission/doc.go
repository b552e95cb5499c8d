// Package admission decides which queues take in no jobs for now, and when callers may come back.
//
// A process makes one call for advice at a time, so with few of them more calls may be needed than are made, while most of the workers' room
// is free. What is accepted then waits ever longer, and some of it never runs. So a queue takes in no more while the calls that
// go before those of a new job take longer than a job may wait. Short room is no reason: the order drops what comes too
// late, and the workers are busy.
//
// The package knows neither jobs nor workers. Package dispatch sums up what accepted jobs owe, by what package advice reckons; package poolowner
// tells the hosts, whose doors refuse. Whose call may go on at all is decided in package customer.
//
// # Usage
//
//	l := admission.Load{
//		Age: time.Minute, Advisers: 2, Owed: admission.Owed{0: time.Second, 1: 25 * time.Second},
//		WellUsed: func(pool string) bool { return false },
//	}
//	l.Refusals(queues) // of queues of priority 1: Wait 13 s, RetryAfter 4 s; none of priority 0
package admission
