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
//   - what is booked (Book, Release): also starts without an answer, runs that are being stopped, and those of a worker that can't be heard;
//   - what former owners may have running on workers that a new owner has not heard of (unheard.go);
//   - what steps that come first in the order of the present plan wait for (Promise), so that later ones don't take it. In a quota that is not well used
//     there is one such step, as in EASY backfilling (Lifka 1995): the others start where they leave it its room.
//
// While workers list runs of which only the customer is known (AddOrphan), nothing more is allowed, since nobody knows what they take.
//
// A lowered quota stops nothing. What runs counts, and nothing starts until there is room.
//
// # Usage
//
//	a := account.New(customer.Customer{Name: "north", Quota: cell.Resources{CPUMillis: 3000}})
//	core := cell.Resources{CPUMillis: 1000}
//	a.Allowed(7, core, 5) // 3 for step 7
//	a.Book(core)
//	a.Allowed(7, core, 5) // 2
//	a.Release(core)   // the run has certainly ended
package account
