// Package relay has entry hosts make the owner's calls to workers.
//
// An owner of hundreds of workers spends most of its processor on HTTP with them: a connection or two for
// each, a waiting call that renews leases, and a call for each start. Other entry hosts can make these calls
// for it. A Client at the owner puts orders of some milliseconds (batchPause) together into one message for one host; the
// Server there makes each call once and sends the results back in the same way.
//
// A relay decides nothing. Fencing tokens, deadlines by the worker's clock and what is noted come
// from the owner with each order. So a relay is a part of the network between owner and worker: an order that
// it loses, delays, or carries out seconds later is like a call that the network loses or delays, and what
// holds for those (package dispatch) holds for it. An order is made once at most, and one without a result
// has an unknown outcome.
//
// A worker belongs to one relay at a time (Assignments). When that changes, the owner raises the worker's token
// with its next hold, so that orders that the former relay still has are void.
//
// # Usage
//
// At the owner:
//
//	c := relay.NewClient(timeout)
//	go c.Run(ctx, session.Send)   // until the host's stream ends
//	c.Take(results)               // for each message of results
//	answer, report, err := c.Hold(ctx, order)
//
// At the other host:
//
//	s := relay.NewServer(workers)
//	go s.Run(ctx, member.Send)
//	s.Take(ctx, orders)           // for each message of orders
package relay
