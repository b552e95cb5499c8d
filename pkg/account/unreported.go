package account

import "foldarch.dev/foldarch/pkg/cell"

// What a customer may have running on workers that a new owner has not heard of. Its caller works the sum out anew now and then: ClearUnreported,
// and while some workers are unheard ResetUnreported, AddUnreported for each job that goes on, CapUnreported, RaiseUnreported.

// Unreported is what the customer may have running unheard.
func (a *Account) Unreported() cell.Resources {
	return a.unreported
}

// AddEndedJobUse takes in what may still run of a job that had ended.
func (a *Account) AddEndedJobUse(need cell.Resources) {
	a.endedJobUse = a.endedJobUse.Add(need)
}

// ClearEndedJobUse takes in that nothing of jobs that had ended runs any more.
func (a *Account) ClearEndedJobUse() {
	a.endedJobUse = cell.Resources{}
}

// ClearUnreported takes in that nothing runs unheard.
func (a *Account) ClearUnreported() {
	a.unreported = cell.Resources{}
}

// ResetUnreported begins the sum with what AddEndedJobUse has counted.
func (a *Account) ResetUnreported() {
	a.unreported = a.endedJobUse
}

// AddUnreported adds what may run unheard of a job that goes on.
func (a *Account) AddUnreported(need cell.Resources) {
	a.unreported = a.unreported.Add(need)
}

// CapUnreported bounds the sum by what the workers hold that were not heard of.
func (a *Account) CapUnreported(room cell.Resources) {
	a.unreported = a.unreported.Min(room)
}

// RaiseUnreported has the sum be no less than what a former owner may still start.
func (a *Account) RaiseUnreported(least cell.Resources) {
	a.unreported = a.unreported.Max(least)
}
