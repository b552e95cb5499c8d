// Package ownership decides which process has authority over a shard. At any moment at most one
// process considers itself to have authority, even when processes are killed or paused, or when
// messages are lost, delayed or cut off.
//
// # Protocol
//
// The platform store holds one record per shard: its epoch, its owner, and the owner's successor,
// which is another process of the same hall. The owner has authority only while it holds a grant
// of the successor. A grant lasts for Timing.GrantDuration, and the owner requests a new one every
// Timing.RequestInterval. Grants don't involve the store, so authority outlives an outage of the
// store. Unless both processes have ended, only the successor may take over from the owner: it
// first waits until its last grant has expired, then moves the record to the next epoch by
// compare-and-swap. When an owner replaces a silent successor at the same time, the same
// compare-and-swap decides which of the two succeeds.
//
// An owner without a successor is a sole owner. It keeps its authority until it names a successor,
// and another process can take over only with proof that the owner's process has ended (its host
// answers that nothing listens on its port, or another incarnation answers there), or after an
// operator has released the shard.
//
// The same proof lets the two processes go on without the store. An owner that learns that its
// successor has ended, while its grant still holds, becomes the sole owner. A successor that
// learns that its owner has ended, while the owner's grant certainly still held, takes over
// without writing a record, and writes the record when the store is back.
// docs/design/ownership.md explains why this is safe and what it gives up; spec/ownership.pml is
// the formal model, whose steps name the methods of StateMachine and Controller.
//
// # StateMachine and Controller
//
// StateMachine is the protocol for one shard in one process, without I/O: events and clock
// readings go in, and queries return the role and the authority. Controller runs the state
// machines of a hall's shards and connects them with the store, the peers and the clock.
//
// # Usage
//
//	c := ownership.NewController(self, shards, ownership.DefaultTiming, deps)
//	go c.Run(ctx)
//	epoch, until, ok := c.Authority(shard) // call again right before each send
package ownership
