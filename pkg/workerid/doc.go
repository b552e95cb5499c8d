// Package workerid names one life of a worker: the worker's name, which it keeps when it starts again, and when that life began.
//
// # Usage
//
//	id := workerid.New("i-058fd8d354", 1767225600000) // "i-058fd8d354@1767225600000"
//	id.Name()                                         // "i-058fd8d354"
//	id.Born()                                         // 1767225600000
package workerid
