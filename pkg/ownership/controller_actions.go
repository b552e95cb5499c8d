package ownership

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/store"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

const (
	// claimStagger is the delay between the claims of two processes of consecutive rank, so that
	// the processes of a hall don't claim the same shard at once.
	claimStagger = 400 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
)

// act starts the actions that are due for one shard. No two actions of a kind run at a time.
func (c *Controller) act(ctx context.Context, s *shardState, now clock.Time) {
	switch s.machine.Role() {
	case RoleOwner:
		c.actAsOwner(ctx, s, now)
	case RoleSuccessor:
		c.actAsSuccessor(ctx, s, now)
	case RoleBystander:
		c.actAsBystander(ctx, s, now)
	}
}

func (c *Controller) actAsOwner(ctx context.Context, s *shardState, now clock.Time) {
	m := s.machine
	if !s.requesting {
		if ask, due := m.NextGrantRequest(now); due {
			s.requesting = true
			c.background.Go(func() { c.requestGrant(ctx, s, ask) })
		}
	}
	if m.NeedsConfirmation() && !s.probing {
		s.probing = true
		c.background.Go(func() { c.confirmRecord(ctx, s) })
	}
	if s.writing || !c.deps.StoreUp() {
		return
	}
	switch {
	case m.Unrecorded() && !m.WritePending():
		// The write names no successor, since a sole owner keeps its authority while such a write
		// is pending.
		c.beginWrite(ctx, s, WriteUnrecordedEpoch, Holder{}, now)
	case m.NeedsSuccessor(now):
		c.replaceSuccessor(ctx, s, now)
	}
}

// replaceSuccessor makes the best peer the successor, or none if there is no peer, unless it is the
// successor already.
func (c *Controller) replaceSuccessor(ctx context.Context, s *shardState, now clock.Time) {
	record, _ := s.machine.Record()
	if next := c.chooseSuccessor(s.shard); next.Incarnation != record.Successor.Incarnation {
		c.beginWrite(ctx, s, WriteSuccessor, next, now)
	}
}

func (c *Controller) actAsSuccessor(ctx context.Context, s *shardState, now clock.Time) {
	m := s.machine
	if m.RequestOverdue(now) && !s.probing {
		s.probing = true
		c.background.Go(func() { c.probeOwner(ctx, s) })
	}
	if m.GrantExpired(now) && !s.writing && !c.leaving && c.deps.StoreUp() {
		c.suspectOwner(m, now)
		c.beginWrite(ctx, s, WriteClaim, c.chooseSuccessor(s.shard), now)
	}
}

// actAsBystander claims a shard over which no process can have authority.
func (c *Controller) actAsBystander(ctx context.Context, s *shardState, now clock.Time) {
	if c.leaving || !s.storeRead || s.probing || s.writing || !c.deps.StoreUp() {
		return
	}
	record, _ := s.machine.Record()
	if c.isAlive(record.Owner) {
		s.freeSince = 0
		return // the owner is alive, and a check would cost a round trip
	}
	// That the shard was free under one record proves nothing for the next record, whose owner may
	// be alive.
	if s.freeSince == 0 || record.WriteID != s.freeWriteID {
		s.freeSince = 0
		s.probing = true
		c.background.Go(func() { c.probeHolders(ctx, s) })
		return
	}
	if now >= s.freeSince.Add(time.Duration(c.claimRank(s.shard))*claimStagger) {
		s.freeSince = 0
		c.beginWrite(ctx, s, WriteClaim, c.chooseSuccessor(s.shard), now)
	}
}

func (c *Controller) requestGrant(ctx context.Context, s *shardState, ask GrantRequest) {
	ctx, cancel := context.WithTimeout(ctx, 2*c.timing.RequestInterval)
	defer cancel()
	reply, err := c.deps.RequestGrant(ctx, ask.Record.Successor, s.shard, ask)
	dead := err != nil && c.deps.HasEnded(ctx, ask.Record.Successor)
	c.mu.Lock()
	defer c.mu.Unlock()
	s.requesting = false
	if err != nil {
		c.suspects[ask.Record.Successor.Incarnation] = c.deps.Clock.Now()
	}
	switch {
	case err == nil:
		s.machine.HandleGrantReply(ask, reply)
	case dead:
		if record, _ := s.machine.Record(); record.WriteID == ask.Record.WriteID {
			s.machine.ReportSuccessorEnded(c.deps.Clock.Now())
		}
	}
	c.publish(s)
}

