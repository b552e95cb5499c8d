// Package account keeps what one customer has running in the pools of an owner, and applies its quota: it
// says how much more the customer may start.
//
// It handles neither jobs nor workers. Package dispatch charges each task from the moment its start is
// decided until its run has certainly ended, and asks an account before it starts another. Package customer
// has the customer with its weight and its quota, and the token bucket that determines which of its jobs are
// over its share.
//
// An account is not safe for concurrent use.
//
// # What counts against a quota
//
//   - What is charged (Charge, Release). That includes starts without an answer, runs that are being
//     stopped, and runs of a worker that can't be reached.
//   - What previous owners may have started on workers that have not reported to this owner
//     (unreported.go).
//   - What the present plan reserves for steps that rank first (Reserve), so that later steps don't take
//     it. While the quota is not mostly used, there is one reservation, as in EASY backfilling (Lifka
//     1995): other steps start where they leave its room free.
//
// While workers list runs of which nothing but the customer is known (AddOrphan), the customer may start
// nothing more, since it is not known what these runs use.
//
// A lowered quota stops no runs. What runs counts, and nothing starts until there is room.
//
// # Usage
//
//	a := account.New(customer.Customer{Name: "north", Quota: cell.Resources{CPUMillis: 3000}})
//	core := cell.Resources{CPUMillis: 1000}
//	a.StartableTasks(7, core, 5) // 3 for step 7
//	a.Charge(core)
//	a.StartableTasks(7, core, 5) // 2
//	a.Release(core) // the run has certainly ended
package account
