// Package pace decides how fast fillers run: tasks that use what other tasks leave free.
//
// Fillers disturb the serving tasks on the same worker. When the tail latency of a serving task comes near
// its target, the fillers on its worker are slowed down at once. When all tails there have stayed well
// below their targets for a while, the fillers get faster step by step.
//
// The package handles neither workers nor runs. Package dispatch keeps a Control for each worker, calls it
// with the worst tail there after each report, applies the Change to each filler's pace, and has the pace
// orders sent.
//
// # Usage
//
//	var c pace.Control
//	change := c.Decide(0.9, now) // SlowDown: a tail is at 0.9 of its target
//	change.Apply(100)            // 40 percent
//	c.Decide(0.3, now)           // Keep: the tail has to stay low for a second
//	change = c.Decide(0.3, now.Add(time.Second))
//	change.Apply(40)             // 55 percent
package pace
