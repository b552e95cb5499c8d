// Package members holds what a process knows about the other processes of the cell: who they are,
// in which hall, which shards they own, and when they were last heard from. The knowledge comes
// from heartbeats, which two processes exchange, and from the platform's host list. The host list
// lags behind, but it names processes from which no heartbeat has come yet.
//
// Nothing that requires agreement depends on this package. It only tells which processes to
// contact and which to name as a successor; a wrong entry costs time, never safety.
//
// The package does no I/O; its user sends the heartbeats.
//
// # Usage
//
//	t := members.New(self)
//	t.AddSeed(address)
//	for _, a := range t.DueHeartbeats(now) {
//		// exchange a heartbeat with a, then
//		t.Update(member, now)
//	}
//	t.Alive(hall, now)
package members
