// Package peer is the RPC protocol between foldarch's own processes: drpc over TCP, as
// api/peer.proto defines it. Client calls a peer at an address, and Serve answers such calls
// by means of Handlers. Other packages see their own types only, not the generated ones.
//
// A drpc connection carries one call at a time, so the client keeps a pool of connections.
//
// # Usage
//
//	c := peer.NewClient(dialer)
//	member, err := c.Heartbeat(ctx, address, self)
//	answer, err := c.Forward(ctx, address, request)
//	if dialer.NotSent(err) {
//		// no connection to the peer could be opened: the request certainly did not run there
//	}
package peer
