package ownership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"github.com/sirupsen/logrus"
)

// tickEvery is how often a keeper looks at its machines.
const tickEvery = 50 * time.Millisecond

// Deps are what a keeper needs of the world, as functions so that tests can stand in.
type Deps struct {
	Clock clock.Clock
	// Swap writes a record if the revision stands; errors as of store.Swap.
	Swap func(ctx context.Context, shard cell.ShardID, record string, expect int64) (int64, error)
	// Read returns the record that stands in the store, with revision 0 for none.
	Read func(ctx context.Context, shard cell.ShardID) (Record, int64, error)
	// Ask asks a successor for a grant.
	Ask func(ctx context.Context, successor Holder, shard cell.ShardID, ask Ask) (Reply, error)
	// Ended says whether there is proof that a holder's process has ended.
	Ended func(ctx context.Context, holder Holder) bool
	// Peers lists the other processes of the hall that are alive and stay.
	Peers func() []Peer
	// StoreUp says whether the store answered lately.
	StoreUp func() bool
	Log     *logrus.Entry
}

// Peer is a process that may become a successor, and when it was last heard of.
type Peer struct {
	Holder
	Heard clock.Time
}

// Authority is what a process may do at a shard.
type Authority struct {
	Epoch cell.Epoch
	Until clock.Time
}

// Keeper drives the machines of the shards of one hall.
type Keeper struct {
	self  Holder
	terms Terms
	deps  Deps

	mu       sync.Mutex
	machines map[cell.ShardID]*shardKeeper
	leaving  bool
	// suspects are processes that did not do their part as owner or successor, by
	// incarnation, and since when. One that is heard of again is no suspect.
	suspects map[string]clock.Time
	duties   sync.WaitGroup
}

// shardKeeper is a machine with what its driver remembers of it.
type shardKeeper struct {
	shard   cell.ShardID
	machine *Machine
	// authority is read for each request, without the keeper's lock.
	authority atomic.Pointer[Authority]
	lastRole  Role
	lastEpoch cell.Epoch
	asking    bool
	probing   bool
	writing   bool
	seen      bool       // the store was read, so that an absent record is known to be absent
	claimable clock.Time // since when the shard has looked free, 0 when it does not
	// freeRecord is the write id of the record under which the shard looked free.
	freeRecord string
}

// NewKeeper returns a keeper for the given shards.
func NewKeeper(self Holder, shards []cell.ShardID, terms Terms, deps Deps) *Keeper {
	k := &Keeper{self: self, terms: terms, deps: deps, machines: map[cell.ShardID]*shardKeeper{}, suspects: map[string]clock.Time{}}
	for _, shard := range shards {
		s := &shardKeeper{shard: shard, machine: NewMachine(self, terms)}
		s.authority.Store(&Authority{})
		k.machines[shard] = s
	}
	return k
}

// Run drives the machines until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	clock.Every(ctx, tickEvery, func() { k.Step(ctx) })
	k.duties.Wait()
}

// Step looks at every machine once and starts what is due.
func (k *Keeper) Step(ctx context.Context) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.deps.Clock.Now()
	for _, s := range k.machines {
		if s.machine.Tick(now) {
			k.deps.Log.WithField("shard", s.shard).Warn("pause_noticed")
		}
		k.act(ctx, s, now)
		k.publish(s)
	}
}

// Authority returns the epoch of a shard and until when this process may act on it. It
// takes no lock and is meant to be called right before each send.
func (k *Keeper) Authority(shard cell.ShardID) (cell.Epoch, clock.Time, bool) {
	s, ok := k.machines[shard]
	if !ok {
		return 0, 0, false
	}
	a := s.authority.Load()
	return a.Epoch, a.Until, k.deps.Clock.Now() < a.Until
}

// Records returns the newest record known of each shard of the hall.
func (k *Keeper) Records() map[cell.ShardID]Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	records := make(map[cell.ShardID]Record, len(k.machines))
	for shard, s := range k.machines {
		records[shard], _ = s.machine.Record()
	}
	return records
}

// Record returns the newest record known of one shard.
func (k *Keeper) Record(shard cell.ShardID) Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.machines[shard]
	if !ok {
		return Record{}
	}
	record, _ := s.machine.Record()
	return record
}

// Owned lists the shards that this process owns, with their epochs, whether or not its
// authority is renewed at this moment.
func (k *Keeper) Owned() map[cell.ShardID]cell.Epoch {
	k.mu.Lock()
	defer k.mu.Unlock()
	owned := map[cell.ShardID]cell.Epoch{}
	for shard, s := range k.machines {
		if s.machine.Role() == Owner {
			owned[shard] = s.machine.Epoch()
		}
	}
	return owned
}

// Observe takes in a record that was read from the store.
func (k *Keeper) Observe(shard cell.ShardID, record Record, revision int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.machines[shard]
	if !ok {
		return
	}
	s.seen = true
	s.machine.Observe(record, revision, k.deps.Clock.Now())
	k.publish(s)
}

// StoreSeen says that the store was read whole, so that shards without a record have none.
func (k *Keeper) StoreSeen() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.machines {
		s.seen = true
	}
}

// Grant answers an owner that asks this process for a grant.
func (k *Keeper) Grant(shard cell.ShardID, ask Ask) Reply {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.machines[shard]
	if !ok || k.leaving {
		return Reply{}
	}
	reply := s.machine.Grant(ask, k.deps.Clock.Now())
	k.publish(s)
	return reply
}

// publish makes the authority visible to requests and logs a change of role.
func (k *Keeper) publish(s *shardKeeper) {
	m := s.machine
	s.authority.Store(&Authority{Epoch: m.Epoch(), Until: m.AuthorityUntil()})
	if m.Role() == s.lastRole && m.Epoch() == s.lastEpoch {
		return
	}
	record, _ := m.Record()
	k.deps.Log.WithFields(logrus.Fields{
		"shard": s.shard, "epoch": m.Epoch(), "role": m.Role(), "was": s.lastRole,
		"owner": record.Owner.ID, "successor": record.Successor.ID, "recorded": !m.Unrecorded(),
	}).Info("ownership")
	s.lastRole, s.lastEpoch = m.Role(), m.Epoch()
}
