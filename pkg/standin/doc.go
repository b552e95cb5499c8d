// Package standin holds small stand-ins for what lies outside of foldarch: the platform
// store with its host list, the workers, and the endpoints of services. Tests and the
// try-out cell run against them; nothing of it is for production.
//
// The stand-ins keep a Ledger of what ran where and when. The ledger is the judge of the
// tests: promises are checked against the back ends' own record, never against what
// foldarch says of itself. For that reason the workers and endpoints accept work beyond
// their capacity and count it as a violation, where a real one would refuse.
//
// Faults are switched on a running stand-in: the store can be down, slow, lose answers
// after the effect, or refuse by rate; a worker can die, or leave.
//
// # Usage
//
//	farm, err := standin.StartFarm(standin.FarmConfig{Workers: standin.Uniform(halls, 4, capacity)})
//	defer farm.Close()
//	farm.Store.SetFaults(standin.StoreFaults{Down: true})
//	violations := farm.Ledger.Judge()
package standin
