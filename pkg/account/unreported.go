package account

import "foldarch.dev/foldarch/pkg/cell"

// What a customer may have running on workers that a new owner has not heard of. Its caller works the sum out anew now and then: ClearUnheard,
// and while some workers are unheard BeginUnheard, AddUnheard for each job that goes on, CapUnheard, RaiseUnheard.

// Unheard is what the customer may have running unheard.
func (a *Account) Unheard() cell.Resources {
	return a.unheard
}

// CountEnded takes in what may still run of a job that had ended.
func (a *Account) CountEnded(need cell.Resources) {
	a.ended = a.ended.Add(need)
}

// ForgetEnded takes in that nothing of jobs that had ended runs any more.
func (a *Account) ForgetEnded() {
	a.ended = cell.Resources{}
}

// ClearUnheard takes in that nothing runs unheard.
func (a *Account) ClearUnheard() {
	a.unheard = cell.Resources{}
}

// BeginUnheard begins the sum with what CountEnded has counted.
func (a *Account) BeginUnheard() {
	a.unheard = a.ended
}

// AddUnheard adds what may run unheard of a job that goes on.
func (a *Account) AddUnheard(need cell.Resources) {
	a.unheard = a.unheard.Add(need)
}

// CapUnheard bounds the sum by what the workers hold that were not heard of.
func (a *Account) CapUnheard(room cell.Resources) {
	a.unheard = a.unheard.Min(room)
}

// RaiseUnheard has the sum be no less than what a former owner may still start.
func (a *Account) RaiseUnheard(least cell.Resources) {
	a.unheard = a.unheard.Max(least)
}
