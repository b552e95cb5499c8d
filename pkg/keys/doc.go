// Package keys is the memory by which the owner of a shard keeps a request from running
// more than once. All copies of a key meet at the key's home shard (cell.Layout.Home), so
// one memory, in one process, decides.
//
// The memory is not kept anywhere else. An owner that took a shard over can't know what
// its forerunner sent, so a key that may have been used before the takeover is answered
// "outcome unknown", or "in progress" while a repeatable request may still be running,
// and is not run again. Whether it may have been used before is told by the time at which
// the caller made the key; a caller that gives no time gets "unknown" for a first use
// until the window after the takeover is over. The caller's clock needs no trust: the
// former owner refused keys from its future, so only the clocks of the entry hosts must
// agree, within MaxSkew.
//
// The package is pure: time comes in as arguments.
//
// # Usage
//
//	m := keys.New(keys.Config{Window: 2 * time.Minute, …}, takenOver)
//	switch v := m.Begin(use, now); v.Kind {
//	case keys.Fresh:
//		// run it, then m.Finish(use.Key, answer, now) or m.Forget(use.Key) when it did not run
//	case keys.Answered:
//		// give v.Answer again
//	}
package keys
