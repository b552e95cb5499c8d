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

// The intervals and limits of the exchange of heartbeats.
const (
	beatInHall  = 1500 * time.Millisecond
	beatOutside = 4 * time.Second
	// peersPerOtherHall is the number of processes of each other hall with which a process
	// exchanges heartbeats per interval.
	outsideEach = 1
	aliveFor    = 5 * time.Second
	forgetAfter = time.Minute
)

// OwnedShard is one shard that a member owns.
type Owned struct {
	Shard cell.ShardID
	Epoch cell.Epoch
	Loads map[string]routing.Load
}

// Member is one process, as it describes itself.
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
	known     bool // a heartbeat has come
	seed      bool // from the settings; never removed
	exchanged clock.Time
}

// New returns a table of the process self without other processes.
func New(self Member) *Table {
	return &Table{self: self, rows: map[netip.AddrPort]*row{}, turns: map[cell.Hall]int{}}
}

// AddSeed adds an address from the process's own settings, which is never removed.
func (t *Table) AddSeed(address netip.AddrPort) {
	t.at(address).seed = true
}

// AddListed adds an address from the platform's host list.
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

// Update stores what a member reports about itself in a heartbeat.
func (t *Table) Heard(m Member, now clock.Time) {
	if m.Address == t.self.Address {
		return
	}
	r := t.at(m.Address)
	m.Heard = now
	r.member, r.known, r.exchanged = m, true, now
}

// DueHeartbeats returns the addresses with which to exchange a heartbeat now: all of the own hall
// whose interval has passed, and of each other hall peersPerOtherHall members in turn. It also
// removes the members that have not been heard from for forgetAfter.
func (t *Table) Due(now clock.Time) []netip.AddrPort {
	var due []netip.AddrPort
	otherHalls := map[cell.Hall][]*row{}
	for address, r := range t.rows {
		switch {
		case address == t.self.Address || t.forget(address, r, now):
		case r.known && r.member.Hall != t.self.Hall:
			otherHalls[r.member.Hall] = append(otherHalls[r.member.Hall], r)
		case now.Sub(r.exchanged) >= t.interval(address) || r.exchanged == 0:
			r.exchanged = now
			due = append(due, address)
		}
	}
	for hall, rows := range otherHalls {
		due = append(due, t.dueOutside(hall, rows, now)...)
	}
	slices.SortFunc(due, func(a, b netip.AddrPort) int { return a.Compare(b) })
	return due
}

// hallInterval is how often this process starts an exchange with another process of its hall. An
// exchange informs both sides, so the process with the lower address starts it, and the other one
// only if the first is late.
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

// Alive returns the members of a hall that were heard from within aliveTimeout, ordered by id.
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

// All returns every member that has sent a heartbeat, ordered by id.
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

// Addresses returns all known addresses, including those from which no heartbeat has come.
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

// Incarnation returns the incarnation that was last reported from an address.
func (t *Table) Incarnation(address netip.AddrPort) (string, bool) {
	r, ok := t.rows[address]
	if !ok || !r.known {
		return "", false
	}
	return r.member.Incarnation, true
}

// OwnerOf returns the member that reported the highest epoch for a shard, and that epoch.
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

// LoadOf returns the load of a service in a shard, as the owner reported it last.
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
