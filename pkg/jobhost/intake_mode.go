package jobhost

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/pkg/poolrpc"
	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
	"foldarch.dev/foldarch/pkg/reach"
	"github.com/sirupsen/logrus"
)

const (
	// checkInterval is the time between two checks whether the store must be probed. It is also the time
	// between two probes by the owner, because the other hosts learn from the owner at once that the
	// store has recovered.
	lookEvery = 50 * time.Millisecond
	// probeStoreAge is the age of the store's last answer from which on a host may probe the store.
	// ownerProbeStoreAge applies to the owner, which calls the store every 0.4 s anyway.
	probeAfter      = 400 * time.Millisecond
	ownerProbeAfter = 500 * time.Millisecond
	// probeInterval is the time between two probes of a host without a responsive owner,
	// linkedProbeInterval that of a host with one.
	probeEvery      = 100 * time.Millisecond
	heardProbeEvery = 400 * time.Millisecond
	// probeReadShare is the share of the store's read rate that the probes of all hosts may use.
	// recoveryReadShare applies when all hosts probe at once because they have learned that the store has
	// recovered.
	probeShare = 0.25
	burstShare = 0.5
)

// modeState is the mode in which this host handles submitted jobs, which depends on whether it reaches
// the store and the owner (package reach). It is safe for concurrent use.
type gate struct {
	mu       sync.Mutex
	gate     reach.Gate
	logged   reach.Row
	closedAt clock.Time // when the host stopped accepting jobs
}

// mode returns the mode in which this host is now.
func (h *Host) row() reach.Row {
	v := h.view()
	h.gate.mu.Lock()
	defer h.gate.mu.Unlock()
	return h.gate.gate.Row(v, h.clk.Now())
}

// observe returns what this host knows about the store and the owner.
func (h *Host) view() reach.View {
	v := reach.View{StoreAnswers: h.storeAnswers() && !h.intake.distrusts() && !h.probeFailed()}
	switch o := h.owner.Load(); {
	case v.StoreAnswers:
		v.Owner.Heard = h.hearsOwner()
	case o != nil:
		v.Owner = o.Reach()
		v.Owner.Self = true
	case h.hearsOwner():
		v.Owner = h.ownerReach()
	}
	return v
}

// ownerView returns what the owner has last reported about whom it reaches.
func (h *Host) ownerReach() reach.Owner {
	if reported := h.toldReach.Load(); reported != nil {
		return *reported
	}
	return reach.Owner{Heard: true}
}

// applyOwnerReach applies what the owner reports about whom it reaches.
func (h *Host) takeReach(s *poolpb.OwnerStatus) {
	reported := &reach.Owner{
		Heard: true, StoreAge: time.Duration(s.StoreAgeMs) * time.Millisecond, OtherHalls: int(s.OtherHalls), HallsLost: s.HallsLost,
	}
	previous := h.toldReach.Swap(reported)
	h.hosts.Store(int64(s.Hosts))
	if previous == nil || previous.StoreAnswers() || !reported.StoreAnswers() {
		return
	}
	select {
	case h.ownerStoreBack <- struct{}{}:
	default:
	}
}

// hasStoreAnswered reports whether the store has answered recently enough to count as reachable.
func (h *Host) storeAnswers() bool {
	extraWait := operatorWait(h.cfg.Load().Bounds) - configWait // an idle host calls the store only this often
	return h.storeAge() < storeFresh+max(extraWait, 0)
}

// isOwnerResponsive reports whether this host owns the pool or has received a recent heartbeat of the
// owner.
func (h *Host) hearsOwner() bool {
	if h.owner.Load() != nil {
		return true
	}
	m := h.member.Load()
	return m != nil && h.clk.Now().Sub(m.HeardAt()) < reach.SilenceOf(m.Heartbeat())
}

// isLinked reports whether this host owns the pool or has a link to the owner. The link may have been
// without a heartbeat for a short time.
func (h *Host) linked() bool {
	return h.owner.Load() != nil || h.member.Load() != nil
}

