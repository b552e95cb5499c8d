package account

import "foldarch.dev/foldarch/pkg/cell"

// Unreported returns what the customer may have running on workers that have not reported to this owner.
// Package dispatch computes the sum anew from time to time: it calls ClearUnreported and, while some
// workers have not reported, ResetUnreported, AddUnreported for each job that goes on, CapUnreported and
// RaiseUnreported.
func (a *Account) Unreported() cell.Resources {
	return a.unreported
}

// AddEndedJobUse adds what may still run of a job that has ended.
func (a *Account) AddEndedJobUse(need cell.Resources) {
	a.endedJobUse = a.endedJobUse.Add(need)
}

// ClearEndedJobUse records that nothing of ended jobs can run any more.
func (a *Account) ClearEndedJobUse() {
	a.endedJobUse = cell.Resources{}
}

// ClearUnreported records that nothing can run on workers that have not reported.
func (a *Account) ClearUnreported() {
	a.unreported = cell.Resources{}
}

// ResetUnreported sets the sum to what AddEndedJobUse has counted.
func (a *Account) ResetUnreported() {
	a.unreported = a.endedJobUse
}

// AddUnreported adds what may run of a job that goes on.
func (a *Account) AddUnreported(need cell.Resources) {
	a.unreported = a.unreported.Add(need)
}

// CapUnreported limits the sum to what the workers that have not reported have room for.
func (a *Account) CapUnreported(room cell.Resources) {
	a.unreported = a.unreported.Min(room)
}

// RaiseUnreported raises the sum to at least what a previous owner may still start.
func (a *Account) RaiseUnreported(minimum cell.Resources) {
	a.unreported = a.unreported.Max(minimum)
}
