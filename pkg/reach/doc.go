// Package reach decides for an entry host who writes what callers hand in, and whether the host reports ready.
//
// The store is the only place in which an accepted job lasts. A host that the store answers writes itself. Otherwise the owner writes for it, if the store
// answers the owner. When it answers neither, nothing can be taken in, and what is best for callers depends on whether other hosts can do better:
//
//	host's store  owner                        owner's other halls  row                who writes      ready
//	answers       any                          any                  own_write          the host        yes
//	silent        heard, its store answers     any                  owner_writes       the owner       yes
//	silent        heard, its store is silent   heard, or never had  store_unavailable  nobody          yes
//	silent        heard, its store is silent   lost with the store  hall_cut_off       nobody          no
//	silent        not heard                    unknown              host_cut_off       nobody          no
//
// A host that is not ready is taken out by the platform's balancer, which sends callers to other data halls. When the store is unavailable to all that is no
// help, and being taken out costs time after the store's return. The owner tells the two apart by the other halls that its members are in (Contact):
// halls that fell silent about when the store did were cut off from it. An owner that never had a member of another hall, since there is
// one hall or it was elected just now, or whose members of other halls left long before, counts as not cut off.
//
// The package is pure: package poolowner keeps the Contact, package jobhost the Gate.
//
// # Usage
//
//	var c reach.Contact // of the owner
//	c.HeardAt(at)         // for each member of another hall
//	c.Count(halls, now)   // of how many other halls members are heard
//	lost := c.Lost(storeAge, now)
//
//	var g reach.Gate // of a host
//	row := g.Row(reach.View{StoreAnswers: false, Owner: reach.Owner{Heard: true, StoreAge: 2 * time.Second, HallsLost: true}}, now)
//	row.Open()  // false: refuse at once
//	row.Ready() // false: let the balancer send callers elsewhere
package reach
