// Package admission decides which queues accept no jobs for now, of which customers only a share of the
// jobs is accepted, and when callers may try again.
//
// A process makes one advice call at a time. With few such processes (advisers), more calls may be
// needed than are made while most of the pool is free. Accepted jobs then wait ever longer, and some never
// run. So a queue refuses jobs while the calls that go before those of a new job take longer than a job may
// wait. A full pool is no reason to refuse: the workers are busy, and the order of steps puts those last
// that would end too late.
//
// When a customer sends more than its weight, and its own work waits longer than its jobs may, only a share
// of its jobs is accepted (Limiter): those within its weight, and as many others as are done in time.
// The rate at which its work is done is taken from its work in progress, whatever limits that: room,
// advice, a quota or the owner. Jobs of other customers are accepted as before. Nothing is refused before
// the owner knows enough.
//
// The package handles neither jobs nor workers. Package dispatch computes what advice accepted jobs still
// need, by the estimates of package advice. Package poolowner informs the hosts, which refuse the jobs.
// Package customer decides whether a call is admitted at all.
//
// # Usage
//
//	l := admission.Load{
//		Age: time.Minute, Advisers: 2, PendingAdvice: admission.PendingAdvice{0: time.Second, 1: 25 * time.Second},
//		IsMostlyUsed: func(pool string) bool { return false },
//	}
//	l.Refusals(queues) // of queues of priority 1: Wait 13 s, RetryAfter 4 s; none of priority 0
//
//	x := admission.NewLimiter()
//	x.RecordAccepted("hot", "sheets", now) // for each job
//	x.Limits(demands, time.Minute, now)    // each heartbeat: "hot", "sheets": share 0.2, RetryAfter 4 s
package admission
