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
	hallHeartbeatInterval      = 1500 * time.Millisecond
	otherHallHeartbeatInterval = 4 * time.Second
	// peersPerOtherHall is the number of processes of each other hall with which a process
	// exchanges heartbeats per interval.
	peersPerOtherHall = 1
	aliveTimeout      = 5 * time.Second
	forgetAfter       = time.Minute
)

// OwnedShard is one shard that a member owns.
type OwnedShard struct {
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
	Owned          []OwnedShard

	LastHeard clock.Time
}

// Table holds the other processes by address. It is not safe for concurrent use.
type Table struct {
	self      Member
	rows      map[netip.AddrPort]*row
	nextIndex map[cell.Hall]int
}

type row struct {
	member       Member
	heardFrom    bool // a heartbeat has come
	seed         bool // from the settings; never removed
	lastExchange clock.Time
}

// New returns a table of the process self without other processes.
func New(self Member) *Table {
	return &Table{self: self, rows: map[netip.AddrPort]*row{}, nextIndex: map[cell.Hall]int{}}
}

// AddSeed adds an address from the process's own settings, which is never removed.
func (t *Table) AddSeed(address netip.AddrPort) {
	t.getOrCreate(address).seed = true
}

// AddListed adds an address from the platform's host list.
func (t *Table) AddListed(address netip.AddrPort, hall cell.Hall) {
	r := t.getOrCreate(address)
	if !r.heardFrom {
		r.member.Hall = hall
	}
}

func (t *Table) getOrCreate(address netip.AddrPort) *row {
	r, ok := t.rows[address]
	if !ok {
		r = &row{member: Member{Address: address}}
		t.rows[address] = r
	}
	return r
}

// Update stores what a member reports about itself in a heartbeat.
func (t *Table) Update(m Member, now clock.Time) {
	if m.Address == t.self.Address {
		return
	}
	r := t.getOrCreate(m.Address)
	m.LastHeard = now
	r.member, r.heardFrom, r.lastExchange = m, true, now
}

// DueHeartbeats returns the addresses with which to exchange a heartbeat now: all of the own hall
// whose interval has passed, and of each other hall peersPerOtherHall members in turn. It also
// removes the members that have not been heard from for forgetAfter.
func (t *Table) DueHeartbeats(now clock.Time) []netip.AddrPort {
	var due []netip.AddrPort
	otherHalls := map[cell.Hall][]*row{}
	for address, r := range t.rows {
		switch {
		case address == t.self.Address || t.forgetIfStale(address, r, now):
		case r.heardFrom && r.member.Hall != t.self.Hall:
			otherHalls[r.member.Hall] = append(otherHalls[r.member.Hall], r)
		case now.Sub(r.lastExchange) >= t.hallInterval(address) || r.lastExchange == 0:
			r.lastExchange = now
			due = append(due, address)
		}
	}
	for hall, rows := range otherHalls {
		due = append(due, t.dueInOtherHall(hall, rows, now)...)
	}
	slices.SortFunc(due, func(a, b netip.AddrPort) int { return a.Compare(b) })
	return due
}

// hallInterval is how often this process starts an exchange with another process of its hall. An
// exchange informs both sides, so the process with the lower address starts it, and the other one
// only if the first is late.
func (t *Table) hallInterval(address netip.AddrPort) time.Duration {
	if t.self.Address.Compare(address) < 0 {
		return hallHeartbeatInterval
	}
	return 2 * hallHeartbeatInterval
}

func (t *Table) dueInOtherHall(hall cell.Hall, rows []*row, now clock.Time) []netip.AddrPort {
	slices.SortFunc(rows, func(a, b *row) int { return a.member.Address.Compare(b.member.Address) })
	latest := slices.MaxFunc(rows, func(a, b *row) int { return cmp.Compare(a.lastExchange, b.lastExchange) })
	if now.Sub(latest.lastExchange) < otherHallHeartbeatInterval {
		return nil
	}
	var due []netip.AddrPort
	for range min(peersPerOtherHall, len(rows)) {
		r := rows[t.nextIndex[hall]%len(rows)]
		t.nextIndex[hall]++
		r.lastExchange = now
		due = append(due, r.member.Address)
	}
	return due
}

func (t *Table) forgetIfStale(address netip.AddrPort, r *row, now clock.Time) bool {
	if r.seed || !r.heardFrom || now.Sub(r.member.LastHeard) < forgetAfter {
		return false
	}
	delete(t.rows, address)
	return true
}

// Alive returns the members of a hall that were heard from within aliveTimeout, ordered by id.
func (t *Table) Alive(hall cell.Hall, now clock.Time) []Member {
	var alive []Member
	for _, r := range t.rows {
		if r.heardFrom && r.member.Hall == hall && now.Sub(r.member.LastHeard) < aliveTimeout {
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
		if r.heardFrom {
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
	if !ok || !r.heardFrom {
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
