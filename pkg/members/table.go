package members

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/routing"
)

// The times of membership.
const (
	beatInHall  = 1500 * time.Millisecond
	beatOutside = 4 * time.Second
	// outsideEach is how many processes of each other hall a process exchanges beats with.
	outsideEach = 1
	aliveFor    = 5 * time.Second
	forgetAfter = time.Minute
)

// Owned is one shard that a member has authority over.
type Owned struct {
	Shard cell.ShardID
	Epoch cell.Epoch
	Loads map[string]routing.Load
}

// Member is one process as it describes itself.
type Member struct {
	ID             string
	Incarnation    string
	Hall           cell.Hall
	Address        netip.AddrPort
	CallersAddress netip.AddrPort
	Revision       int64 // of the settings in force
	Draining       bool
	Owned          []Owned

	Heard clock.Time
}

// Table holds the other processes by address. It is not safe for concurrent use.
type Table struct {
	self  Member
	rows  map[netip.AddrPort]*row
	turns map[cell.Hall]int
}

type row struct {
	member    Member
	known     bool // a beat has come
	seed      bool // never forgotten
	exchanged clock.Time
}

// New returns a table for the process self.
func New(self Member) *Table {
	return &Table{self: self, rows: map[netip.AddrPort]*row{}, turns: map[cell.Hall]int{}}
}

// AddSeed adds an address from the process's own settings.
func (t *Table) AddSeed(address netip.AddrPort) {
	t.at(address).seed = true
}

// AddListed adds an address that the platform's host list names.
func (t *Table) AddListed(address netip.AddrPort, hall cell.Hall) {
	r := t.at(address)
	if !r.known {
		r.member.Hall = hall
	}
}

func (t *Table) at(address netip.AddrPort) *row {
	r, ok := t.rows[address]
	if !ok {
		r = &row{member: Member{Address: address}}
		t.rows[address] = r
	}
	return r
}

// Heard takes in what a member says of itself.
func (t *Table) Heard(m Member, now clock.Time) {
	if m.Address == t.self.Address {
		return
	}
	r := t.at(m.Address)
	m.Heard = now
	r.member, r.known, r.exchanged = m, true, now
}

// Due lists the addresses with which to exchange a beat now: all of the own hall, and of
// each other hall a few, in turn.
func (t *Table) Due(now clock.Time) []netip.AddrPort {
	var due []netip.AddrPort
	outside := map[cell.Hall][]*row{}
	for address, r := range t.rows {
		switch {
		case address == t.self.Address || t.forget(address, r, now):
		case r.known && r.member.Hall != t.self.Hall:
			outside[r.member.Hall] = append(outside[r.member.Hall], r)
		case now.Sub(r.exchanged) >= t.interval(address) || r.exchanged == 0:
			r.exchanged = now
			due = append(due, address)
		}
	}
	for hall, rows := range outside {
		due = append(due, t.dueOutside(hall, rows, now)...)
	}
	slices.SortFunc(due, func(a, b netip.AddrPort) int { return a.Compare(b) })
	return due
}

// interval is how often this process begins an exchange with another of its hall. An
// exchange tells both sides all, so the one with the lower address begins it, and the
// other only when that one is late.
func (t *Table) interval(address netip.AddrPort) time.Duration {
	if t.self.Address.Compare(address) < 0 {
		return beatInHall
	}
	return 2 * beatInHall
}

func (t *Table) dueOutside(hall cell.Hall, rows []*row, now clock.Time) []netip.AddrPort {
	slices.SortFunc(rows, func(a, b *row) int { return a.member.Address.Compare(b.member.Address) })
	latest := slices.MaxFunc(rows, func(a, b *row) int { return cmp.Compare(a.exchanged, b.exchanged) })
	if now.Sub(latest.exchanged) < beatOutside {
		return nil
	}
	var due []netip.AddrPort
	for range min(outsideEach, len(rows)) {
		r := rows[t.turns[hall]%len(rows)]
		t.turns[hall]++
		r.exchanged = now
		due = append(due, r.member.Address)
	}
	return due
}

func (t *Table) forget(address netip.AddrPort, r *row, now clock.Time) bool {
	if r.seed || !r.known || now.Sub(r.member.Heard) < forgetAfter {
		return false
	}
	delete(t.rows, address)
	return true
}

// Alive lists the members of a hall that were heard of lately, by id.
func (t *Table) Alive(hall cell.Hall, now clock.Time) []Member {
	var alive []Member
	for _, r := range t.rows {
		if r.known && r.member.Hall == hall && now.Sub(r.member.Heard) < aliveFor {
			alive = append(alive, r.member)
		}
	}
	slices.SortFunc(alive, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return alive
}

// All lists every member of which a beat has come, by id.
func (t *Table) All() []Member {
	var all []Member
	for _, r := range t.rows {
		if r.known {
			all = append(all, r.member)
		}
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Addresses lists every address known, heard of or not.
func (t *Table) Addresses() []netip.AddrPort {
	var all []netip.AddrPort
	for address := range t.rows {
		if address != t.self.Address {
			all = append(all, address)
		}
	}
	slices.SortFunc(all, func(a, b netip.AddrPort) int { return a.Compare(b) })
	return all
}

// Incarnation returns the incarnation that was last heard at an address.
func (t *Table) Incarnation(address netip.AddrPort) (string, bool) {
	r, ok := t.rows[address]
	if !ok || !r.known {
		return "", false
	}
	return r.member.Incarnation, true
}

// OwnerOf returns the member that was heard to own a shard at the highest epoch.
func (t *Table) OwnerOf(shard cell.ShardID) (Member, cell.Epoch, bool) {
	var best Member
	var epoch cell.Epoch
	for _, r := range t.rows {
		for _, o := range r.member.Owned {
			if o.Shard == shard && o.Epoch > epoch {
				best, epoch = r.member, o.Epoch
			}
		}
	}
	return best, epoch, epoch > 0
}

// LoadOf returns the load of a service in a shard, as its owner told it last.
func (t *Table) LoadOf(shard cell.ShardID, service string) (routing.Load, bool) {
	m, epoch, ok := t.OwnerOf(shard)
	if !ok {
		return routing.Load{}, false
	}
	for _, o := range m.Owned {
		if o.Shard == shard && o.Epoch == epoch {
			l, has := o.Loads[service]
			return l, has
		}
	}
	return routing.Load{}, false
}
