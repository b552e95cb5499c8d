package customer

import (
	"crypto/rand"
	"crypto/sha256"
	"fmt"

	"foldarch.dev/foldarch/pkg/cell"
)

// Customer is one customer, as a configuration has it. A job's record keeps it as it was when the job was accepted.
type Customer struct {
	Name string `json:"name,omitempty"`
	// Weight is the customer's share when all is full, in jobs a second.
	Weight float64 `json:"weight,omitempty"`
	// Quota is what it may have running on all workers together; 0 of a kind is no limit.
	Quota cell.Resources `json:"quota,omitzero"`
}

// Entry is a customer with the keys that its callers send.
type Entry struct {
	Customer
	Keys []string
}

// digest stands for a key. It is salted, so that it tells nothing outside the process, and half of the hash, so that an entry of
// the index is small: two of a million keys are alike with a probability of 10^-27.
type digest [sha256.Size / 2]byte

// saltBytes is the length of the salt of a directory's digests.
const saltBytes = 16

// Directory is one version of the customers. It must not be changed.
type Directory struct {
	salt   [saltBytes]byte
	byKey  map[digest]*Customer
	byName map[string]*Customer
	names  []string
}

// NewDirectory returns a directory of customers. Faults tell what of the entries was left out and why, without a key:
//
//   - a customer without a name, or with the name of an earlier one;
//   - a key that is empty, or that an earlier customer has: that one keeps it.
//
// A negative weight or quota counts as 0 and is told, too.
func NewDirectory(entries []Entry) (d *Directory, faults []string) {
	d = &Directory{byKey: map[digest]*Customer{}, byName: map[string]*Customer{}}
	_, _ = rand.Read(d.salt[:]) // does not fail (package crypto/rand)
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	for n, e := range entries {
		c := e.Customer
		switch {
		case c.Name == "":
			fault("customer %d has no name", n)
			continue
		case d.byName[c.Name] != nil:
			fault("customer %s stands twice", c.Name)
			continue
		}
		if c.Weight < 0 {
			fault("customer %s has the weight %g", c.Name, c.Weight)
			c.Weight = 0
		}
		if least := min(c.Quota.CPUMillis, c.Quota.MemoryMB, c.Quota.Accelerators); least < 0 {
			fault("customer %s has a negative quota: %s", c.Name, c.Quota)
			c.Quota = c.Quota.Max(cell.Resources{})
		}
		d.byName[c.Name] = &c
		d.names = append(d.names, c.Name)
		for i, key := range e.Keys {
			d.addKey(&c, i, key, fault)
		}
	}
	return d, faults
}

func (d *Directory) addKey(c *Customer, number int, key string, fault func(string, ...any)) {
	x := d.digestOf(key)
	switch owner := d.byKey[x]; {
	case key == "":
		fault("key %d of customer %s is empty", number, c.Name)
	case owner != nil && owner != c:
		fault("key %d of customer %s is one of customer %s", number, c.Name, owner.Name)
	default:
		d.byKey[x] = c
	}
}

// ByKey returns the customer that holds a key. The time it takes tells nothing of the keys.
func (d *Directory) ByKey(key string) (*Customer, bool) {
	c, ok := d.byKey[d.digestOf(key)]
	return c, ok && key != ""
}

// ByName returns the customer of a name.
func (d *Directory) ByName(name string) (*Customer, bool) {
	c, ok := d.byName[name]
	return c, ok
}

// Names lists the customers in the order of the configuration; none without a directory.
func (d *Directory) Names() []string {
	if d == nil {
		return nil
	}
	return d.names
}

// usualKey is up to how long a key is looked up without an allocation.
const usualKey = 112

func (d *Directory) digestOf(key string) digest {
	var buffer [saltBytes + usualKey]byte
	text := append(buffer[:0], d.salt[:]...)
	text = append(text, key...)
	sum := sha256.Sum256(text)
	return digest(sum[:len(digest{})])
}

// Allows says whether a customer may have an amount running.
func (c Customer) Allows(running cell.Resources) bool {
	within := func(amount, limit int64) bool { return limit == 0 || amount <= limit }
	return within(running.CPUMillis, c.Quota.CPUMillis) && within(running.MemoryMB, c.Quota.MemoryMB) &&
		within(running.Accelerators, c.Quota.Accelerators)
}