// confirmRecord reads the record again for a sole owner that was paused.
func (c *Controller) confirmRecord(ctx context.Context, s *shardState) {
	record, revision, err := c.deps.Read(ctx, s.shard)
	if err != nil {
		_ = store.Backoff(ctx, 1)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.probing = false
	if err == nil && s.machine.NeedsConfirmation() {
		s.machine.Confirm(record, revision, c.deps.Clock.Now())
	}
	c.publish(s)
}

// probeOwner checks whether there is proof that the owner has ended, and if so takes over at once.
func (c *Controller) probeOwner(ctx context.Context, s *shardState) {
	c.mu.Lock()
	record, _ := s.machine.Record()
	c.mu.Unlock()
	dead := c.hasEnded(ctx, record.Owner)
	c.mu.Lock()
	defer c.mu.Unlock()
	s.probing = false
	now := c.deps.Clock.Now()
	current, _ := s.machine.Record()
	if !dead || c.leaving || s.writing || current.WriteID != record.WriteID || s.machine.Role() != RoleSuccessor {
		return
	}
	c.suspectOwner(s.machine, now)
	// Taking over without the store is tried first even if the store appears to be up: the store
	// may have just gone down, and a claim with an unknown outcome would leave the shard without an
	// owner.
	if s.machine.OwnerGrantProven(now) {
		s.machine.TakeOverUnrecorded(uuid.NewString(), now)
		c.publish(s)
		return
	}
	if c.deps.StoreUp() {
		c.beginWrite(ctx, s, WriteClaim, c.chooseSuccessor(s.shard), now)
	}
}

// probeHolders checks whether a shard is free: it has no record, was released, or there is proof
// that both the owner and the successor have ended.
func (c *Controller) probeHolders(ctx context.Context, s *shardState) {
	c.mu.Lock()
	record, _ := s.machine.Record()
	c.mu.Unlock()
	free := record.Owner.IsNone() ||
		(c.hasEnded(ctx, record.Owner) && (record.Successor.IsNone() || c.hasEnded(ctx, record.Successor)))
	if !free {
		_ = store.Backoff(ctx, 2)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.probing = false
	current, _ := s.machine.Record()
	if free && current.WriteID == record.WriteID && s.machine.Role() == RoleBystander {
		s.freeSince, s.freeWriteID = c.deps.Clock.Now(), record.WriteID
	}
}

func (c *Controller) hasEnded(ctx context.Context, h Holder) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return c.deps.HasEnded(ctx, h)
}

// beginWrite starts a write of the record and finishes it in a goroutine of its own.
func (c *Controller) beginWrite(ctx context.Context, s *shardState, kind WriteKind, successor Holder, now clock.Time) {
	s.writing = true
	record, expect := s.machine.BeginWrite(kind, successor, uuid.NewString(), now)
	c.background.Go(func() { c.finishWrite(ctx, s, record, expect) })
}

func (c *Controller) finishWrite(ctx context.Context, s *shardState, record Record, expect int64) {
	revision, err := c.deps.Swap(ctx, s.shard, record.String(), expect)
	var standing Record
	var standingRevision int64
	readErr := errors.New("record not read")
	if errors.Is(err, store.ErrConflict) {
		standing, standingRevision, readErr = c.deps.Read(ctx, s.shard)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.writing = false
	now := c.deps.Clock.Now()
	switch {
	case err == nil:
		s.machine.FinishWrite(WriteApplied, record, revision, now)
	case errors.Is(err, store.ErrConflict):
		s.machine.FinishWrite(WriteConflict, Record{}, 0, now)
		if readErr == nil {
			s.machine.Observe(standing, standingRevision, now)
		}
	case errors.Is(err, store.ErrUnsettled):
		s.writing = true // the outcome stays unknown: ctx has ended, and with it the process
	default:
		s.machine.FinishWrite(WriteNotApplied, Record{}, 0, now)
	}
	c.publish(s)
}

// Leave hands each shard that this process owns over to its successor, if it has one and the store
// is up. It returns when the writes are finished or ctx ends. From the call on the process has no
// authority and claims no shard.
func (c *Controller) Leave(ctx context.Context) {
	c.mu.Lock()
	c.leaving = true
	now := c.deps.Clock.Now()
	var handovers sync.WaitGroup
	for _, s := range c.shards {
		m := s.machine
		record, _ := m.Record()
		m.Leave()
		c.publish(s)
		if m.Role() == RoleOwner && !record.Successor.IsNone() && !s.writing && c.deps.StoreUp() {
			s.writing = true
			next, expect := m.BeginWrite(WriteHandover, Holder{}, uuid.NewString(), now)
			handovers.Go(func() { c.finishWrite(ctx, s, next, expect) })
		}
	}
	c.mu.Unlock()
	handovers.Wait()
}

// suspectOwner records that the owner of a shard was found not to act as its owner.
func (c *Controller) suspectOwner(m *StateMachine, now clock.Time) {
	record, _ := m.Record()
	c.suspects[record.Owner.Incarnation] = now
}

// chooseSuccessor returns the successor to name for a shard: of the peers that are not suspected,
// the one with the lowest hash for the shard; a zero Holder if there is none.
func (c *Controller) chooseSuccessor(shard cell.ShardID) Holder {
	peers := slices.DeleteFunc(c.deps.Peers(), func(p Peer) bool {
		since, suspect := c.suspects[p.Incarnation]
		return suspect && p.LastHeard <= since
	})
	if len(peers) == 0 {
		return Holder{}
	}
	return slices.MinFunc(peers, func(a, b Peer) int {
		return cmp.Compare(rendezvousHash(shard, a.ID), rendezvousHash(shard, b.ID))
	}).Holder
}

// isAlive reports whether a process is among the live peers.
func (c *Controller) isAlive(h Holder) bool {
	return slices.ContainsFunc(c.deps.Peers(), func(p Peer) bool { return p.Incarnation == h.Incarnation })
}

// claimRank returns the number of peers that claim the shard before this process does.
func (c *Controller) claimRank(shard cell.ShardID) int {
	n := 0
	for _, p := range c.deps.Peers() {
		if rendezvousHash(shard, p.ID) < rendezvousHash(shard, c.self.ID) {
			n++
		}
	}
	return n
}

// rendezvousHash orders the processes differently for each shard, which spreads the shards evenly
// over the processes (rendezvous hashing).
func rendezvousHash(shard cell.ShardID, id string) uint64 {
	return xxhash.Sum64String(shard.String() + "|" + id)
}
