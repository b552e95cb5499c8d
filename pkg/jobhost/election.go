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
	// ownerWait is how long a watch on the owner's record waits, and longOwnerWait how long that of a host does whom the owner tells that it
	// lives only now and then, since others take over before it.
	ownerWait     = time.Second
	longOwnerWait = 3 * time.Second

	linkRetry   = 60 * time.Millisecond
	linkTimeout = 400 * time.Millisecond
	// leaseTerm is how long the owner's lease in the store lasts without a renewal. It is the least that the platform allows, since nobody takes over
	// before it has gone, and leaves room for two renewals that are lost.
	leaseTerm  = time.Second
	leaseEvery = 300 * time.Millisecond
	// campaignEvery is the time between two looks at whether to take over.
	campaignEvery = 50 * time.Millisecond
	// silentBeats is for how many heartbeats the owner must not have been heard before a takeover, 0.7 s with
	// the usual ones.
	silentBeats = 2.8
	// campaignSpread spreads the campaigns of several hosts.
	campaignSpread = 60 * time.Millisecond
	// yieldAfter is how long an owner goes on whose store does not answer.
	yieldAfter = 1200 * time.Millisecond
)

// election is what a host knows of the owner.
type election struct {
	mu      sync.Mutex
	known   bool // the record, or that there is none, was read
	holder  jobstore.Holder
	record  int64 // revision of the holder's record; 0 for none
	alive   bool  // the holder's lease stands
	yielded bool  // the holder has asked this host to take over
	heardAt clock.Time
	// heartbeat is the time between two of the owner's heartbeats, as it told last.
	heartbeat time.Duration
	changed   chan struct{} // of size 1: the holder has changed
}

// newOwnerFollower follows the owner's record.
func (h *Host) newOwnerFollower() *follower {
	return h.newFollower(jobstore.OwnerPrefix, h.ownerWait, h.takeOwnerList, h.takeOwnerItems)
}

// ownerWait is how long the next watch on the owner's record waits.
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

// takeOwnerList takes in all keys; one that is not among them is gone.
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

// takeHolder takes in the owner's record. The caller holds the election's lock.
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

// mayTakeOver says whether the owner's record should be replaced by this host now. Unless the
// owner has asked for it, or was a former process of this host, that is only when the owner's
// lease is gone.
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
		return !e.alive, false, record, term // deposed without a successor
	}
	silent := h.clk.Now().Sub(e.heardAt) > time.Duration(silentBeats*float64(e.heartbeat))
	return silent && !e.alive, false, record, term
}

// formerLife says that the owner on record is a former process of this host.
func (h *Host) formerLife() bool {
	h.election.mu.Lock()
	defer h.election.mu.Unlock()
	return h.election.holder.Name == h.cfg.Load().Name && h.election.holder.Life != h.life
}

// campaign is the duty that takes over when the owner is gone.
func (h *Host) campaign(ctx context.Context) {
	since := clock.Time(0) // since when this host may take over
	clock.Every(ctx, campaignEvery, func() {
		may, asked, _, _ := h.mayTakeOver()
		if !may {
			since = 0
			return
		}
		now := h.clk.Now()
		if since == 0 {
			since = now
		}
		if !asked && now.Sub(since) < takeoverDelay(strengthOf(*h.cfg.Load())) {
			return
		}
		clock.Sleep(ctx, rand.N(campaignSpread))
		may, asked, record, term := h.mayTakeOver()
		if !may {
			return
		}
		h.tryTakeOver(ctx, !asked, record, term)
		since = 0
	})
}

