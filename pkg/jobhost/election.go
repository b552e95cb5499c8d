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
	"foldarch.dev/foldarch/pkg/dispatch"
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
	ownerWatchWait     = time.Second
	longOwnerWatchWait = 3 * time.Second

	linkRetryInterval = 60 * time.Millisecond
	linkTimeout       = 400 * time.Millisecond
	// leaseDuration is how long the owner's lease in the store lasts without a renewal. It is the
	// shortest that the platform allows, since no host takes over before it has expired, and leaves room
	// for two lost renewals.
	leaseDuration      = time.Second
	leaseRenewInterval = 300 * time.Millisecond
	// campaignInterval is the time between two checks whether to take over.
	campaignInterval = 50 * time.Millisecond
	// takeoverHeartbeats is for how many heartbeat intervals nothing may have come from the owner before
	// a takeover: 0.7 s with the usual interval.
	takeoverHeartbeats = 2.8
	// campaignJitter bounds the random delay by which the takeovers of several hosts are spread.
	campaignJitter = 60 * time.Millisecond
	// yieldStoreAge is how long the store may not have answered an owner before the owner asks another
	// host to take over.
	yieldStoreAge = 1200 * time.Millisecond
)

// election is what a host knows about the owner.
type election struct {
	mu              sync.Mutex
	recordRead      bool // the record, or its absence, was read
	ownerRecord     jobstore.OwnerRecord
	revision        int64 // of the owner's record; 0 for none
	soleRevision    int64 // of the owner's record that jobstore.SoleOwnerKey names; 0 for none
	leaseHeld       bool  // the owner's lease has not expired
	askedToTakeOver bool  // the owner has asked this host to take over
	lastHeardAt     clock.Time
	// heartbeatInterval is the time between two of the owner's heartbeats, as the owner last reported it.
	heartbeatInterval time.Duration
	changed           chan struct{} // of capacity 1: signals that the owner has changed
}

// newOwnerWatcher returns a watcher of the owner's record.
func (h *Host) newOwnerWatcher() *keyWatcher {
	return h.newKeyWatcher(jobstore.OwnerPrefix, h.nextOwnerWatchWait, h.applyOwnerList, h.applyOwnerItems)
}

// nextOwnerWatchWait returns how long the next watch on the owner's record waits.
func (h *Host) nextOwnerWatchWait() time.Duration {
	if h.member.Load() == nil {
		return ownerWatchWait
	}
	h.election.mu.Lock()
	defer h.election.mu.Unlock()
	if h.election.heartbeatInterval > poolrpc.HeartbeatInterval {
		return longOwnerWatchWait
	}
	return ownerWatchWait
}

// applyOwnerList applies a complete list of the owner's keys; a key that is not on it has been removed.
func (h *Host) applyOwnerList(items []platform.Item, _ int64) {
	present := map[string]bool{}
	for _, i := range items {
		present[i.Key] = true
	}
	for _, key := range []string{jobstore.OwnerRecordKey, jobstore.OwnerLeaseKey, jobstore.SoleOwnerKey} {
		if !present[key] {
			items = append(items, platform.Item{Key: key, Removed: true})
		}
	}
	h.applyOwnerItems(items)
}

// applyOwnerItems applies changes of the owner's keys.
func (h *Host) applyOwnerItems(items []platform.Item) {
	e := &h.election
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordRead = true
	for _, i := range items {
		switch i.Key {
		case jobstore.OwnerLeaseKey:
			e.leaseHeld = !i.Removed
		case jobstore.OwnerRecordKey:
			h.applyOwnerRecord(i)
		case jobstore.SoleOwnerKey:
			h.applySoleOwner(i)
		}
	}
}

// applySoleOwner applies the key that tells which owner is the only one with authority. The caller holds the
// election's lock.
func (h *Host) applySoleOwner(i platform.Item) {
	h.election.soleRevision = 0
	if i.Removed {
		return
	}
	revision, err := jobstore.DecodeSoleOwner(i.Value)
	if err != nil {
		h.log.WithFields(logrus.Fields{"revision": i.Revision, "error": err}).Error("sole_owner_unreadable")
		return
	}
	h.election.soleRevision = revision
}

