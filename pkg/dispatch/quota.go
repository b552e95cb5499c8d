package dispatch

import (
	"foldarch.dev/foldarch/pkg/account"
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/customer"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/worth"
)

// openAccount returns the account of a customer, and creates it if there is none; nil for a customer
// without a name.
//
// An account limits the resources that a customer uses on all workers together to its quota (package
// account). It counts the same runs as the workers' room does, from the decision to start a run until
// the run has certainly ended (addRun, removeRun), so quota and worker capacity always agree. Runs that
// previous owners may have started on workers that have not reported to this owner count as well
// (unreported.go). A customer that the configuration no longer names keeps its last known quota.
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

// updateAccount sets the weight and the quota of an account to those of the configuration in force.
func (p *Pool) updateAccount(name string) {
	if p.config == nil || p.config.Customers == nil {
		return
	}
	if c, named := p.config.Customers.ByName(name); named {
		p.accounts[name].Update(*c)
	}
}

// quotaNeed returns what a task of the step counts against its customer's quota: all the resources that
// it specifies, including the CPU of fillers, which does not count against the worker's room.
func (s *step) quotaNeed() cell.Resources {
	return s.spec.Resources
}

// chargeQuota counts a run of a step against its customer's quota.
func (p *Pool) chargeQuota(s *step) {
	s.countedRuns++
	if a := s.occurrence.job.account; a != nil {
		a.Charge(s.quotaNeed())
	}
}

// releaseQuota reverses chargeQuota.
func (p *Pool) releaseQuota(s *step) {
	s.countedRuns--
	if a := s.occurrence.job.account; a != nil {
		a.Release(s.quotaNeed())
	}
}

// quotaRoom returns how many more tasks of a step fit into its customer's quota, at most the given
// limit.
func (p *Pool) quotaRoom(s *step, limit int) int {
	a := s.occurrence.job.account
	if a == nil {
		return limit
	}
	if p.HasUnknownJobs() {
		// Workers list runs of unknown jobs, which may be this customer's; their records are being read.
		return 0
	}
	return a.StartableTasks(s.claimant(), s.quotaNeed(), limit)
}

// startableTasks returns how many of a step's waiting tasks fit into its customer's quota. For a gang
// that starts as a whole these are all or none.
func (p *Pool) startableTasks(s *step) int {
	waiting := s.waitingTasks()
	n := p.quotaRoom(s, waiting)
	if s.spec.Gang && n < waiting && !s.hasMissingMembers() {
		return 0
	}
	return n
}

// awaitsQuota reports whether a step has waiting tasks and none of them may start until its customer
// uses less of its quota.
func (p *Pool) awaitsQuota(s *step) bool {
	return !s.hasMissingMembers() && s.waitingTasks() > 0 && p.startableTasks(s) == 0
}

// reserveGangQuota reserves quota that becomes free for a gang that can still end in time. Otherwise
// the gang would never find enough quota at once, as each run that ends makes room for a smaller step.
func (p *Pool) reserveGangQuota(s *step, now clock.Time) {
	if s.spec.Gang && s.valueClass(now) <= worth.InTime {
		s.reserveQuota()
	}
}

// reserveQuota reserves room in the customer's quota for all members of a gang, as far as the account
// allows.
func (s *step) reserveQuota() {
	s.occurrence.job.account.Reserve(s.claimant(), s.spec.MinResources())
}

// claimant identifies a step in its customer's account.
func (s *step) claimant() account.Claimant {
	return account.Claimant(s.seq)
}

// addOrphan records that a worker lists a run of a job that is not known, or of which only the outcome
// is known. The run is counted in its customer's account if the customer is known.
func (p *Pool) addOrphan(w *worker, id job.ID) {
	ended, _ := p.outcomes.Find(id)
	if a := p.openAccount(customer.Customer{Name: ended.Customer}); a != nil {
		a.AddOrphan()
		w.orphanAccounts = append(w.orphanAccounts, a)
	}
}

// clearOrphans removes the orphans of a worker from the customers' accounts.
func (w *worker) clearOrphans() {
	for _, a := range w.orphanAccounts {
		a.RemoveOrphan()
	}
	w.orphanAccounts = w.orphanAccounts[:0]
}

// clearQuotaReservations removes the quota reservations of the previous plan.
func (p *Pool) clearQuotaReservations() {
	for _, a := range p.accounts {
		a.ClearReservations()
	}
}
