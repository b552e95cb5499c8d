// Package account keeps what one customer has running in the pools of an owner, and says how much more it may start: the rules of quotas.
//
// It knows neither jobs nor workers. Package dispatch books each task from the moment its start is decided until its run has certainly
// ended, and asks an account before it starts another. Package customer says who the customer is, with its weight and its quota, and
// has the token bucket that tells which of its jobs are beyond its weight.
//
// An account is not safe for concurrent use.
//
// # What counts against a quota
//
//   - what is booked (Book, GiveBack): also starts without an answer, runs that are being stopped, and those of a worker that can't be heard;
//   - what former owners may have running on workers that a new owner has not heard of (unheard.go);
//   - what a step that comes first in the order of the present plan waits for (Promise), so that later ones don't take it.
//
// While workers list runs of which only the customer is known (CountForeign), nothing more is allowed, since nobody knows what they take.
//
// A lowered quota stops nothing. What runs counts, and nothing starts until there is room.
//
// # Usage
//
//	a := account.New(customer.Customer{Name: "north", Quota: cell.Resources{CPUMillis: 3000}})
//	core := cell.Resources{CPUMillis: 1000}
//	a.Allowed(core, 5) // 3
//	a.Book(core)
//	a.Allowed(core, 5) // 2
//	a.GiveBack(core)   // the run has certainly ended
package account
