package account

import (
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/customer"
)

// Claimant is a step that takes from a quota, by a number above 0 that no other one has.
type Claimant int64

// Account is what one customer has in the pools of one owner. New makes one.
type Account struct {
	customer customer.Customer
	used     cell.Resources
	// unreported is what it may have running besides, on workers that a new owner has not heard of, and ended the part of it that is
	// of jobs that had ended.
	unreported, endedJobUse cell.Resources
	// reserved is what steps that come first in the order of this plan wait for and can't have yet, and promises is it by step.
	reserved     cell.Resources
	reservations map[Claimant]cell.Resources
	// orphans counts the runs that workers list of its jobs that have ended, of which nothing else is known any more.
	orphans int
	rate    customer.Rate
}

// New returns the account of a customer that has nothing running.
func New(c customer.Customer) *Account {
	return &Account{customer: c, reservations: map[Claimant]cell.Resources{}}
}

// Update gives the account the weight and the quota of a newer configuration.
func (a *Account) Update(c customer.Customer) {
	a.customer = c
}

// Customer is whose account it is, with the weight and the quota in force.
func (a *Account) Customer() customer.Customer {
	return a.customer
}

// Used is what is booked.
func (a *Account) Used() cell.Resources {
	return a.used
}

// Charge counts a task, from the moment its start is decided.
func (a *Account) Charge(need cell.Resources) {
	a.used = a.used.Add(need)
}

// Release takes back what Book counted, once the run has certainly ended.
func (a *Account) Release(need cell.Resources) {
	a.used = a.used.Sub(need)
}

// IsOverQuota says that more is booked than the quota allows, which happens when it is lowered.
func (a *Account) IsOverQuota() bool {
	return !a.customer.Allows(a.used)
}

// StartableTasks is how many more tasks of a need the customer may start for a step, at most most.
func (a *Account) StartableTasks(by Claimant, need cell.Resources, most int) int {
	if a.orphans > 0 {
		return 0 // what they take is not known; they are being stopped
	}
	return min(most, a.quotaRoom(by, need, most))
}

// quotaRoom is how many tasks of a need the quota has room for, at most most.
func (a *Account) quotaRoom(by Claimant, need cell.Resources, most int) int {
	quota, running := a.customer.Quota, a.used.Add(a.unreported).Add(a.ReservedForOthers(by))
	n := int64(most)
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

// Reserve keeps room in the quota for what a step waits for as a whole, until ClearReservations. While the quota is not well used, it does so for the first step
// only: no more than one can be served next, and what is kept for several of them leaves the quota unused. What the quota never allows is promised nothing.
func (a *Account) Reserve(to Claimant, need cell.Resources) {
	if !a.customer.Allows(need) || len(a.reservations) > 0 && !a.IsMostlyUsed() {
		return
	}
	a.reserved = a.reserved.Add(need)
	a.reservations[to] = need
}

// ClearReservations begins a plan.
func (a *Account) ClearReservations() {
	a.reserved = cell.Resources{}
	clear(a.reservations)
}

// ReservedFor is what was kept in the last plan for a step.
func (a *Account) ReservedFor(by Claimant) cell.Resources {
	return a.reservations[by]
}

// ReservedForOthers is what was kept in the last plan for other steps than this one.
func (a *Account) ReservedForOthers(by Claimant) cell.Resources {
	return a.reserved.Sub(a.ReservedFor(by))
}

// mostlyUsedShare is the part of a quota from which on it is well used. The platform counts a job as lost that waits while less than half is in use.
const mostlyUsedShare = 0.6

// IsMostlyUsed says that most of the quota is in use.
func (a *Account) IsMostlyUsed() bool {
	return a.used.DominantShare(a.customer.Quota) > mostlyUsedShare
}

// Orphans counts the runs of the customer of which nothing else is known.
func (a *Account) Orphans() int {
	return a.orphans
}

// AddOrphan takes in that a worker lists a run of the customer of which nothing else is known.
func (a *Account) AddOrphan() {
	a.orphans++
}

// RemoveOrphan takes back what AddOrphan has counted of one run.
func (a *Account) RemoveOrphan() {
	a.orphans--
}

// RecordArrival takes in a job of the customer that was accepted at a time, and says whether it is beyond the customer's weight.
func (a *Account) RecordArrival(accepted clock.Time) bool {
	return a.rate.Beyond(a.customer.Weight, accepted)
}
