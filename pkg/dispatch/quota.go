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

// quotaNeed is what a task of a step counts for in its customer's account: all that it takes, also what it is not given room for.
func (s *step) quotaNeed() cell.Resources {
	return s.spec.Resources
}

// chargeQuota and releaseQuota keep what a customer has running.
func (p *Pool) chargeQuota(s *step) {
	s.countedRuns++
	if a := s.occurrence.job.account; a != nil {
		a.Charge(s.quotaNeed())
	}
}

func (p *Pool) releaseQuota(s *step) {
	s.countedRuns--
	if a := s.occurrence.job.account; a != nil {
		a.Release(s.quotaNeed())
	}
}

// quotaRoom is how many more tasks of a step its customer may have running, at most most.
func (p *Pool) quotaRoom(s *step, most int) int {
	a := s.occurrence.job.account
	if a == nil {
		return most
	}
	if p.HasUnknownJobs() {
		return 0 // whose the runs are that workers list of unknown jobs is not known; their records are being read
	}
	return a.StartableTasks(s.claimant(), s.quotaNeed(), most)
}

// startableTasks is how many of a step's waiting tasks its customer's quota lets start; of a gang that is to start as a whole, all or none.
func (p *Pool) startableTasks(s *step) int {
	waiting := s.waitingTasks()
	n := p.quotaRoom(s, waiting)
	if s.spec.Gang && n < waiting && !s.hasMissingMembers() {
		return 0
	}
	return n
}

// awaitsQuota says that nothing of a step may start before its customer has less running.
func (p *Pool) awaitsQuota(s *step) bool {
	return !s.hasMissingMembers() && s.waitingTasks() > 0 && p.startableTasks(s) == 0
}

// reserveGangQuota keeps the room in its customer's quota that comes for a gang that is in time, from later steps: a gang never finds
// enough at once while each end makes room for a smaller step.
func (p *Pool) reserveGangQuota(s *step, now clock.Time) {
	if s.spec.Gang && s.valueClass(now) <= worth.InTime {
		s.reserveQuota()
	}
}

// reserveQuota keeps room in its customer's quota for all members of a gang, as far as the account makes promises.
func (s *step) reserveQuota() {
	s.occurrence.job.account.Reserve(s.claimant(), s.spec.AtOnce())
}

// claimant is a step as its customer's account knows it.
func (s *step) claimant() account.Claimant {
	return account.Claimant(s.seq)
}

// addOrphan takes in that a worker lists a run of a job of which nothing is known but that it has ended.
func (p *Pool) addOrphan(w *worker, id job.ID) {
	ended, _ := p.outcomes.Find(id)
	if a := p.openAccount(customer.Customer{Name: ended.Customer}); a != nil {
		a.AddOrphan()
		w.orphanAccounts = append(w.orphanAccounts, a)
	}
}

// clearOrphans takes back what addOrphan has counted of a worker.
func (w *worker) clearOrphans() {
	for _, a := range w.orphanAccounts {
		a.RemoveOrphan()
	}
	w.orphanAccounts = w.orphanAccounts[:0]
}

// clearQuotaReservations begins a plan.
func (p *Pool) clearQuotaReservations() {
	for _, a := range p.accounts {
		a.ClearReservations()
	}
}
