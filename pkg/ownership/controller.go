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
const tickInterval = 50 * time.Millisecond

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
	RequestGrant func(ctx context.Context, successor Holder, shard cell.ShardID, request GrantRequest) (GrantReply, error)
	// HasEnded reports whether there is proof that a holder's process has ended.
	HasEnded func(ctx context.Context, holder Holder) bool
	// Peers lists the other processes of the hall that are alive and not about to stop.
	Peers func() []Peer
	// StoreUp reports whether the store has answered recently.
	StoreUp func() bool
	Log     *logrus.Entry
}

// Peer is a process that may become a successor.
type Peer struct {
	Holder
	LastHeard clock.Time
}

// Authority is the permission of a process to act on a shard, under an epoch and until a time.
type Authority struct {
	Epoch cell.Epoch
	Until clock.Time
}

// Controller runs the state machines of the shards of one hall.
type Controller struct {
	self   Holder
	timing Timing
	deps   Deps

	mu      sync.Mutex
	shards  map[cell.ShardID]*shardState
	leaving bool
	// suspects holds, by incarnation, the time at which a process was last found not to act as the
	// owner or successor that it is. A process that is heard from after that time is not suspected.
	suspects   map[string]clock.Time
	background sync.WaitGroup
}

// shardState is a state machine with what the controller knows about the shard and which actions it
// has under way.
type shardState struct {
	shard   cell.ShardID
	machine *StateMachine
	// authority is read for every request, without the controller's lock.
	authority  atomic.Pointer[Authority]
	lastRole   Role
	lastEpoch  cell.Epoch
	requesting bool
	probing    bool
	writing    bool
	storeRead  bool       // the store was read, so a shard without a known record has none
	freeSince  clock.Time // when the shard was found free; 0 if it was not
	// freeWriteID is the write id of the record under which the shard was found free.
	freeWriteID string
}

// NewController returns a controller for the given shards.
func NewController(self Holder, shards []cell.ShardID, terms Timing, deps Deps) *Controller {
	c := &Controller{self: self, timing: terms, deps: deps, shards: map[cell.ShardID]*shardState{}, suspects: map[string]clock.Time{}}
	for _, shard := range shards {
		s := &shardState{shard: shard, machine: NewStateMachine(self, terms)}
		s.authority.Store(&Authority{})
		c.shards[shard] = s
	}
	return c
}

// Run runs the state machines until ctx ends, and returns when all actions are done.
func (c *Controller) Run(ctx context.Context) {
	clock.Every(ctx, tickInterval, func() { c.Step(ctx) })
	c.background.Wait()
}

// Step examines every state machine once and starts the actions that are due.
func (c *Controller) Step(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.deps.Clock.Now()
	for _, s := range c.shards {
		if s.machine.Tick(now) {
			c.deps.Log.WithField("shard", s.shard).Warn("pause_noticed")
		}
		c.act(ctx, s, now)
		c.publish(s)
	}
}

// Authority returns the epoch of a shard, until when this process has authority over it, and
// whether it has authority now. It takes no lock and is meant to be called right before each send.
func (c *Controller) Authority(shard cell.ShardID) (cell.Epoch, clock.Time, bool) {
	s, ok := c.shards[shard]
	if !ok {
		return 0, 0, false
	}
	a := s.authority.Load()
	return a.Epoch, a.Until, c.deps.Clock.Now() < a.Until
}

// Records returns the newest known record of each shard of the hall.
func (c *Controller) Records() map[cell.ShardID]Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	records := make(map[cell.ShardID]Record, len(c.shards))
	for shard, s := range c.shards {
		records[shard], _ = s.machine.Record()
	}
	return records
}

// Record returns the newest known record of one shard.
func (c *Controller) Record(shard cell.ShardID) Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.shards[shard]
	if !ok {
		return Record{}
	}
	record, _ := s.machine.Record()
	return record
}

// Owned returns the shards that this process owns, with their epochs, including those over which it
// has no authority at the moment.
func (c *Controller) Owned() map[cell.ShardID]cell.Epoch {
	c.mu.Lock()
	defer c.mu.Unlock()
	owned := map[cell.ShardID]cell.Epoch{}
	for shard, s := range c.shards {
		if s.machine.Role() == RoleOwner {
			owned[shard] = s.machine.Epoch()
		}
	}
	return owned
}

// Observe processes a record that was read from the store.
func (c *Controller) Observe(shard cell.ShardID, record Record, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.shards[shard]
	if !ok {
		return
	}
	s.storeRead = true
	s.machine.Observe(record, revision, c.deps.Clock.Now())
	c.publish(s)
}

// MarkStoreRead tells the controller that all records in the store were read, so that a shard whose
// record is not known has none.
func (c *Controller) MarkStoreRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.shards {
		s.storeRead = true
	}
}

// Grant handles a grant request of an owner.
func (c *Controller) Grant(shard cell.ShardID, request GrantRequest) GrantReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.shards[shard]
	if !ok || c.leaving {
		return GrantReply{}
	}
	reply := s.machine.Grant(request, c.deps.Clock.Now())
	c.publish(s)
	return reply
}

// publish makes the current authority visible to Authority and logs a change of role or epoch.
func (c *Controller) publish(s *shardState) {
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
