// Package customer defines the customers of a deployment: how their keys identify them, what a call may
// do, and how much each customer may have running.
//
// A Directory is one version of the customers and does not change once it is built. It stores digests
// instead of keys. Decide implements the access rules; it depends only on its argument. A Rate determines
// which jobs of a customer exceed its weight.
//
// # Usage
//
//	north := customer.Customer{Name: "north"}
//	d, faults := customer.NewDirectory([]customer.Entry{{Customer: north, Keys: []string{key}}})
//	c, ok := d.ByKey(key)
//	call := customer.Call{QueueKnown: true, Key: customer.KeyKnown, ConfigAge: age, AccessSettings: settings}
//	decision := customer.Decide(call)
//	if decision.Verdict != customer.Admitted {
//		// answer with decision.Verdict, log decision.Reason
//	}
package customer
