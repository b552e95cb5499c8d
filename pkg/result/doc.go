// Package result is the table of numbered result codes: what every answer of foldarch
// to a caller or an operator is called, whether the request ran, and which HTTP status
// carries it. docs/result-codes.md is the same table for readers; a test compares them.
//
// The hundreds tell the most important thing first:
//
//	1xx  done
//	2xx  not run: known, final, said at once, usually with a time to come back
//	3xx  outcome unknown, or not over yet
//	4xx  the request itself is at fault; not run
//	5xx  an operator's command or a settings tree is at fault
//
// # Usage
//
//	return result.New(result.Overloaded, "queue of scoring is full").WithRetryAfter(200 * time.Millisecond)
//
// and at the border:
//
//	problem := result.From(err) // *result.Error, result.Internal for an unknown error
//	row := problem.Code.Row()
package result
