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
	checkInterval = 50 * time.Millisecond
	// probeStoreAge is the age of the store's last answer from which on a host may probe the store.
	// ownerProbeStoreAge applies to the owner, which calls the store every 0.4 s anyway.
	probeStoreAge      = 400 * time.Millisecond
	ownerProbeStoreAge = 500 * time.Millisecond
	// probeInterval is the time between two probes of a host without a responsive owner,
	// linkedProbeInterval that of a host with one.
	probeInterval       = 100 * time.Millisecond
	linkedProbeInterval = 400 * time.Millisecond
	// probeReadShare is the share of the store's read rate that the probes of all hosts may use.
	// recoveryReadShare applies when all hosts probe at once because they have learned that the store has
	// recovered.
	probeReadShare    = 0.25
	recoveryReadShare = 0.5
)

// modeState is the mode in which this host handles submitted jobs, which depends on whether it reaches
// the store and the owner (package reach). It is safe for concurrent use.
type modeState struct {
	mu       sync.Mutex
	tracker  reach.ModeTracker
	logged   reach.Mode
	closedAt clock.Time // when the host stopped accepting jobs
}

// mode returns the mode in which this host is now.
func (h *Host) mode() reach.Mode {
	observation := h.observe()
	h.intakeMode.mu.Lock()
	defer h.intakeMode.mu.Unlock()
	return h.intakeMode.tracker.Update(observation, h.clk.Now())
}

// observe returns what this host knows about the store and the owner.
func (h *Host) observe() reach.Observation {
	observation := reach.Observation{StoreAnswers: h.hasStoreAnswered() && !h.writer.isStoreUnresponsive() && !h.isProbeUnanswered()}
	switch o := h.owner.Load(); {
	case observation.StoreAnswers:
		observation.Owner.Responsive = h.isOwnerResponsive()
	case o != nil:
		observation.Owner = o.Reach()
		observation.Owner.IsThisHost = true
	case h.isOwnerResponsive():
		observation.Owner = h.ownerView()
	}
	return observation
}

// ownerView returns what the owner has last reported about whom it reaches.
func (h *Host) ownerView() reach.OwnerView {
	if reported := h.reportedOwner.Load(); reported != nil {
		return *reported
	}
	return reach.OwnerView{Responsive: true}
}

// applyOwnerReach applies what the owner reports about whom it reaches.
func (h *Host) applyOwnerReach(s *poolpb.OwnerStatus) {
	reported := &reach.OwnerView{
		Responsive: true, StoreAge: time.Duration(s.StoreAgeMs) * time.Millisecond, OtherHalls: int(s.OtherHalls), HallsLost: s.HallsLost,
	}
	previous := h.reportedOwner.Swap(reported)
	h.hostCount.Store(int64(s.Hosts))
	if previous == nil || previous.ReachesStore() || !reported.ReachesStore() {
		return
	}
	select {
	case h.ownerStoreRecovered <- struct{}{}:
	default:
	}
}

// hasStoreAnswered reports whether the store has answered recently enough to count as reachable.
func (h *Host) hasStoreAnswered() bool {
	// An idle host calls the store only once per watch on the operator's keys.
	extraWait := operatorWatchWait(h.cfg.Load().Bounds) - configWatchWait
	return h.storeAge() < storeAnswerMaxAge+max(extraWait, 0)
}

// isOwnerResponsive reports whether this host owns the pool or has received a recent heartbeat of the
// owner.
func (h *Host) isOwnerResponsive() bool {
	if h.owner.Load() != nil {
		return true
	}
	m := h.member.Load()
	return m != nil && h.clk.Now().Sub(m.LastHeardAt()) < reach.SilenceTimeout(m.HeartbeatInterval())
}

// isLinked reports whether this host owns the pool or has a link to the owner. The link may have been
// without a heartbeat for a short time.
func (h *Host) isLinked() bool {
	return h.owner.Load() != nil || h.member.Load() != nil
}

