// Package endpoint is the client for service endpoints, which are the instances of a service.
// It is the only package that knows how a request is sent to an endpoint: as an HTTP POST
// whose body is the body of the caller's request.
//
// The outcome that Call returns states whether a request is known not to have run. Retries and
// the result codes of class 2xx ("not run") depend on this. Go's HTTP transport repeats some
// requests by itself. To prevent that, the caller's key is not sent as Idempotency-Key, which
// would permit the transport to repeat the request, and the body can be read only once.
//
// An endpoint needs to know nothing of foldarch, but it can support it in three ways: state in
// the RefusedHeader of an answer that it accepts no new requests; refuse, with the same header, a
// request of a lower epoch than it has seen; and report at HealthPath how many requests it
// runs. The last one spares a new owner of a shard from waiting for the time limit of the requests
// that its predecessor sent.
//
// # Usage
//
//	c := endpoint.New(dialer, maxBody)
//	answer := c.Call(ctx, address, endpoint.Request{Key: "k", Body: body})
//	switch answer.Outcome {
//	case endpoint.Done, endpoint.Failed: // it ran, or may have
//	case endpoint.NotRun:                // it certainly did not run
//	case endpoint.NoAnswer:              // it is unknown whether it ran
//	}
package endpoint
