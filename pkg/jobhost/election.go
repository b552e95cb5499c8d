package jobhost

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/pkg/poolowner"
	"foldarch.dev/foldarch/pkg/poolrpc"
	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
	"foldarch.dev/foldarch/pkg/relay"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

const (
	// ownerWatchWait is how long a watch on the owner's record waits. longOwnerWatchWait applies to hosts
	// to which the owner sends slow heartbeats, since other hosts take over before them.
	ownerWait     = time.Second
	longOwnerWait = 3 * time.Second

	linkRetry   = 60 * time.Millisecond
	linkTimeout = 400 * time.Millisecond
	// leaseDuration is how long the owner's lease in the store lasts without a renewal. It is the
	// shortest that the platform allows, since no host takes over before it has expired, and leaves room
	// for two lost renewals.
	leaseTerm  = time.Second
	leaseEvery = 300 * time.Millisecond
	// campaignInterval is the time between two checks whether to take over.
	campaignEvery = 50 * time.Millisecond
	// takeoverHeartbeats is for how many heartbeat intervals nothing may have come from the owner before
	// a takeover: 0.7 s with the usual interval.
	silentBeats = 2.8
	// campaignJitter bounds the random delay by which the takeovers of several hosts are spread.
	campaignSpread = 60 * time.Millisecond
	// yieldStoreAge is how long the store may not have answered an owner before the owner asks another
	// host to take over.
	yieldAfter = 1200 * time.Millisecond
)

// election is what a host knows about the owner.
type election struct {
	mu      sync.Mutex
	known   bool // the record, or its absence, was read
	holder  jobstore.Holder
	record  int64 // of the owner's record; 0 for none
	alive   bool  // the owner's lease has not expired
	yielded bool  // the owner has asked this host to take over
	heardAt clock.Time
	// heartbeatInterval is the time between two of the owner's heartbeats, as the owner last reported it.
	heartbeat time.Duration
	changed   chan struct{} // of capacity 1: signals that the owner has changed
}

// newOwnerWatcher returns a watcher of the owner's record.
func (h *Host) newOwnerFollower() *follower {
	return h.newFollower(jobstore.OwnerPrefix, h.ownerWait, h.takeOwnerList, h.takeOwnerItems)
}

// nextOwnerWatchWait returns how long the next watch on the owner's record waits.
func (h *Host) ownerWait() time.Duration {
	if h.member.Load() == nil {
		return ownerWait
	}
	h.election.mu.Lock()
	defer h.election.mu.Unlock()
	if h.election.heartbeat > poolrpc.HeartbeatEvery {
		return longOwnerWait
	}
	return ownerWait
}

// applyOwnerList applies a complete list of the owner's keys; a key that is not on it has been removed.
func (h *Host) takeOwnerList(items []platform.Item, _ int64) {
	present := map[string]bool{}
	for _, i := range items {
		present[i.Key] = true
	}
	for _, key := range []string{jobstore.HolderKey, jobstore.AliveKey} {
		if !present[key] {
			items = append(items, platform.Item{Key: key, Gone: true})
		}
	}
	h.takeOwnerItems(items)
}

// applyOwnerItems applies changes of the owner's keys: its record and its lease.
func (h *Host) takeOwnerItems(items []platform.Item) {
	e := &h.election
	e.mu.Lock()
	defer e.mu.Unlock()
	e.known = true
	for _, i := range items {
		switch i.Key {
		case jobstore.AliveKey:
			e.alive = !i.Gone
		case jobstore.HolderKey:
			h.takeHolder(i)
		}
	}
}

