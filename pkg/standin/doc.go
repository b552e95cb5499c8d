// Package standin implements test doubles (stand-ins) of the systems around foldarch: the platform store with
// its host list, the workers, and the endpoints of services. Tests and the cell of `foldarch local` run
// against them. They are not meant for production.
//
// The stand-ins record in a RunLog what ran where and when. Tests check the invariants of foldarch against
// this record and not against what foldarch reports about itself. For this reason the workers and endpoints
// accept work that exceeds their capacity and count it as a violation, where a real one would refuse it.
//
// Faults can be injected into running stand-ins: the store can be down or slow, lose answers to writes that
// took effect, or refuse calls above a rate; a worker can be killed, or leave.
//
// # Usage
//
//	workers := standin.UniformWorkers(halls, 4, capacity)
//	env, err := standin.StartEnvironment(standin.EnvironmentConfig{Workers: workers})
//	defer env.Close()
//	env.Store.SetFaults(standin.StoreFaults{Down: true})
//	violations := env.RunLog.Check().Violations
package standin
