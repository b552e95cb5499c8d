// Package pace decides how fast the tasks go that fill what others leave unused.
//
// Such fillers disturb the tasks that serve on the same worker. When the tail of the answer times of one that serves comes near its target,
// the fillers there are slowed down at once; when all tails there have stayed well below for a while, they are let go faster step by step.
//
// The package knows neither workers nor runs. Package dispatch keeps a Control for each worker, tells it the worst tail there after each report,
// applies the Change to each filler's pace, and has the orders sent.
//
// # Usage
//
//	var c pace.Control
//	change := c.Decide(0.9, now) // Down: a tail is at 0.9 of its target
//	change.Of(100)               // 40 percent
//	c.Decide(0.3, now)           // Keep: it has to stay low for a second
//	change = c.Decide(0.3, now.Add(time.Second))
//	change.Of(40)                // 55 percent
package pace