// applyOwnerRecord applies the owner's record. The caller holds the election's lock.
func (h *Host) takeHolder(i platform.Item) {
	e := &h.election
	if i.Gone || i.Revision <= e.record {
		return
	}
	holder, err := jobstore.DecodeHolder(i.Value)
	if err != nil {
		h.log.WithField("error", err).Error("holder_unreadable")
		return
	}
	e.holder, e.record, e.yielded, e.heardAt = holder, i.Revision, false, h.clk.Now()
	e.heartbeat = poolrpc.HeartbeatEvery
	h.toldReach.Store(nil)
	h.log.WithFields(logrus.Fields{"owner": holder.Name, "term": holder.Term, "revision": i.Revision}).Info("owner_known")
	if o := h.owner.Load(); o != nil && holder.Life != h.life {
		o.Depose()
	}
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// mayTakeOver reports whether this host should replace the owner's record now. This requires that the
// owner's lease has expired, unless the owner has asked this host to take over or was a previous process
// of this host; in these cases asked is true.
func (h *Host) mayTakeOver() (may, asked bool, record int64, term int64) {
	e := &h.election
	e.mu.Lock()
	defer e.mu.Unlock()
	record, term = e.record, e.holder.Term
	switch {
	case !e.known || h.config.Load() == nil || h.stopping.Load() || h.owner.Load() != nil:
		return false, false, record, term
	case e.record == 0:
		return true, false, record, term
	case e.holder.Name == h.cfg.Load().Name && e.holder.Life != h.life, e.yielded && h.storeAnswers():
		return true, true, record, term
	case e.holder.Life == h.life:
		return !e.alive, false, record, term // this host was deposed, but has no successor
	}
	silent := h.clk.Now().Sub(e.heardAt) > time.Duration(silentBeats*float64(e.heartbeat))
	return silent && !e.alive, false, record, term
}

// isOwnerPreviousIncarnation reports whether the recorded owner is a previous process of this host.
func (h *Host) formerLife() bool {
	h.election.mu.Lock()
	defer h.election.mu.Unlock()
	return h.election.holder.Name == h.cfg.Load().Name && h.election.holder.Life != h.life
}

// campaign takes over when the owner has failed. It runs until ctx ends.
func (h *Host) campaign(ctx context.Context) {
	allowedSince := clock.Time(0) // when this host became allowed to take over
	clock.Every(ctx, campaignEvery, func() {
		may, asked, _, _ := h.mayTakeOver()
		if !may {
			allowedSince = 0
			return
		}
		now := h.clk.Now()
		if allowedSince == 0 {
			allowedSince = now
		}
		if !asked && now.Sub(allowedSince) < takeoverDelay(strengthOf(*h.cfg.Load())) {
			return
		}
		clock.Sleep(ctx, rand.N(campaignSpread))
		may, asked, revision, term := h.mayTakeOver()
		if !may {
			return
		}
		h.tryTakeOver(ctx, !asked, revision, term)
		allowedSince = 0
	})
}

// tryTakeOver writes the owner's record with this host as the owner and owns the pool until deposed. The
// lease is opened afterwards (leaseKeeper); until then the owner's links to the other hosts keep them
// from taking over.
func (h *Host) tryTakeOver(ctx context.Context, ifLeaseExpired bool, recordRevision, term int64) {
	began := h.clk.Now()
	previousEnded := h.formerLife()
	owner := jobstore.Holder{Name: h.cfg.Load().Name, Life: h.life, Address: h.cfg.Load().Peers, Term: term + 1, NamedFrom: h.namedFrom(term + 1)}
	text, err := owner.Encode()
	if err != nil {
		return
	}
	t := platform.Txn{
		Conditions: []platform.Condition{{Key: jobstore.HolderKey, Revision: recordRevision}},
		Put:        []platform.Put{{Key: jobstore.HolderKey, Value: text}},
	}
	for n := range jobstore.CommitLanes {
		t.Put = append(t.Put, platform.Put{Key: jobstore.CommitKey(n), Value: fmt.Appendf(nil, "%d/0", owner.Term)})
	}
	if ifLeaseExpired {
		t.Conditions = append(t.Conditions, platform.Condition{Key: jobstore.AliveKey})
	}
	revision, ok := h.claim(ctx, t, string(text))
	if !ok {
		return
	}
	h.log.WithFields(logrus.Fields{"term": owner.Term, "revision": revision, "took": h.clk.Now().Sub(began)}).Info("owner_elected")
	h.takeOwnerItems([]platform.Item{{Key: jobstore.HolderKey, Value: text, Revision: revision}})
	h.own(ctx, poolowner.Claim{
		Term: owner.Term, Revision: revision, First: recordRevision == 0, FormerEnded: previousEnded, NamedFrom: owner.NamedFrom,
	}, began)
}

// minWritesToRecordWorkers is the number of writes a second at which a store has room for the records of
// the workers of each job, beside all other writes: at 140 jobs a second these are up to four entries a
// job.
const namingWrites = 1000

// recordWorkersFromTerm returns the first term from which on all owners record the workers of jobs
// without a gap, if this host owns the pool in the given term. It is 0 if this host does not record them.
func (h *Host) namedFrom(term int64) int64 {
	if h.cfg.Load().Store.WritesPerSecond < namingWrites {
		return 0
	}
	h.election.mu.Lock()
	defer h.election.mu.Unlock()
	return cmp.Or(h.election.holder.NamedFrom, term)
}

// commitTakeover commits the transaction that makes this host the owner. If the answer is lost it repeats
// the transaction, and recognizes its own record by the value.
func (h *Host) claim(ctx context.Context, t platform.Txn, value string) (revision int64, ok bool) {
	const attempts = 5
	for range attempts {
		revision, found, err := h.store.Commit(ctx, t)
		switch {
		case err == nil:
			return revision, true
		case errors.Is(err, platform.ErrConflict):
			for _, i := range found {
				if i.Key == jobstore.HolderKey && string(i.Value) == value {
					return i.Revision, true
				}
			}
			return 0, false
		case errors.Is(err, platform.ErrUnsettled):
			continue
		}
		return 0, false
	}
	return 0, false
}

// runOwner owns the pool until another host has taken over, or ctx ends.
func (h *Host) own(ctx context.Context, claim poolowner.Claim, confirmedAt clock.Time) {
	k := &leaseKeeper{host: h, record: claim.Revision}
	k.renewedAt.Store(int64(confirmedAt))
	var machines *platform.Machines
	if address := h.cfg.Load().Machines; address.IsValid() {
		machines = platform.NewMachines(address)
	}
	o := poolowner.New(poolowner.Deps{
		Machines: machines,
		Name:     h.cfg.Load().Name, Hall: h.cfg.Load().Zone, Clock: h.clk, Store: h.store, Workers: h.worker, WorkerTimeout: workerTimeout, Bounds: h.cfg.Load().Bounds, Heartbeat: h.cfg.Load().Heartbeat,
		Advise: h.advise, Write: h.writeFor, ReadOperator: h.readOperatorKeys, StoreAge: h.storeAge, Leased: k.holds, Log: h.log, Strength: strengthOf(*h.cfg.Load()), LinkMbps: h.cfg.Load().LinkMbps, Figures: h.figures.registry,
	}, claim)
	o.SetConfig(h.config.Load())
	h.owner.Store(o)
	o.SetConfig(h.config.Load()) // a configuration that arrived in between: applyConfig had no owner to pass it to
	h.tellWaves(o)
	h.tellEvacuations()
	ctx, cancel := context.WithCancel(ctx)
	h.duties.Go(func() { k.run(ctx, o) })
	err := o.Run(ctx)
	cancel()
	h.owner.Store(nil)
	h.log.WithFields(logrus.Fields{"term": claim.Term, "error": err}).Info("owner_ended")
}

// maintainLink maintains a link to the owner while another host is the owner. It runs until ctx ends.
func (h *Host) keepLink(ctx context.Context) {
	for ctx.Err() == nil {
		e := &h.election
		e.mu.Lock()
		holder, record := e.holder, e.record
		e.mu.Unlock()
		if record == 0 || holder.Life == h.life || holder.Name == h.cfg.Load().Name {
			clock.Sleep(ctx, linkRetry)
			continue
		}
		h.link(ctx, holder)
		clock.Sleep(ctx, linkRetry)
	}
}

// runLink runs one link to an owner until it breaks or another host is recorded as the owner.
func (h *Host) link(ctx context.Context, owner jobstore.Holder) {
	d := net.Dialer{Timeout: linkTimeout}
	conn, err := d.DialContext(ctx, "tcp", owner.Address.String())
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	calls := relay.NewServer(relay.DirectCalls(h.worker))
	m := poolrpc.NewMember(poolrpc.MemberHandlers{
		Status: h.memberStatus, Advise: h.advise, Orders: calls.Take,
		OwnerStatus: func(s *poolpb.OwnerStatus) { h.ownerHeard(owner, s) },
	}, h.clk)
	go calls.Run(ctx, m.Send)
	h.member.Store(m)
	defer h.member.CompareAndSwap(m, nil)
	go func() {
		defer cancel()
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
				return
			case <-h.election.changed:
				if h.holderLife() != owner.Life {
					return
				}
			}
		}
	}()
	_ = m.Run(ctx, h.peerBytes.Conn(conn))
}

