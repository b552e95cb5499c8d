// Package routing decides which endpoint runs a request, and when. It is the owner's view
// of the endpoints of one shard: the owner alone gives work to them, so it knows exactly
// how many slots are in use and no endpoint is ever given more than its slots.
//
// The package is pure: events and clock readings go in, decisions come out; there are no
// sockets, goroutines or clocks in it, so that recorded traces replay through the code
// that runs. It is not safe for concurrent use.
//
// A request waits in its service's queue, by class; within a class the callers take
// turns. When a queue is full, the caller with the most requests in it loses its newest,
// so that one that floods gets its own refusals. A request whose deadline comes is
// answered as expired and never sent.
//
// Among the endpoints with a free slot the one with the least part of its slots in use is
// taken, and among equals the one that answered faster. An endpoint that fails loses
// slots and gets them back one answer at a time; one that fails again and again is left
// alone for a while that doubles, and then tried with one request.
//
// # Usage
//
//	r := routing.New()
//	r.PutService("scoring", routing.Service{QueueLimit: 64})
//	r.PutEndpoint("scoring", "scoring/seoul-1/0", 8, false)
//	d := r.Arrive(&routing.Request{Service: "scoring", Caller: "kbo", Deadline: 900}, now)
//	// d.Kind == routing.Send: call d.Endpoint, then
//	started := r.Release(d.Endpoint, routing.Served, 12*time.Millisecond, now)
package routing