// watchStore probes the store when it may be unreachable, and logs changes of the mode. It runs until ctx
// ends.
//
// In a pool of hundreds of hosts each one calls the store seldom, so that a lack of answers alone would
// reveal an outage of the store late. A host therefore probes the store as soon as it misses a heartbeat
// of the owner, or the owner reports that it has lost the store.
func (h *Host) watchStore(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.store.Recovered():
			h.handleStoreRecovery()
		case <-h.ownerStoreRecovered:
			h.background.Go(func() {
				clock.Sleep(ctx, rand.N(h.sharedReadInterval(recoveryReadShare)+time.Millisecond))
				h.probe(ctx)
			})
		case <-ticker.C:
			h.probeStore(ctx)
		}
		if h.writer.isStoreUnresponsive() {
			h.writer.queue.refuseAll("the store does not answer")
		}
		h.logModeChange()
	}
}

// handleStoreRecovery lets waiting writes continue at once, and informs the other hosts if this host is
// the owner.
func (h *Host) handleStoreRecovery() {
	h.writer.recordRecovery()
	if o := h.owner.Load(); o != nil {
		o.BroadcastStatus()
	}
}

// probeStore starts a probe of the store if one is needed and due. Probes may overlap: a probe that was
// sent during an outage is never answered, and must not delay the next one.
func (h *Host) probeStore(ctx context.Context) {
	now := h.clk.Now()
	if !h.needsProbe() || now.Sub(h.lastProbeAt) < h.nextProbeInterval() {
		return
	}
	h.lastProbeAt = now
	h.background.Go(func() { h.probe(ctx) })
}

// needsProbe reports whether the store has not answered this host recently and no responsive owner
// reports that it reaches the store.
func (h *Host) needsProbe() bool {
	if h.owner.Load() != nil {
		return h.storeAge() >= ownerProbeStoreAge
	}
	return h.storeAge() >= probeStoreAge && !(h.isOwnerResponsive() && h.ownerView().ReachesStore())
}

// nextProbeInterval returns the time between two probes of this host.
func (h *Host) nextProbeInterval() time.Duration {
	switch {
	case h.owner.Load() != nil:
		return checkInterval
	case h.isOwnerResponsive():
		return max(linkedProbeInterval, h.sharedReadInterval(probeReadShare))
	}
	return max(probeInterval, h.sharedReadInterval(probeReadShare))
}

// sharedReadInterval returns the time between two reads of this host at which the reads of all hosts
// together use the given share of the store's read rate.
func (h *Host) sharedReadInterval(share float64) time.Duration {
	reads := h.cfg.Load().Store.ReadsPerSecond
	if reads <= 0 {
		return 0
	}
	hosts := cmp.Or(h.hostCount.Load(), assumedHosts)
	return time.Duration(float64(hosts) / (share * reads) * float64(time.Second))
}

// probe reads a key of the store to find out whether the store answers.
func (h *Host) probe(ctx context.Context) {
	began := h.clk.Now()
	if h.store.Reachable(ctx, jobstore.OwnerRecordKey) || ctx.Err() != nil || h.store.LastAnswer() >= began {
		return
	}
	h.probeFailedAt.Store(int64(h.clk.Now()))
	h.store.ReportUnanswered()
}

// isProbeUnanswered reports whether a probe got no answer and nothing was answered since.
func (h *Host) isProbeUnanswered() bool {
	return h.store.NoAnswerSince(clock.Time(h.probeFailedAt.Load()))
}

// logModeChange logs when this host starts or stops accepting jobs, or when the reason for not accepting
// them changes.
func (h *Host) logModeChange() {
	if h.config.Load() == nil {
		return
	}
	mode, now := h.mode(), h.clk.Now()
	s := &h.intakeMode
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.logged
	s.logged = mode
	wasOpen := previous == "" || previous.AcceptsJobs()
	switch {
	case mode == previous || wasOpen && mode.AcceptsJobs():
		return
	case mode.AcceptsJobs():
		h.log.WithFields(logrus.Fields{"row": mode, "closed_as": previous, "closed_ms": now.Sub(s.closedAt).Milliseconds()}).Info("door_open")
		return
	case wasOpen:
		s.closedAt = now
	}
	h.log.WithFields(logrus.Fields{"row": mode, "ready": mode.IsReady(), "store_age_ms": h.storeAge().Milliseconds()}).Warn("door_closed")
}

// ownerForWrites returns the link over which the owner can be asked to write. It is nil if there is no
// link, the owner is not responsive, or the owner does not reach the store.
func (h *Host) ownerForWrites() *poolrpc.Member {
	if !h.isOwnerResponsive() || !h.ownerView().ReachesStore() {
		return nil
	}
	return h.member.Load()
}