// watchStore probes the store when it may be unreachable, and logs changes of the mode. It runs until ctx
// ends.
//
// In a pool of hundreds of hosts each one calls the store seldom, so that a lack of answers alone would
// reveal an outage of the store late. A host therefore probes the store as soon as it misses a heartbeat
// of the owner, or the owner reports that it has lost the store.
func (h *Host) watchReach(ctx context.Context) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.store.Back():
			h.storeBack()
		case <-h.ownerStoreBack:
			h.duties.Go(func() {
				clock.Sleep(ctx, rand.N(h.spaced(burstShare)+time.Millisecond))
				h.probe(ctx)
			})
		case <-ticker.C:
			h.probeStore(ctx)
		}
		if h.intake.distrusts() {
			h.intake.queue.refuseAll("the store does not answer")
		}
		h.logRow()
	}
}

// handleStoreRecovery lets waiting writes continue at once, and informs the other hosts if this host is
// the owner.
func (h *Host) storeBack() {
	h.intake.storeBack()
	if o := h.owner.Load(); o != nil {
		o.TellStatus()
	}
}

// probeStore starts a probe of the store if one is needed and due. Probes may overlap: a probe that was
// sent during an outage is never answered, and must not delay the next one.
func (h *Host) probeStore(ctx context.Context) {
	now := h.clk.Now()
	if !h.mayHaveLostStore() || now.Sub(h.probedAt) < h.probePause() {
		return
	}
	h.probedAt = now
	h.duties.Go(func() { h.probe(ctx) })
}

// needsProbe reports whether the store has not answered this host recently and no responsive owner
// reports that it reaches the store.
func (h *Host) mayHaveLostStore() bool {
	if h.owner.Load() != nil {
		return h.storeAge() >= ownerProbeAfter
	}
	return h.storeAge() >= probeAfter && !(h.hearsOwner() && h.ownerReach().StoreAnswers())
}

// nextProbeInterval returns the time between two probes of this host.
func (h *Host) probePause() time.Duration {
	switch {
	case h.owner.Load() != nil:
		return lookEvery
	case h.hearsOwner():
		return max(heardProbeEvery, h.spaced(probeShare))
	}
	return max(probeEvery, h.spaced(probeShare))
}

// sharedReadInterval returns the time between two reads of this host at which the reads of all hosts
// together use the given share of the store's read rate.
func (h *Host) spaced(share float64) time.Duration {
	reads := h.cfg.Load().Store.ReadsPerSecond
	if reads <= 0 {
		return 0
	}
	hosts := cmp.Or(h.hosts.Load(), unknownHosts)
	return time.Duration(float64(hosts) / (share * reads) * float64(time.Second))
}

// probe reads a key of the store to find out whether the store answers.
func (h *Host) probe(ctx context.Context) {
	began := h.clk.Now()
	if h.store.Reached(ctx, jobstore.HolderKey) || ctx.Err() != nil || h.store.LastAnswer() >= began {
		return
	}
	h.probeFailedAt.Store(int64(h.clk.Now()))
	h.store.Doubt()
}

// isProbeUnanswered reports whether a probe got no answer and nothing was answered since.
func (h *Host) probeFailed() bool {
	return h.store.SilentSince(clock.Time(h.probeFailedAt.Load()))
}

// logModeChange logs when this host starts or stops accepting jobs, or when the reason for not accepting
// them changes.
func (h *Host) logRow() {
	if h.config.Load() == nil {
		return
	}
	row, now := h.row(), h.clk.Now()
	s := &h.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.logged
	s.logged = row
	wasOpen := previous == "" || previous.Open()
	switch {
	case row == previous || wasOpen && row.Open():
		return
	case row.Open():
		h.log.WithFields(logrus.Fields{"row": row, "closed_as": previous, "closed_ms": now.Sub(s.closedAt).Milliseconds()}).Info("door_open")
		return
	case wasOpen:
		s.closedAt = now
	}
	h.log.WithFields(logrus.Fields{"row": row, "ready": row.Ready(), "store_age_ms": h.storeAge().Milliseconds()}).Warn("door_closed")
}

// ownerForWrites returns the link over which the owner can be asked to write. It is nil if there is no
// link, the owner is not responsive, or the owner does not reach the store.
func (h *Host) ownerToWrite() *poolrpc.Member {
	if !h.hearsOwner() || !h.ownerReach().StoreAnswers() {
		return nil
	}
	return h.member.Load()
}
