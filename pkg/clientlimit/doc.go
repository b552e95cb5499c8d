// Package clientlimit bounds what clients can take of a process: connections, request heads and request bodies. All
// listeners of a process share one Limiter, whose limits follow from the memory and the descriptors that the process
// may use.
//
// # Connections
//
// Each listener has a limit of its own, so that clients of one listener can't use up what the others need. At the
// limit, a new connection replaces the one that makes the least progress: first those that wait for a complete head
// of a request, the oldest first; then those whose body has been arriving for longest; then those whose clients have
// not read an answer for a second. Other connections whose requests are being processed are never closed for another
// one. If all are being processed, the new connection is closed. An answer that is not read in time ends its
// connection. Phases count from their first 200 ms on; among connections that are newer in theirs, the oldest goes
// first.
//
// # Heads and bodies
//
// The head of a request is limited in size and time, and a body in time. Up to a small size, a body belongs to the
// fixed cost of its connection. Beyond that it is charged to a budget that all listeners share; JSON objects and
// the elements of lists count more than their bytes, since they take more memory once they are decoded. If the budget
// is used up, reading the body fails with ErrBusy and nothing of the request has been done. One body alone is never
// refused.
//
// # Usage
//
//	limiter := clientlimit.New(clientlimit.Resources{MemoryBytes: 284 << 20, Descriptors: 4200}, options, registry, log)
//	callers := limiter.Listener("callers", clientlimit.Callers)
//	l, err := callers.Listen(address)
//	server := callers.Server(handler)
//	go server.Serve(callers.Wrap(l))
//	callers.Shutdown(ctx, server) // in place of server.Shutdown, which drops requests that it reads late
//
// Listeners of other protocols wrap their connections as well. A connection of theirs may send firstBytes within
// firstTime until Establish is called with the context of its first call; from then on it is never closed for another
// one:
//
//	l := limiter.Listener("peers", clientlimit.Peers).Wrap(inner)
//
// If Received is called after each message, unfinished large messages share a budget of their own.
//
// Where the first call may be larger, AllowFirstCalls says so. Such calls take turns before they are read whole.
package clientlimit
