// Package endpoint is the client of the instances of services. It is the only package
// that knows how a request travels to an endpoint: as an HTTP POST whose body is the
// caller's body.
//
// Call answers the one question on which retries and the promise "not run" rest: is it
// known that the request did not run? Go's HTTP transport sends some requests a second
// time by itself; for that reason the caller's key does not travel under the name
// Idempotency-Key, which would allow the transport to do so, and the body can't be read
// a second time.
//
// An endpoint may know nothing of foldarch. Three things help when it does: it can say in the
// RefusedHeader of an answer that it takes no new work, it can refuse there a lower epoch
// than it has seen, and it can tell how many requests it runs under HealthPath, which lets
// a new owner take over without waiting out the longest request.
//
// # Usage
//
//	c := endpoint.New(dialer)
//	answer := c.Call(ctx, address, endpoint.Request{Key: "k", Body: body})
//	switch answer.Outcome {
//	case endpoint.Done, endpoint.Failed: // it ran
//	case endpoint.NotRun:                // it certainly did not
//	case endpoint.Lost:                  // nobody knows
//	}
package endpoint
