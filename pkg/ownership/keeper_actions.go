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
	// claimStagger keeps the processes of a hall from claiming the same shard at once.
	claimStagger = 400 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
)

// act starts what is due for one machine. Each kind of action runs once at a time.
func (k *Keeper) act(ctx context.Context, s *shardKeeper, now clock.Time) {
	switch s.machine.Role() {
	case Owner:
		k.actAsOwner(ctx, s, now)
	case Successor:
		k.actAsSuccessor(ctx, s, now)
	case Bystander:
		k.actAsBystander(ctx, s, now)
	}
}

func (k *Keeper) actAsOwner(ctx context.Context, s *shardKeeper, now clock.Time) {
	m := s.machine
	if !s.asking {
		if ask, due := m.NextAsk(now); due {
			s.asking = true
			k.duties.Go(func() { k.ask(ctx, s, ask) })
		}
	}
	if m.Doubtful() && !s.probing {
		s.probing = true
		k.duties.Go(func() { k.confirm(ctx, s) })
	}
	if s.writing || !k.deps.StoreUp() {
		return
	}
	switch {
	case m.Unrecorded() && !m.Pending():
		// Nobody is named yet: a sole owner keeps its authority while this is not settled.
		k.write(ctx, s, WriteRecord, Holder{}, now)
	case m.WantsSuccessor(now):
		k.replaceSuccessor(ctx, s, now)
	}
}

// replaceSuccessor names another successor, or none, when the one named is not the best.
func (k *Keeper) replaceSuccessor(ctx context.Context, s *shardKeeper, now clock.Time) {
	record, _ := s.machine.Record()
	if next := k.choose(s.shard); next.Incarnation != record.Successor.Incarnation {
		k.write(ctx, s, WriteSuccessor, next, now)
	}
}

func (k *Keeper) actAsSuccessor(ctx context.Context, s *shardKeeper, now clock.Time) {
	m := s.machine
	if m.MissesOwner(now) && !s.probing {
		s.probing = true
		k.duties.Go(func() { k.probeOwner(ctx, s) })
	}
	if m.GrantLapsed(now) && !s.writing && !k.leaving && k.deps.StoreUp() {
		k.suspectOwner(m, now)
		k.write(ctx, s, WriteClaim, k.choose(s.shard), now)
	}
}

// actAsBystander claims a shard that nobody can have authority over.
func (k *Keeper) actAsBystander(ctx context.Context, s *shardKeeper, now clock.Time) {
	if k.leaving || !s.seen || s.probing || s.writing || !k.deps.StoreUp() {
		return
	}
	record, _ := s.machine.Record()
	if k.isHeard(record.Owner) {
		s.claimable = 0
		return // there is nothing to prove, and proof costs an exchange
	}
	// What was found of one record says nothing of the next, whose owner may be alive.
	if s.claimable == 0 || record.WriteID != s.freeRecord {
		s.claimable = 0
		s.probing = true
		k.duties.Go(func() { k.probeHolders(ctx, s) })
		return
	}
	if now >= s.claimable.Add(time.Duration(k.rank(s.shard))*claimStagger) {
		s.claimable = 0
		k.write(ctx, s, WriteClaim, k.choose(s.shard), now)
	}
}

func (k *Keeper) ask(ctx context.Context, s *shardKeeper, ask Ask) {
	ctx, cancel := context.WithTimeout(ctx, 2*k.terms.AskEvery)
	defer cancel()
	reply, err := k.deps.Ask(ctx, ask.Record.Successor, s.shard, ask)
	dead := err != nil && k.deps.Ended(ctx, ask.Record.Successor)
	k.mu.Lock()
	defer k.mu.Unlock()
	s.asking = false
	if err != nil {
		k.suspects[ask.Record.Successor.Incarnation] = k.deps.Clock.Now()
	}
	switch {
	case err == nil:
		s.machine.Answered(ask, reply)
	case dead:
		if record, _ := s.machine.Record(); record.WriteID == ask.Record.WriteID {
			s.machine.SuccessorDead(k.deps.Clock.Now())
		}
	}
	k.publish(s)
}

