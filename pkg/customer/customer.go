package customer

import (
	"crypto/rand"
	"crypto/sha256"
	"fmt"

	"foldarch.dev/foldarch/pkg/cell"
)

// Customer is the configuration of one customer. A job's record keeps the customer as configured when the
// job was accepted.
type Customer struct {
	Name string `json:"name,omitempty"`
	// Weight is the customer's share of a fully used pool, in jobs a second.
	Weight float64 `json:"weight,omitempty"`
	// Quota is the maximum that the customer may have running on all workers together; 0 means no limit
	// for that resource.
	Quota cell.Resources `json:"quota,omitzero"`
}

// Entry is a customer with its keys.
type Entry struct {
	Customer
	Keys []string
}

// digest represents a key. It is salted, so that it reveals nothing outside the process. It is half of
// the hash, to keep the index small: the probability that two of a million keys have the same digest is
// 10^-27.
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

// NewDirectory returns a directory of customers. faults describe which parts of the entries were ignored
// and why, without revealing a key:
//
//   - a customer without a name, or with the name of an earlier customer;
//   - an empty key, or the key of an earlier customer, who keeps it.
//
// A negative weight or quota is reported, too, and counts as 0.
func NewDirectory(entries []Entry) (d *Directory, faults []string) {
	d = &Directory{byKey: map[digest]*Customer{}, byName: map[string]*Customer{}}
	_, _ = rand.Read(d.salt[:]) // never fails (package crypto/rand)
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	for n, e := range entries {
		c := e.Customer
		switch {
		case c.Name == "":
			fault("customer %d has no name", n)
			continue
		case d.byName[c.Name] != nil:
			fault("customer %s is defined twice", c.Name)
			continue
		}
		if c.Weight < 0 {
			fault("customer %s has the negative weight %g", c.Name, c.Weight)
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

func (d *Directory) addKey(c *Customer, index int, key string, fault func(string, ...any)) {
	keyDigest := d.digestOf(key)
	switch owner := d.byKey[keyDigest]; {
	case key == "":
		fault("key %d of customer %s is empty", index, c.Name)
	case owner != nil && owner != c:
		fault("key %d of customer %s belongs to customer %s", index, c.Name, owner.Name)
	default:
		d.byKey[keyDigest] = c
	}
}

// ByKey returns the customer with a key. The duration of the lookup reveals nothing about the keys.
func (d *Directory) ByKey(key string) (*Customer, bool) {
	c, ok := d.byKey[d.digestOf(key)]
	return c, ok && key != ""
}

// ByName returns the customer with a name.
func (d *Directory) ByName(name string) (*Customer, bool) {
	c, ok := d.byName[name]
	return c, ok
}

// Names lists the customers in the order of the configuration; nil without a directory.
func (d *Directory) Names() []string {
	if d == nil {
		return nil
	}
	return d.names
}

// maxStackKeyBytes is the length up to which a key is looked up without an allocation.
const maxStackKeyBytes = 112

func (d *Directory) digestOf(key string) digest {
	var buffer [saltBytes + maxStackKeyBytes]byte
	text := append(buffer[:0], d.salt[:]...)
	text = append(text, key...)
	sum := sha256.Sum256(text)
	return digest(sum[:len(digest{})])
}

// WithinQuota reports whether the quota allows the customer to have an amount running.
func (c Customer) WithinQuota(running cell.Resources) bool {
	within := func(amount, limit int64) bool { return limit == 0 || amount <= limit }
	return within(running.CPUMillis, c.Quota.CPUMillis) && within(running.MemoryMB, c.Quota.MemoryMB) &&
		within(running.Accelerators, c.Quota.Accelerators)
}
