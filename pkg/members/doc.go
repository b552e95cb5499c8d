// Package members keeps what a process knows of the others: who they are, in which hall,
// what they own, and when they were last heard of. It is filled by beats, which two
// processes exchange, and by the platform's lagging host list, which names those that no
// beat has come from yet.
//
// Membership decides nothing that must be agreed. It only says whom to ask and whom to
// name as a successor; a wrong belief costs time and never safety.
//
// The package is pure; the process sends the beats.
//
// # Usage
//
//	t := members.New(self)
//	t.AddSeed(address)
//	for _, a := range t.Due(now) {
//		// exchange a beat with a, then
//		t.Heard(member, now)
//	}
//	t.Alive(hall, now)
package members
