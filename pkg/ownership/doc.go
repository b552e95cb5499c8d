// Package ownership decides which process has authority over a shard. It keeps one rule:
// at any moment at most one process believes that it has authority, whatever is killed,
// paused, cut off or answered too late.
//
// # The rule
//
// The platform store holds one record per shard: its epoch, its owner and the owner's
// successor, another process of the same hall. The owner has authority only while it
// holds a grant of the successor, a term of TermOfGrant that it asks for every AskEvery.
// The store takes no part in that, so authority outlives an outage of the store. The
// successor alone may follow the owner: it first lets its last grant lapse, then moves
// the record to the next epoch by compare-and-swap. The same compare-and-swap settles a
// race with an owner that replaces a silent successor.
//
// An owner without a successor is sole. It keeps its authority until another one is
// recorded, and can be followed only on proof that its process has ended: its host
// answers that nothing listens on its port, another incarnation answers there, the
// platform's host list has the host as gone, or an operator releases the shard.
//
// The same proof lets the pair go on without the store: an owner that sees its successor
// dead while its grant still holds becomes sole; a successor that sees its owner dead
// while the owner's grant certainly still held follows it without a record and writes the
// record when the store is back. docs/design/ownership.md tells why this is safe and what
// it gives up; spec/ownership.pml is the model, and names the methods of Machine.
//
// # Machine and Keeper
//
// Machine is the pure part, for one shard in one process: events and clock readings go
// in, queries tell the role and the authority. Keeper is the duty that drives the
// machines of a hall with the store, the peers and the clock.
//
// # Usage
//
//	k := ownership.NewKeeper(ownership.KeeperConfig{Self: self, Shards: shards}, deps)
//	go k.Run(ctx)
//	epoch, until, ok := k.Authority(shard) // ask again right before each send
package ownership