// confirm reads the record again for a sole owner that was paused.
func (k *Keeper) confirm(ctx context.Context, s *shardKeeper) {
	record, revision, err := k.deps.Read(ctx, s.shard)
	if err != nil {
		_ = store.Pause(ctx, 1)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	s.probing = false
	if err == nil && s.machine.Doubtful() {
		s.machine.Confirm(record, revision, k.deps.Clock.Now())
	}
	k.publish(s)
}

// probeOwner looks for proof that the owner has ended, and then follows it at once.
func (k *Keeper) probeOwner(ctx context.Context, s *shardKeeper) {
	k.mu.Lock()
	record, _ := s.machine.Record()
	k.mu.Unlock()
	dead := k.ended(ctx, record.Owner)
	k.mu.Lock()
	defer k.mu.Unlock()
	s.probing = false
	now := k.deps.Clock.Now()
	current, _ := s.machine.Record()
	if !dead || k.leaving || s.writing || current.WriteID != record.WriteID || s.machine.Role() != Successor {
		return
	}
	k.suspectOwner(s.machine, now)
	// Without the store first, also when it seems to be up: it may have gone down a moment
	// ago, and a claim that is not settled would leave the shard without an owner.
	if s.machine.OwnerProvenHeld(now) {
		s.machine.FollowUnrecorded(uuid.NewString(), now)
		k.publish(s)
		return
	}
	if k.deps.StoreUp() {
		k.write(ctx, s, WriteClaim, k.choose(s.shard), now)
	}
}

// probeHolders looks whether a shard is free: it has no record, was released, or both its
// holders have ended.
func (k *Keeper) probeHolders(ctx context.Context, s *shardKeeper) {
	k.mu.Lock()
	record, _ := s.machine.Record()
	k.mu.Unlock()
	free := record.Owner.IsNone() ||
		(k.ended(ctx, record.Owner) && (record.Successor.IsNone() || k.ended(ctx, record.Successor)))
	if !free {
		_ = store.Pause(ctx, 2)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	s.probing = false
	current, _ := s.machine.Record()
	if free && current.WriteID == record.WriteID && s.machine.Role() == Bystander {
		s.claimable, s.freeRecord = k.deps.Clock.Now(), record.WriteID
	}
}

func (k *Keeper) ended(ctx context.Context, h Holder) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return k.deps.Ended(ctx, h)
}

// write begins a write to the record and settles it in a duty of its own.
func (k *Keeper) write(ctx context.Context, s *shardKeeper, kind Write, successor Holder, now clock.Time) {
	s.writing = true
	record, expect := s.machine.BeginWrite(kind, successor, uuid.NewString(), now)
	k.duties.Go(func() { k.settle(ctx, s, record, expect) })
}

func (k *Keeper) settle(ctx context.Context, s *shardKeeper, record Record, expect int64) {
	revision, err := k.deps.Swap(ctx, s.shard, record.String(), expect)
	var standing Record
	var standingRevision int64
	readErr := errors.New("not read")
	if errors.Is(err, store.ErrConflict) {
		standing, standingRevision, readErr = k.deps.Read(ctx, s.shard)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	s.writing = false
	now := k.deps.Clock.Now()
	switch {
	case err == nil:
		s.machine.Settle(TookEffect, record, revision, now)
	case errors.Is(err, store.ErrConflict):
		s.machine.Settle(Overtaken, Record{}, 0, now)
		if readErr == nil {
			s.machine.Observe(standing, standingRevision, now)
		}
	case errors.Is(err, store.ErrUnsettled):
		s.writing = true // never settled: ctx has ended and the process with it
	default:
		s.machine.Settle(NoEffect, Record{}, 0, now)
	}
	k.publish(s)
}

// Leave hands every shard of this process over to its successor and returns when that is
// settled or ctx ends. From the call on the process takes no shard and has no authority.
func (k *Keeper) Leave(ctx context.Context) {
	k.mu.Lock()
	k.leaving = true
	now := k.deps.Clock.Now()
	var handovers sync.WaitGroup
	for _, s := range k.machines {
		m := s.machine
		record, _ := m.Record()
		m.Leave()
		k.publish(s)
		if m.Role() == Owner && !record.Successor.IsNone() && !s.writing && k.deps.StoreUp() {
			s.writing = true
			next, expect := m.BeginWrite(WriteHandover, Holder{}, uuid.NewString(), now)
			handovers.Go(func() { k.settle(ctx, s, next, expect) })
		}
	}
	k.mu.Unlock()
	handovers.Wait()
}

// suspectOwner remembers that the owner of a shard was not heard of as such.
func (k *Keeper) suspectOwner(m *Machine, now clock.Time) {
	record, _ := m.Record()
	k.suspects[record.Owner.Incarnation] = now
}

// choose picks the successor for a shard: of the peers that are no suspects, the one that
// ranks first for it.
func (k *Keeper) choose(shard cell.ShardID) Holder {
	peers := slices.DeleteFunc(k.deps.Peers(), func(p Peer) bool {
		since, suspect := k.suspects[p.Incarnation]
		return suspect && p.Heard <= since
	})
	if len(peers) == 0 {
		return Holder{}
	}
	return slices.MinFunc(peers, func(a, b Peer) int {
		return cmp.Compare(weight(shard, a.ID), weight(shard, b.ID))
	}).Holder
}

// isHeard says whether a process is among the peers that were heard of lately.
func (k *Keeper) isHeard(h Holder) bool {
	return slices.ContainsFunc(k.deps.Peers(), func(p Peer) bool { return p.Incarnation == h.Incarnation })
}

// rank counts the peers that come before this process for a shard.
func (k *Keeper) rank(shard cell.ShardID) int {
	n := 0
	for _, p := range k.deps.Peers() {
		if weight(shard, p.ID) < weight(shard, k.self.ID) {
			n++
		}
	}
	return n
}

// weight spreads the shards evenly over the processes (rendezvous hashing).
func weight(shard cell.ShardID, id string) uint64 {
	return xxhash.Sum64String(shard.String() + "|" + id)
}
