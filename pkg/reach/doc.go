// Package reach decides who writes the jobs that an entry host receives, and whether the host reports
// that it is ready.
//
// An accepted job is kept only in the store. A host that reaches the store writes jobs itself. Otherwise
// the owner writes for it, if the owner reaches the store. If neither of them does, no job can be
// accepted, and what is best for callers depends on whether other hosts can accept jobs:
//
//	host's store  owner                             owner's other halls  mode               who writes  ready
//	answers       any                               any                  own_write          the host    yes
//	silent        responsive, its store answers     any                  owner_writes       the owner   yes
//	silent        responsive, its store is silent   heard or never seen  store_unavailable  nobody      yes
//	silent        responsive, its store is silent   lost with the store  hall_cut_off       nobody      no
//	silent        not responsive                    unknown              host_cut_off       nobody      no
//
// The platform's balancer takes a host that is not ready out of service and sends its callers to other
// data halls. If the store is unavailable to all hosts this does not help, and the hosts would return to
// service only some time after the store has recovered. The owner distinguishes the two cases by the
// other halls in which its members are (HallContact). If the last member of another hall was lost at
// about the same time as the store, the owner's hall was cut off. The hall does not count as cut off if
// the owner never had a member of another hall, because there is only one hall or the owner was just
// elected, or if those members left long before.
//
// The package has no I/O and keeps no state of its own: package poolowner keeps the HallContact, package
// jobhost the ModeTracker.
//
// # Usage
//
//	var c reach.HallContact        // of the owner
//	c.RecordHeard(at)              // for each member of another hall
//	c.RecordHallCount(halls, now)  // the number of other halls with responsive members
//	lost := c.HasLostHalls(storeAge, now)
//
//	var t reach.ModeTracker // of a host
//	owner := reach.OwnerView{Responsive: true, StoreAge: 2 * time.Second, HallsLost: true}
//	mode := t.Update(reach.Observation{StoreAnswers: false, Owner: owner}, now)
//	mode.AcceptsJobs() // false: refuse at once
//	mode.IsReady()     // false: let the balancer send callers elsewhere
package reach
