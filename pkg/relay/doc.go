// Package relay lets other entry hosts make the calls to workers on behalf of the owner of a pool.
//
// The owner of a pool of hundreds of workers spends most of its processor time on HTTP with them:
// one or two connections to each, a long poll that renews leases, and a call for each
// start. Other entry hosts, the relays, can make these calls for it. Each call is described by an
// order: start, stop, pace or poll. A Client at the owner collects orders for a few
// milliseconds (batchDelay) and sends them to one host in one message; the Server at that host
// makes each call once and returns the results in the same way.
//
// A relay decides nothing. All contents of an order, such as the fencing token and the deadline on
// the worker's clock, come from the owner. So a relay is a part of the network between owner and
// worker: an order that it loses, delays, or carries out seconds later is like a call that the
// network loses or delays, and package dispatch handles both in the same way. An order is carried
// out at most once, and the outcome of an order without a result is unknown.
//
// A worker is assigned to one relay at a time (Assignments). When the assignment changes, the
// owner raises the worker's fencing token with its next poll. This invalidates the orders that the
// previous relay has not carried out yet.
//
// # Usage
//
// At the owner:
//
//	c := relay.NewClient(timeout)
//	go c.Run(ctx, session.Send)   // until the stream to the host ends
//	c.HandleResults(results)      // for each message of results
//	answer, report, err := c.Poll(ctx, order)
//
// At the other host:
//
//	s := relay.NewServer(relay.DirectCalls(workers), logOmitted)
//	go s.Run(ctx, member.Send)
//	s.HandleOrders(ctx, orders)   // for each message of orders
package relay