// knownOwner returns the revision of the latest owner's record that this host knows, and the term of that
// owner; 0 for none.
func (h *Host) knownOwner() (record, term int64) {
	h.election.mu.Lock()
	defer h.election.mu.Unlock()
	return h.election.record, h.election.holder.Term
}

// handleFoundOwnerRecord applies an owner's record that a write has found in the store.
func (h *Host) sawHolder(i platform.Item) {
	h.election.mu.Lock()
	defer h.election.mu.Unlock()
	h.takeHolder(i)
}

// knownTerm returns the highest term of an owner that this host knows.
func (h *Host) knownTerm() int64 {
	_, term := h.knownOwner()
	return term
}

func (h *Host) holderLife() string {
	h.election.mu.Lock()
	defer h.election.mu.Unlock()
	return h.election.holder.Life
}

func (h *Host) memberStatus() *poolpb.MemberStatus {
	return &poolpb.MemberStatus{Name: h.cfg.Load().Name, StoreAgeMs: h.storeAge().Milliseconds(), Stopping: h.stopping.Load(),
		Strength: int64(strengthOf(*h.cfg.Load())), Hall: h.cfg.Load().Zone,
		MostWorkers: int64(min(relay.WorkersOnLink(h.cfg.Load().LinkMbps), relay.WorkersPerHost))}
}

// handleOwnerStatus applies a heartbeat of the owner.
func (h *Host) ownerHeard(holder jobstore.Holder, s *poolpb.OwnerStatus) {
	e := &h.election
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.holder.Life != holder.Life || e.holder.Term != s.Term {
		return
	}
	e.heardAt = h.clk.Now()
	h.refusals.put(s.Refusals, e.heardAt)
	h.limits.put(s.Limits, e.heardAt)
	h.takeReach(s)
	h.stateReads.setHosts(int(s.Hosts))
	e.heartbeat = time.Duration(s.HeartbeatMs) * time.Millisecond
	e.yielded = s.Yield == h.cfg.Load().Name
}