// applyOwnerRecord applies the owner's record. The caller holds the election's lock.
func (h *Host) applyOwnerRecord(i platform.Item) {
	e := &h.election
	if i.Removed || i.Revision <= e.revision {
		return
	}
	record, err := decodeOwnerRecord(i)
	if err != nil {
		h.log.WithFields(logrus.Fields{"revision": i.Revision, "error": err}).Error("holder_unreadable")
		record = jobstore.OwnerRecord{Term: i.Revision}
	}
	e.ownerRecord, e.revision, e.askedToTakeOver, e.lastHeardAt = record, i.Revision, false, h.clk.Now()
	e.heartbeatInterval = poolrpc.HeartbeatInterval
	h.reportedOwner.Store(nil)
	h.log.WithFields(logrus.Fields{"owner": record.Name, "term": record.Term, "revision": i.Revision}).Info("owner_known")
	if o := h.owner.Load(); o != nil && record.Incarnation != h.incarnation {
		o.Depose()
	}
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// decodeOwnerRecord decodes the owner's record. Each term raises the store's revision, so that no owner can have
// written a term above the record's revision. The next owner after an unreadable record takes a term that
// follows the revision, and is thus above those of all previous owners.
func decodeOwnerRecord(i platform.Item) (jobstore.OwnerRecord, error) {
	record, err := jobstore.DecodeOwnerRecord(i.Value)
	if err == nil && record.Term > i.Revision {
		err = errors.Newf("owner record at revision %d: term %d", i.Revision, record.Term)
	}
	return record, err
}

// mayTakeOver reports whether this host should replace the owner's record now. This requires that the
// owner's lease has expired, unless the owner has asked this host to take over or was a previous process
// of this host. In these cases immediate is true: the takeover need not be left to stronger hosts.
func (h *Host) mayTakeOver() (may, immediate bool, revision int64, term int64) {
	e := &h.election
	e.mu.Lock()
	defer e.mu.Unlock()
	revision, term = e.revision, e.ownerRecord.Term
	switch {
	case !e.recordRead || h.config.Load() == nil || h.stopping.Load() || h.owner.Load() != nil:
		return false, false, revision, term
	case e.revision == 0:
		return true, false, revision, term
	case h.isOwnerPreviousProcess(), e.askedToTakeOver && h.hasStoreAnswered():
		return true, true, revision, term
	case e.ownerRecord.Incarnation == h.incarnation:
		return !e.leaseHeld, false, revision, term // this host was deposed, but has no successor
	}
	silent := h.clk.Now().Sub(e.lastHeardAt) > time.Duration(takeoverHeartbeats*float64(e.heartbeatInterval))
	return silent && !e.leaseHeld, false, revision, term
}

// hasAllAuthorityEnded reports whether no owner has authority any more that was recorded up to the given revision of
// the owner's record: the last of them was a previous process of this host, which has ended, and had outlasted the
// authority of those before it.
func (h *Host) hasAllAuthorityEnded(recordRevision int64) bool {
	e := &h.election
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.revision == recordRevision && e.soleRevision == recordRevision && h.isOwnerPreviousProcess()
}

// isOwnerPreviousProcess reports whether the recorded owner is a previous process of this host. The caller holds
// the election's lock.
func (h *Host) isOwnerPreviousProcess() bool {
	record := h.election.ownerRecord
	return record.Name == h.cfg.Load().Name && record.Incarnation != h.incarnation
}

// campaign takes over when the owner has failed. It runs until ctx ends.
func (h *Host) campaign(ctx context.Context) {
	allowedSince := clock.Time(0) // when this host became allowed to take over
	clock.Every(ctx, campaignInterval, func() {
		may, immediate, _, _ := h.mayTakeOver()
		if !may {
			allowedSince = 0
			return
		}
		now := h.clk.Now()
		if allowedSince == 0 {
			allowedSince = now
		}
		if !immediate && now.Sub(allowedSince) < takeoverDelay(hostStrength(*h.cfg.Load())) {
			return
		}
		clock.Sleep(ctx, rand.N(campaignJitter))
		may, immediate, revision, term := h.mayTakeOver()
		if !may {
			return
		}
		h.tryTakeOver(ctx, !immediate, revision, term)
		allowedSince = 0
	})
}

// tryTakeOver writes the owner's record with this host as the owner and owns the pool until deposed. The
// lease is opened afterwards (leaseKeeper); until then the owner's links to the other hosts keep them
// from taking over.
func (h *Host) tryTakeOver(ctx context.Context, ifLeaseExpired bool, recordRevision, term int64) {
	began := h.clk.Now()
	authorityEnded := h.hasAllAuthorityEnded(recordRevision)
	owner := jobstore.OwnerRecord{Name: h.cfg.Load().Name, Incarnation: h.incarnation, Address: h.cfg.Load().PeerAddress, Term: term + 1, RecordWorkersFromTerm: h.recordWorkersFromTerm(term + 1), RecordUnannouncedFromTerm: h.recordUnannouncedFromTerm(term + 1)}
	text, err := owner.Encode()
	if err != nil {
		return
	}
	t := platform.Txn{
		Conditions: []platform.Condition{{Key: jobstore.OwnerRecordKey, Revision: recordRevision}},
		Put:        []platform.Put{{Key: jobstore.OwnerRecordKey, Value: text}},
	}
	for n := range jobstore.MaxParallelCommits {
		t.Put = append(t.Put, platform.Put{Key: jobstore.CommitKey(n), Value: fmt.Appendf(nil, "%d/0", owner.Term)})
	}
	if ifLeaseExpired {
		t.Conditions = append(t.Conditions, platform.Condition{Key: jobstore.OwnerLeaseKey})
	}
	revision, ok := h.commitTakeover(ctx, t, string(text))
	if !ok {
		return
	}
	h.log.WithFields(logrus.Fields{"term": owner.Term, "revision": revision, "took": h.clk.Now().Sub(began), "previous_authority_ended": authorityEnded}).Info("owner_elected")
	h.applyOwnerItems([]platform.Item{{Key: jobstore.OwnerRecordKey, Value: text, Revision: revision}})
	h.runOwner(ctx, poolowner.Claim{
		Term: owner.Term, Revision: revision, First: recordRevision == 0, PreviousAuthorityEnded: authorityEnded, RecordWorkersFromTerm: owner.RecordWorkersFromTerm, RecordUnannouncedFromTerm: owner.RecordUnannouncedFromTerm,
	}, began)
}

// minWritesToRecordWorkers is the number of writes a second at which a store has room for the records of
// the workers of each job, beside all other writes: at 140 jobs a second these are up to four entries a
// job.
const minWritesToRecordWorkers = 1000

// recordWorkersFromTerm returns the first term from which on all owners record the workers of jobs
// without a gap, if this host owns the pool in the given term. It is 0 if this host does not record them.
func (h *Host) recordWorkersFromTerm(term int64) int64 {
	if h.cfg.Load().Store.WritesPerSecond < minWritesToRecordWorkers {
		return 0
	}
	h.election.mu.Lock()
	defer h.election.mu.Unlock()
	return cmp.Or(h.election.ownerRecord.RecordWorkersFromTerm, term)
}

// recordUnannouncedFromTerm is recordWorkersFromTerm for unannounced jobs. There are few of them, so that each
// store has room for their workers.
func (h *Host) recordUnannouncedFromTerm(term int64) int64 {
	h.election.mu.Lock()
	defer h.election.mu.Unlock()
	return cmp.Or(h.election.ownerRecord.RecordUnannouncedFromTerm, term)
}

// announceHeartbeats is for how many heartbeat intervals nothing may have come from the owner while its link still
// counts as working.
const announceHeartbeats = 1.5

// hasOwnerLink reports whether this host is the owner, or has heard from the owner recently.
func (h *Host) hasOwnerLink() bool {
	if h.owner.Load() != nil {
		return true
	}
	m := h.member.Load()
	return m != nil && h.clk.Now().Sub(m.LastHeardAt()) <= time.Duration(announceHeartbeats*float64(m.HeartbeatInterval()))
}

// commitTakeover commits the transaction that makes this host the owner. If the answer is lost it repeats
// the transaction, and recognizes its own record by the value.
func (h *Host) commitTakeover(ctx context.Context, t platform.Txn, value string) (revision int64, ok bool) {
	const attempts = 5
	for range attempts {
		revision, found, err := h.store.Commit(ctx, t)
		switch {
		case err == nil:
			return revision, true
		case errors.Is(err, platform.ErrConflict):
			for _, i := range found {
				if i.Key == jobstore.OwnerRecordKey && string(i.Value) == value {
					return i.Revision, true
				}
			}
			return 0, false
		case errors.Is(err, platform.ErrOutcomeUnknown):
			continue
		}
		return 0, false
	}
	return 0, false
}

// runOwner owns the pool until another host has taken over, or ctx ends.
func (h *Host) runOwner(ctx context.Context, claim poolowner.Claim, confirmedAt clock.Time) {
	k := &leaseKeeper{host: h, ownerRevision: claim.Revision}
	k.renewedAt.Store(int64(confirmedAt))
	var machines *platform.MachineClient
	if address := h.cfg.Load().MachinesAddress; address.IsValid() {
		machines = platform.NewMachineClient(address)
	}
	o := poolowner.New(poolowner.Deps{
		Machines: machines,
		Name:     h.cfg.Load().Name, Hall: h.cfg.Load().Zone, Clock: h.clk, Store: h.store, Workers: h.workers, WorkerTimeout: workerTimeout, Bounds: h.cfg.Load().Bounds, HeartbeatInterval: h.cfg.Load().HeartbeatInterval,
		Advise: h.advise, Write: h.writeForMember, ReadOperatorKeys: h.readOperatorKeys, StoreAge: h.storeAge, HasLease: k.isConfirmed, Log: h.log, Strength: hostStrength(*h.cfg.Load()), LinkMbps: h.cfg.Load().LinkMbps, Metrics: h.metrics.registry,
	}, claim)
	o.SetConfig(h.config.Load())
	h.owner.Store(o)
	o.SetConfig(h.config.Load()) // one that arrived in between: applyConfig had no owner to pass it to
	h.sendWaves(o)
	h.sendEvacuations()
	ctx, cancel := context.WithCancel(ctx)
	h.background.Go(func() { k.run(ctx, o) })
	err := o.Run(ctx)
	cancel()
	h.owner.Store(nil)
	h.log.WithFields(logrus.Fields{"term": claim.Term, "error": err}).Info("owner_ended")
}

// maintainLink maintains a link to the owner while another host is the owner. It runs until ctx ends.
func (h *Host) maintainLink(ctx context.Context) {
	for ctx.Err() == nil {
		e := &h.election
		e.mu.Lock()
		record, revision := e.ownerRecord, e.revision
		e.mu.Unlock()
		if revision == 0 || record.Incarnation == h.incarnation || record.Name == h.cfg.Load().Name {
			clock.Sleep(ctx, linkRetryInterval)
			continue
		}
		h.runLink(ctx, record)
		clock.Sleep(ctx, linkRetryInterval)
	}
}

// runLink runs one link to an owner until it breaks or another host is recorded as the owner.
func (h *Host) runLink(ctx context.Context, record jobstore.OwnerRecord) {
	d := net.Dialer{Timeout: linkTimeout}
	conn, err := d.DialContext(ctx, "tcp", record.Address.String())
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	calls := relay.NewServer(relay.DirectCalls(h.workers), h.recordOmittedCheckpoints)
	m := poolrpc.NewMember(poolrpc.MemberHandlers{
		Status: h.memberStatus, Advise: h.advise, Orders: calls.HandleOrders,
		OwnerStatus: func(s *poolpb.OwnerStatus) { h.handleOwnerStatus(record, s) },
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
				if h.ownerIncarnation() != record.Incarnation {
					return
				}
			}
		}
	}()
	_ = m.Run(ctx, h.peerBytes.Conn(conn))
}

