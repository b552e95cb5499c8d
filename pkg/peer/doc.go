// Package peer is the wire between foldarch's own processes: drpc over TCP
// (api/peer.proto). Client calls a peer at an address, Serve answers calls with a Server
// of functions. The rest of the system sees the types of its own packages and none of the
// wire's.
//
// A drpc connection carries one call at a time, so the client keeps a pool of them.
//
// # Usage
//
//	c := peer.NewClient(dialer)
//	member, err := c.Beat(ctx, address, self)
//	answer, err := c.Forward(ctx, address, request)
//	if dialer.NotSent(err) {
//		// the peer was not reached: the request certainly did not run there
//	}
package peer
