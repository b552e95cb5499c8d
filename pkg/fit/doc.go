// Package fit says how many tasks there is room for, and how well a worker suits a task.
//
// It knows tasks and workers by figures only. Package dispatch decides which workers may run a task, and chooses the one of least cost.
//
// # Usage
//
//	fit.Tasks(need, free, 10) // at most 10
//	fit.Worker{Free: free, Capacity: capacity, Far: true}.Cost(need)
package fit
