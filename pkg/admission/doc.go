// Package admission decides which queues take in no jobs for now, of which customers only a share is taken in, and when callers may come back.
//
// A process makes one call for advice at a time, so with few of them more calls may be needed than are made, while most of the workers' room
// is free. What is accepted then waits ever longer, and some of it never runs. So a queue takes in no more while the calls that
// go before those of a new job take longer than a job may wait. Short room is no reason: the order drops what comes too
// late, and the workers are busy.
//
// A customer that sends more than its weight, and whose own work waits for longer than its jobs may, has only a share of them taken in (Limiter): what is
// within its weight, and besides as much as is carried out of it in time. What is carried out is seen from the work in progress, whatever bounds it: room,
// advice, a quota or the owner. Others' jobs are taken in as before. Nothing is refused before the owner knows enough.
//
// The package knows neither jobs nor workers. Package dispatch sums up what accepted jobs owe, by what package advice reckons; package poolowner
// tells the hosts, whose doors refuse. Whose call may go on at all is decided in package customer.
//
// # Usage
//
//	l := admission.Load{
//		Age: time.Minute, Advisers: 2, Owed: admission.Owed{0: time.Second, 1: 25 * time.Second},
//		IsMostlyUsed: func(pool string) bool { return false },
//	}
//	l.Refusals(queues) // of queues of priority 1: Wait 13 s, RetryAfter 4 s; none of priority 0
//
//	x := admission.NewLimiter()
//	x.Accepted("hot", "sheets", now)   // for each job
//	x.Limits(demands, time.Minute, now) // once a heartbeat: of "hot" and "sheets" a share of 0.2, RetryAfter 4 s
package admission
