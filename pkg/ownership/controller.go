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

// tickInterval is how often a controller examines its state machines.
const tickEvery = 50 * time.Millisecond

// Deps are a controller's connections to the store, the other processes and the clock. They are
// functions, so that tests can replace them.
type Deps struct {
	Clock clock.Clock
	// Swap writes a record if the store still has the expected revision. Its errors are those of
	// store.Swap.
	Swap func(ctx context.Context, shard cell.ShardID, record string, expect int64) (int64, error)
	// Read returns the record in the store; revision 0 means that there is none.
	Read func(ctx context.Context, shard cell.ShardID) (Record, int64, error)
	// RequestGrant sends a grant request to a successor and returns its reply.
	Ask func(ctx context.Context, successor Holder, shard cell.ShardID, request Ask) (Reply, error)
	// HasEnded reports whether there is proof that a holder's process has ended.
	Ended func(ctx context.Context, holder Holder) bool
	// Peers lists the other processes of the hall that are alive and not about to stop.
	Peers func() []Peer
	// StoreUp reports whether the store has answered recently.
	StoreUp func() bool
	Log     *logrus.Entry
}

// Peer is a process that may become a successor.
type Peer struct {
	Holder
	Heard clock.Time
}

// Authority is the permission of a process to act on a shard, under an epoch and until a time.
type Authority struct {
	Epoch cell.Epoch
	Until clock.Time
}

// Controller runs the state machines of the shards of one hall.
type Keeper struct {
	self  Holder
	terms Terms
	deps  Deps

	mu       sync.Mutex
	machines map[cell.ShardID]*shardKeeper
	leaving  bool
	// suspects holds, by incarnation, the time at which a process was last found not to act as the
	// owner or successor that it is. A process that is heard from after that time is not suspected.
	suspects map[string]clock.Time
	duties   sync.WaitGroup
}

// shardState is a state machine with what the controller knows about the shard and which actions it
// has under way.
type shardKeeper struct {
	shard   cell.ShardID
	machine *Machine
	// authority is read for every request, without the controller's lock.
	authority atomic.Pointer[Authority]
	lastRole  Role
	lastEpoch cell.Epoch
	asking    bool
	probing   bool
	writing   bool
	seen      bool       // the store was read, so a shard without a known record has none
	claimable clock.Time // when the shard was found free; 0 if it was not
	// freeWriteID is the write id of the record under which the shard was found free.
	freeRecord string
}

// NewController returns a controller for the given shards.
func NewKeeper(self Holder, shards []cell.ShardID, terms Terms, deps Deps) *Keeper {
	c := &Keeper{self: self, terms: terms, deps: deps, machines: map[cell.ShardID]*shardKeeper{}, suspects: map[string]clock.Time{}}
	for _, shard := range shards {
		s := &shardKeeper{shard: shard, machine: NewMachine(self, terms)}
		s.authority.Store(&Authority{})
		c.machines[shard] = s
	}
	return c
}

// Run runs the state machines until ctx ends, and returns when all actions are done.
func (c *Keeper) Run(ctx context.Context) {
	clock.Every(ctx, tickEvery, func() { c.Step(ctx) })
	c.duties.Wait()
}

// Step examines every state machine once and starts the actions that are due.
func (c *Keeper) Step(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.deps.Clock.Now()
	for _, s := range c.machines {
		if s.machine.Tick(now) {
			c.deps.Log.WithField("shard", s.shard).Warn("pause_noticed")
		}
		c.act(ctx, s, now)
		c.publish(s)
	}
}

// Authority returns the epoch of a shard, until when this process has authority over it, and
// whether it has authority now. It takes no lock and is meant to be called right before each send.
func (c *Keeper) Authority(shard cell.ShardID) (cell.Epoch, clock.Time, bool) {
	s, ok := c.machines[shard]
	if !ok {
		return 0, 0, false
	}
	a := s.authority.Load()
	return a.Epoch, a.Until, c.deps.Clock.Now() < a.Until
}

// Records returns the newest known record of each shard of the hall.
func (c *Keeper) Records() map[cell.ShardID]Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	records := make(map[cell.ShardID]Record, len(c.machines))
	for shard, s := range c.machines {
		records[shard], _ = s.machine.Record()
	}
	return records
}

// Record returns the newest known record of one shard.
func (c *Keeper) Record(shard cell.ShardID) Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.machines[shard]
	if !ok {
		return Record{}
	}
	record, _ := s.machine.Record()
	return record
}

// Owned returns the shards that this process owns, with their epochs, including those over which it
// has no authority at the moment.
func (c *Keeper) Owned() map[cell.ShardID]cell.Epoch {
	c.mu.Lock()
	defer c.mu.Unlock()
	owned := map[cell.ShardID]cell.Epoch{}
	for shard, s := range c.machines {
		if s.machine.Role() == Owner {
			owned[shard] = s.machine.Epoch()
		}
	}
	return owned
}

// Observe processes a record that was read from the store.
func (c *Keeper) Observe(shard cell.ShardID, record Record, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.machines[shard]
	if !ok {
		return
	}
	s.seen = true
	s.machine.Observe(record, revision, c.deps.Clock.Now())
	c.publish(s)
}

// MarkStoreRead tells the controller that all records in the store were read, so that a shard whose
// record is not known has none.
func (c *Keeper) StoreSeen() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.machines {
		s.seen = true
	}
}

// Grant handles a grant request of an owner.
func (c *Keeper) Grant(shard cell.ShardID, request Ask) Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.machines[shard]
	if !ok || c.leaving {
		return Reply{}
	}
	reply := s.machine.Grant(request, c.deps.Clock.Now())
	c.publish(s)
	return reply
}

// publish makes the current authority visible to Authority and logs a change of role or epoch.
func (c *Keeper) publish(s *shardKeeper) {
	m := s.machine
	s.authority.Store(&Authority{Epoch: m.Epoch(), Until: m.AuthorityUntil()})
	if m.Role() == s.lastRole && m.Epoch() == s.lastEpoch {
		return
	}
	record, _ := m.Record()
	c.deps.Log.WithFields(logrus.Fields{
		"shard": s.shard, "epoch": m.Epoch(), "role": m.Role(), "was": s.lastRole,
		"owner": record.Owner.ID, "successor": record.Successor.ID, "recorded": !m.Unrecorded(),
	}).Info("ownership")
	s.lastRole, s.lastEpoch = m.Role(), m.Epoch()
}
