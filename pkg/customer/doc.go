// Package customer has the customers of a deployment: who they are by their keys, what a call may do, and how much each
// may have running.
//
// A Directory is one version of the customers, read only once it is made. It keeps no key, only digests. Decide
// is the table of who may do what; it depends on nothing but its argument. A Rate tells which jobs of a customer
// are beyond its weight.
//
// # Usage
//
//	d, faults := customer.NewDirectory([]customer.Entry{{Customer: customer.Customer{Name: "north"}, Keys: []string{key}}})
//	c, ok := d.ByKey(key)
//	ruling := customer.Decide(customer.Call{QueueKnown: true, Key: customer.KeyKnown, Age: age, Terms: terms})
//	if ruling.Verdict != customer.Admitted {
//		// answer with ruling.Verdict, log ruling.Reason
//	}
package customer
