package account

import (
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/customer"
)

// Claimant is a step that uses a quota. It is identified by a number above 0 that no other step has.
type Claimant int64

// Account keeps what one customer uses in the pools of one owner. New makes one.
type Account struct {
	customer customer.Customer
	used     cell.Resources
	// unreported is what the customer may have running, in addition to used, on workers that have not
	// reported to this owner. endedJobUse is the part of it that belongs to jobs that have ended.
	unreported, endedJobUse cell.Resources
	// reservations is the room in the quota that the present plan keeps for steps that can't start yet,
	// and reserved is the sum.
	reserved     cell.Resources
	reservations map[Claimant]cell.Resources
	// orphans counts the runs that workers list of ended jobs of the customer, of which nothing else is
	// known.
	orphans int
	rate    customer.Rate
}

// New returns the account of a customer without running tasks.
func New(c customer.Customer) *Account {
	return &Account{customer: c, reservations: map[Claimant]cell.Resources{}}
}

// Update sets the customer's weight and quota of a newer configuration.
func (a *Account) Update(c customer.Customer) {
	a.customer = c
}

// Customer returns the customer, with the weight and the quota in force.
func (a *Account) Customer() customer.Customer {
	return a.customer
}

// Used returns the resources that are charged.
func (a *Account) Used() cell.Resources {
	return a.used
}

// Charge adds the resources of a task. It is called when the start of the task is decided.
func (a *Account) Charge(need cell.Resources) {
	a.used = a.used.Add(need)
}

// Release subtracts what Charge has added, once the run has certainly ended.
func (a *Account) Release(need cell.Resources) {
	a.used = a.used.Sub(need)
}

// IsOverQuota reports whether more is charged than the quota allows, which happens when the quota is
// lowered.
func (a *Account) IsOverQuota() bool {
	return !a.customer.WithinQuota(a.used)
}

// StartableTasks returns how many more tasks that need these resources the customer may start for a step,
// up to maxTasks.
func (a *Account) StartableTasks(by Claimant, need cell.Resources, maxTasks int) int {
	if a.orphans > 0 {
		return 0 // it is not known what the orphans use; they are being stopped
	}
	return min(maxTasks, a.quotaRoom(by, need, maxTasks))
}

// quotaRoom returns for how many tasks that need these resources the quota has room, up to maxTasks.
func (a *Account) quotaRoom(by Claimant, need cell.Resources, maxTasks int) int {
	quota, running := a.customer.Quota, a.used.Add(a.unreported).Add(a.ReservedForOthers(by))
	n := int64(maxTasks)
	for _, kind := range []struct{ limit, running, need int64 }{
		{quota.CPUMillis, running.CPUMillis, need.CPUMillis},
		{quota.MemoryMB, running.MemoryMB, need.MemoryMB},
		{quota.Accelerators, running.Accelerators, need.Accelerators},
	} {
		if kind.limit > 0 && kind.need > 0 {
			n = min(n, max(kind.limit-kind.running, 0)/kind.need)
		}
	}
	return int(n)
}

// Reserve keeps room in the quota, until ClearReservations, for a step that waits until it can start as a
// whole. While the quota is not mostly used, only the first step gets a reservation: no more than one
// step can start next, and reservations for several would leave the quota unused. A step that needs more
// than the whole quota gets none.
func (a *Account) Reserve(to Claimant, need cell.Resources) {
	if !a.customer.WithinQuota(need) || len(a.reservations) > 0 && !a.IsMostlyUsed() {
		return
	}
	a.reserved = a.reserved.Add(need)
	a.reservations[to] = need
}

// ClearReservations removes all reservations, at the beginning of a plan.
func (a *Account) ClearReservations() {
	a.reserved = cell.Resources{}
	clear(a.reservations)
}

// ReservedFor returns what the last plan has reserved for a step.
func (a *Account) ReservedFor(by Claimant) cell.Resources {
	return a.reservations[by]
}

// ReservedForOthers returns what the last plan has reserved for all other steps.
func (a *Account) ReservedForOthers(by Claimant) cell.Resources {
	return a.reserved.Sub(a.ReservedFor(by))
}

// mostlyUsedShare is the share of a quota above which it counts as mostly used. The platform counts a job
// as lost that waits while less than half of the quota is in use.
const mostlyUsedShare = 0.6

// IsMostlyUsed reports whether more than mostlyUsedShare of the quota is in use.
func (a *Account) IsMostlyUsed() bool {
	return a.used.DominantShare(a.customer.Quota) > mostlyUsedShare
}

// Orphans returns the number of runs of the customer of which nothing else is known.
func (a *Account) Orphans() int {
	return a.orphans
}

// AddOrphan counts a run of the customer that a worker lists and of which nothing else is known.
func (a *Account) AddOrphan() {
	a.orphans++
}

// RemoveOrphan removes one run that AddOrphan has counted.
func (a *Account) RemoveOrphan() {
	a.orphans--
}

// RecordArrival records that a job of the customer was accepted at a time, and reports whether it is over
// the customer's share.
func (a *Account) RecordArrival(accepted clock.Time) bool {
	return a.rate.RecordArrival(a.customer.Weight, accepted)
}
