// Package runend predicts when runs end, by their progress or by the estimate of their tasks, and so when
// there will be room.
//
// It gets only figures of runs. Package dispatch has the runs and the workers.
//
// # Usage
//
//	var p runend.Progress
//	p.Start(begun)
//	p.Update(10, begun.Add(time.Second))
//	p.Update(20, begun.Add(2*time.Second))
//	p.TimeLeft(time.Minute, begun, now) // by its speed; with less progress, by the estimate of a minute
//	runend.TimeUntilRoom(need, free, []runend.ExpectedEnd{{In: time.Second, Resources: need}})
package runend