// tryTakeOver puts this host on record as the owner and owns the pool until deposed. The
// lease follows (leaseKeeper): until then the owner's links keep others from taking over.
func (h *Host) tryTakeOver(ctx context.Context, ifNotAlive bool, record, term int64) {
	began := h.clk.Now()
	formerEnded := h.formerLife()
	holder := jobstore.Holder{Name: h.cfg.Load().Name, Life: h.life, Address: h.cfg.Load().Peers, Term: term + 1, NamedFrom: h.namedFrom(term + 1)}
	text, err := holder.Encode()
	if err != nil {
		return
	}
	t := platform.Txn{
		Conditions: []platform.Condition{{Key: jobstore.HolderKey, Revision: record}},
		Put:        []platform.Put{{Key: jobstore.HolderKey, Value: text}},
	}
	for lane := range jobstore.CommitLanes {
		t.Put = append(t.Put, platform.Put{Key: jobstore.CommitKey(lane), Value: fmt.Appendf(nil, "%d/0", holder.Term)})
	}
	if ifNotAlive {
		t.Conditions = append(t.Conditions, platform.Condition{Key: jobstore.AliveKey})
	}
	revision, ok := h.claim(ctx, t, string(text))
	if !ok {
		return
	}
	h.log.WithFields(logrus.Fields{"term": holder.Term, "revision": revision, "took": h.clk.Now().Sub(began)}).Info("owner_elected")
	h.takeOwnerItems([]platform.Item{{Key: jobstore.HolderKey, Value: text, Revision: revision}})
	h.own(ctx, poolowner.Claim{
		Term: holder.Term, Revision: revision, First: record == 0, FormerEnded: formerEnded, NamedFrom: holder.NamedFrom,
	}, began)
}

// namingWrites is the rate of writes at which a store takes the names of workers beside all else: at 140 jobs a second they are up to four entries a job.
const namingWrites = 1000

// namedFrom is the first term from which on all owners name the workers of jobs, if this host owns the pool in a term; 0 when it does not name them.
func (h *Host) namedFrom(term int64) int64 {
	if h.cfg.Load().Store.WritesPerSecond < namingWrites {
		return 0
	}
	h.election.mu.Lock()
	defer h.election.mu.Unlock()
	return cmp.Or(h.election.holder.NamedFrom, term)
}

// claim carries out the transaction that makes this host the owner, and settles a lost
// answer by trying again.
func (h *Host) claim(ctx context.Context, t platform.Txn, value string) (revision int64, ok bool) {
	const tries = 5
	for range tries {
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

// own owns the pool until another host has taken over, or ctx ends.
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
	o.SetConfig(h.config.Load()) // one that came in between, and that takeConfig told nobody
	h.tellWaves(o)
	h.tellEvacuations()
	ctx, cancel := context.WithCancel(ctx)
	h.duties.Go(func() { k.run(ctx, o) })
	err := o.Run(ctx)
	cancel()
	h.owner.Store(nil)
	h.log.WithFields(logrus.Fields{"term": claim.Term, "error": err}).Info("owner_ended")
}

// keepLink is the duty that keeps a link to the owner.
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

// link keeps one link to a holder until it breaks or another host is on record.
func (h *Host) link(ctx context.Context, holder jobstore.Holder) {
	d := net.Dialer{Timeout: linkTimeout}
	conn, err := d.DialContext(ctx, "tcp", holder.Address.String())
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	calls := relay.NewServer(relay.DirectCalls(h.worker))
	m := poolrpc.NewMember(poolrpc.MemberHandlers{
		Status: h.memberStatus, Advise: h.advise, Orders: calls.Take,
		OwnerStatus: func(s *poolpb.OwnerStatus) { h.ownerHeard(holder, s) },
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
				if h.holderLife() != holder.Life {
					return
				}
			}
		}
	}()
	_ = m.Run(ctx, h.peerBytes.Conn(conn))
}

// knownOwner is the revision of the latest record of an owner that this host knows of, and that owner's term; 0 for none.
func (h *Host) knownOwner() (record, term int64) {
	h.election.mu.Lock()
	defer h.election.mu.Unlock()
	return h.election.record, h.election.holder.Term
}

// sawHolder takes in the owner's record as a write has found it.
func (h *Host) sawHolder(i platform.Item) {
	h.election.mu.Lock()
	defer h.election.mu.Unlock()
	h.takeHolder(i)
}

// knownTerm is the highest term of an owner that this host knows of.
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

// ownerHeard takes in a heartbeat of the owner.
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
