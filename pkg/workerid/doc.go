// Package workerid has the ID of one incarnation of a worker: the worker's name, which stays the same when
// its process starts again, and the time at which this incarnation started.
//
// # Usage
//
//	id := workerid.New("i-058fd8d354", 1767225600000) // "i-058fd8d354@1767225600000"
//	id.Name()                                         // "i-058fd8d354"
//	id.StartedAt()                                    // 1767225600000
package workerid
