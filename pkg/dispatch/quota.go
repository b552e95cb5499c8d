package dispatch

import (
	"foldarch.dev/foldarch/pkg/account"
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/customer"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/worth"
)

// A customer has no more running, on all workers together, than its quota (package account). What counts is what counts against the room of
// workers, from the moment a start is decided until its run has certainly ended (count, release), so the quota and the workers' capacity
// can't disagree. A customer that the configuration does not name any more keeps the quota that was known last.
//
// What former owners may have running on workers that a new one has not heard of counts, too (unheard.go).

// openAccount returns the account of a job's customer, which it makes unless there is one; nil for nobody's job.
func (p *Pool) openAccount(c customer.Customer) *account.Account {
	if c.Name == "" {
		return nil
	}
	if _, known := p.accounts[c.Name]; !known {
		p.accounts[c.Name] = account.New(c)
	}
	p.updateAccount(c.Name)
	return p.accounts[c.Name]
}

// updateAccount gives an account the weight and the quota of the configuration in force.
func (p *Pool) updateAccount(name string) {
	if p.config == nil || p.config.Customers == nil {
		return
	}
	if c, named := p.config.Customers.ByName(name); named {
		p.accounts[name].Update(*c)
	}
}

// accountNeed is what a task of a step counts for in its customer's account: all that it takes, also what it is not given room for.
func (s *step) accountNeed() cell.Resources {
	return s.spec.Resources
}

// bookUse and giveBackUse keep what a customer has running.
func (p *Pool) bookUse(s *step) {
	s.counted++
	if a := s.time.job.account; a != nil {
		a.Book(s.accountNeed())
	}
}

func (p *Pool) giveBackUse(s *step) {
	s.counted--
	if a := s.time.job.account; a != nil {
		a.GiveBack(s.accountNeed())
	}
}

// allowed is how many more tasks of a step its customer may have running, at most most.
func (p *Pool) allowed(s *step, most int) int {
	a := s.time.job.account
	if a == nil {
		return most
	}
	if p.ListsUnknown() {
		return 0 // whose the runs are that workers list of unknown jobs is not known; their records are being read
	}
	return a.Allowed(s.claimant(), s.accountNeed(), most)
}

// startable is how many of a step's waiting tasks its customer's quota lets start; of a gang that is to start as a whole, all or none.
func (p *Pool) startable(s *step) int {
	waiting := s.waiting()
	n := p.allowed(s, waiting)
	if s.spec.Gang && n < waiting && !s.missing() {
		return 0
	}
	return n
}

// awaitsQuota says that nothing of a step may start before its customer has less running.
func (p *Pool) awaitsQuota(s *step) bool {
	return !s.missing() && s.waiting() > 0 && p.startable(s) == 0
}

// holdQuota keeps the room in its customer's quota that comes for a gang that is in time, from later steps: a gang never finds
// enough at once while each end makes room for a smaller step.
func (p *Pool) holdQuota(s *step, now clock.Time) {
	if s.spec.Gang && s.standing(now) <= worth.InTime {
		s.promiseQuota()
	}
}

// promiseQuota keeps room in its customer's quota for all members of a gang, as far as the account makes promises.
func (s *step) promiseQuota() {
	s.time.job.account.Promise(s.claimant(), s.spec.AtOnce())
}

// claimant is a step as its customer's account knows it.
func (s *step) claimant() account.Claimant {
	return account.Claimant(s.number)
}

// countForeign takes in that a worker lists a run of a job of which nothing is known but that it has ended.
func (p *Pool) countForeign(w *worker, id job.ID) {
	ended, _ := p.outcomes.Of(id)
	if a := p.openAccount(customer.Customer{Name: ended.Customer}); a != nil {
		a.CountForeign()
		w.foreignOf = append(w.foreignOf, a)
	}
}

// clearForeign takes back what countForeign has counted of a worker.
func (w *worker) clearForeign() {
	for _, a := range w.foreignOf {
		a.ForgetForeign()
	}
	w.foreignOf = w.foreignOf[:0]
}

// clearPromises begins a plan.
func (p *Pool) clearPromises() {
	for _, a := range p.accounts {
		a.ClearPromises()
	}
}