// knownOwner returns the revision of the latest owner's record that this host knows, and the term of that
// owner; 0 for none.
func (h *Host) knownOwner() (revision, term int64) {
	h.election.mu.Lock()
	defer h.election.mu.Unlock()
	return h.election.revision, h.election.ownerRecord.Term
}

// handleFoundOwnerRecord applies an owner's record that a write has found in the store.
func (h *Host) handleFoundOwnerRecord(i platform.Item) {
	h.election.mu.Lock()
	defer h.election.mu.Unlock()
	h.applyOwnerRecord(i)
}

// knownTerm returns the highest term of an owner that this host knows.
func (h *Host) knownTerm() int64 {
	_, term := h.knownOwner()
	return term
}

func (h *Host) ownerIncarnation() string {
	h.election.mu.Lock()
	defer h.election.mu.Unlock()
	return h.election.ownerRecord.Incarnation
}

func (h *Host) memberStatus() *poolpb.MemberStatus {
	return &poolpb.MemberStatus{Name: h.cfg.Load().Name, StoreAgeMs: h.storeAge().Milliseconds(), Stopping: h.stopping.Load(), ReadsSegments: true, KeptSpecBytes: relay.KeptSpecBytes,
		Strength: int64(hostStrength(*h.cfg.Load())), Hall: h.cfg.Load().Zone,
		MostWorkers: int64(min(relay.MaxWorkersForLink(h.cfg.Load().LinkMbps), relay.MaxWorkersPerRelay))}
}

// recordOmittedCheckpoints logs and counts a report that this host passed on without its largest checkpoints.
func (h *Host) recordOmittedCheckpoints(worker dispatch.WorkerID, bytes, maxBytes int) {
	h.metrics.checkpointsOmitted.Inc(1)
	h.log.WithFields(logrus.Fields{"worker": worker, "bytes": bytes, "max_bytes": maxBytes}).Warn("checkpoints_not_relayed")
}

// handleOwnerStatus applies a heartbeat of the owner.
func (h *Host) handleOwnerStatus(record jobstore.OwnerRecord, s *poolpb.OwnerStatus) {
	e := &h.election
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ownerRecord.Incarnation != record.Incarnation || e.ownerRecord.Term != s.Term {
		return
	}
	e.lastHeardAt = h.clk.Now()
	h.refusedQueues.set(s.Refusals, e.lastHeardAt)
	h.limits.set(s.Limits, e.lastHeardAt)
	h.applyOwnerReach(s)
	h.lookupLimiter.setHosts(int(s.Hosts))
	e.heartbeatInterval = time.Duration(s.HeartbeatMs) * time.Millisecond
	e.askedToTakeOver = s.Yield == h.cfg.Load().Name
}
