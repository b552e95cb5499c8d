// Package routing decides which endpoint runs a request, and when. It holds the owner's view of
// the endpoints of one shard. Since only the owner sends requests to them, its count of the slots
// in use is exact, and it never sends an endpoint more requests than the endpoint has slots.
//
// The package does no I/O, starts no goroutines and reads no clock: events and clock readings
// are passed in and decisions are returned, so that recorded traces can be replayed through
// the same code. It is not safe for concurrent use.
//
// A request waits in the queue of its service and class. Within a class the callers are
// served round-robin. When a queue is full, the newest request of the caller with the most
// requests in it is evicted, so that a caller that floods the queue is the one to be refused.
// A request whose deadline passes while it waits is answered as expired and never sent.
//
// Among the endpoints with a free slot, the one with the lowest share of its slots in use is
// chosen, and among equals the one with the lower latency. Each failure reduces the number of
// slots that are used of an endpoint, and each success restores one. An endpoint that fails
// several times in a row is ejected for a period that doubles with each ejection, and is then
// tried with a single request.
//
// # Usage
//
//	r := routing.New()
//	r.PutService("scoring", routing.Service{QueueLimit: 64})
//	r.PutEndpoint("scoring", "scoring/seoul-1/0", 8, false)
//	d := r.Route(&routing.Request{Service: "scoring", Caller: "kbo", Deadline: 900}, now)
//	// d.Kind == routing.Send: call d.Endpoint, then
//	started := r.Release(d.Endpoint, routing.Served, 12*time.Millisecond, now)
package routing
