// Package fit computes for how many tasks there is room, and how well a worker suits a task.
//
// It gets only the resources and other figures of tasks and workers. Package dispatch decides which
// workers may run a task, and chooses the one with the lowest cost.
//
// # Usage
//
//	fit.MaxTasks(need, free, 10) // at most 10
//	fit.Candidate{Free: free, Capacity: capacity, FarFromData: true}.Cost(need)
package fit
