// Package result defines the numbered result codes of foldarch's answers to callers and
// operators. For each code it gives the name, whether the request ran, and the HTTP status.
// docs/result-codes.md documents the codes; a test compares the two.
//
// The hundreds digit gives the class of a code:
//
//	1xx  success
//	2xx  the request did not run and will not; answered as soon as this is known, usually with
//	     a time after which to retry
//	3xx  the outcome is unknown, the request is still running, or its answer is not kept any more
//	4xx  the request itself is invalid and did not run
//	5xx  an operator's command or a settings tree is invalid, or foldarch itself failed
//
// # Usage
//
//	return result.New(result.Overloaded, "queue of scoring is full").WithRetryAfter(200 * time.Millisecond)
//
// and where an error becomes an answer:
//
//	e := result.From(err) // a *result.Error; its code is result.Internal for any other error
//	info := e.Code.Info()
package result
