// Package keys implements the idempotency-key table with which the owner of a shard keeps
// a request from running more than once. Every request with a given key is routed to the
// key's home shard (cell.Layout.Home), so one table, in one process, decides about it.
//
// The table is held in memory only and is not replicated. A new owner can't know which
// requests the previous owner sent. A request whose key may have been used before the
// takeover is therefore not run again: it gets "outcome unknown" or, while a repeatable
// request may still be running, "in progress". Whether the key can have been used before
// is decided from the time at which the caller issued it. A key without an issue time
// counts as possibly used: for a request that is not repeatable until the window after
// the takeover has passed, for a repeatable one until its time limit has passed.
//
// The caller's clock does not have to be right. The previous owner refused keys issued in
// its future, so only the clocks of the entry hosts must agree, to within MaxSkew.
//
// The package has no clock and does no I/O: the time is an argument.
//
// # Usage
//
//	t := keys.New(keys.Config{Window: 2 * time.Minute, …}, takeoverTime)
//	switch v := t.Begin(req, now); v.Kind {
//	case keys.Fresh:
//		// run it, then t.Finish(req.Key, answer), or t.Abort(req.Key) when it did not run
//	case keys.Answered:
//		// return v.Answer
//	}
package keys
