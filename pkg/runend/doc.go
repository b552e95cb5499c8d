// Package runend foresees when runs end, by their progress or the estimate of their tasks, and so when there will be room.
//
// It knows runs by figures only. Package dispatch has the runs and the workers.
//
// # Usage
//
//	var p runend.Progress
//	p.Begin(begun)
//	p.Observe(10, begun.Add(time.Second))
//	p.Observe(20, begun.Add(2*time.Second))
//	p.TimeLeft(time.Minute, begun, now) // by its speed; before that, by the estimate of a minute
//	runend.TimeUntilRoom(need, free, []runend.End{{In: time.Second, Frees: need}})
package runend
