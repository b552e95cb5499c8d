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

// What a host can do with what callers hand in follows from whom the store answers and from what the owner hears (package reach). Where hundreds of
// hosts hear the owner and ask the store seldom, silence alone tells late that the store is away; so a host that misses a heartbeat of the owner,
// or whose owner has no store, asks the store.

const (
	// lookEvery is the time between two looks at whether the store has to be asked, which is also the time between two probes of the owner: all
	// others hear from it at once that the store is back.
	lookEvery = 50 * time.Millisecond
	// probeAfter is how long ago the store must have answered to be asked, and ownerProbeAfter how long for the owner, which calls it every 0.4 s.
	probeAfter      = 400 * time.Millisecond
	ownerProbeAfter = 500 * time.Millisecond
	// probeEvery is the time between two probes of a host that does not hear the owner, and heardProbeEvery of one that does.
	probeEvery      = 100 * time.Millisecond
	heardProbeEvery = 400 * time.Millisecond
	// probeShare is the part of the store's rate of reads that the probes of all hosts may take, and burstShare the part for the moment in which
	// all hear that the store is back.
	probeShare = 0.25
	burstShare = 0.5
)

// gate is the row of the table that this host is in. It is safe for concurrent use.
type gate struct {
	mu       sync.Mutex
	gate     reach.Gate
	logged   reach.Row
	closedAt clock.Time // when the row that is logged was closed first
}

// row is the row of the table that this host is in now.
func (h *Host) row() reach.Row {
	v := h.view()
	h.gate.mu.Lock()
	defer h.gate.mu.Unlock()
	return h.gate.gate.Row(v, h.clk.Now())
}

// view is what this host knows of the store and the owner.
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

// ownerReach is what the owner told last of whom it reaches.
func (h *Host) ownerReach() reach.Owner {
	if told := h.toldReach.Load(); told != nil {
		return *told
	}
	return reach.Owner{Heard: true}
}

// takeReach takes in what the owner tells of whom it reaches.
func (h *Host) takeReach(s *poolpb.OwnerStatus) {
	told := &reach.Owner{
		Heard: true, StoreAge: time.Duration(s.StoreAgeMs) * time.Millisecond, OtherHalls: int(s.OtherHalls), HallsLost: s.HallsLost,
	}
	former := h.toldReach.Swap(told)
	h.hosts.Store(int64(s.Hosts))
	if former == nil || former.StoreAnswers() || !told.StoreAnswers() {
		return
	}
	select {
	case h.ownerStoreBack <- struct{}{}:
	default:
	}
}

// storeAnswers says whether the store has answered lately.
func (h *Host) storeAnswers() bool {
	longer := operatorWait(h.cfg.Load().Bounds) - configWait // a host that does nothing else hears of the store that seldom
	return h.storeAge() < storeFresh+max(longer, 0)
}

// hearsOwner says whether this host owns the pool or has heard the owner lately.
func (h *Host) hearsOwner() bool {
	if h.owner.Load() != nil {
		return true
	}
	m := h.member.Load()
	return m != nil && h.clk.Now().Sub(m.HeardAt()) < reach.SilenceOf(m.Heartbeat())
}

// linked says whether this host owns the pool or has a link to the owner, which may be silent for a little.
func (h *Host) linked() bool {
	return h.owner.Load() != nil || h.member.Load() != nil
}

// watchReach is the duty that asks the store whether it answers when there is a reason to doubt it, and logs the row of the table.
func (h *Host) watchReach(ctx context.Context) {
	look := time.NewTicker(lookEvery)
	defer look.Stop()
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
		case <-look.C:
			h.probeStore(ctx)
		}
		if h.intake.distrusts() {
			h.intake.queue.refuseAll("the store does not answer")
		}
		h.logRow()
	}
}

// storeBack has what waits for the store go on at once, and the members learn that the owner reaches it.
func (h *Host) storeBack() {
	h.intake.storeBack()
	if o := h.owner.Load(); o != nil {
		o.TellStatus()
	}
}

// probeStore begins to ask the store whether it answers, if there is a reason and the time has come. Probes overlap: one that was sent while the store is silent
// is never answered, and must not keep the next one back.
func (h *Host) probeStore(ctx context.Context) {
	now := h.clk.Now()
	if !h.mayHaveLostStore() || now.Sub(h.probedAt) < h.probePause() {
		return
	}
	h.probedAt = now
	h.duties.Go(func() { h.probe(ctx) })
}

// mayHaveLostStore says that the store has not answered lately, and that nobody who is heard reaches it.
func (h *Host) mayHaveLostStore() bool {
	if h.owner.Load() != nil {
		return h.storeAge() >= ownerProbeAfter
	}
	return h.storeAge() >= probeAfter && !(h.hearsOwner() && h.ownerReach().StoreAnswers())
}

// probePause is the time between two probes of this host.
func (h *Host) probePause() time.Duration {
	switch {
	case h.owner.Load() != nil:
		return lookEvery
	case h.hearsOwner():
		return max(heardProbeEvery, h.spaced(probeShare))
	}
	return max(probeEvery, h.spaced(probeShare))
}

// spaced is the time between two probes of this host at which those of all hosts take a share of the store's rate of reads.
func (h *Host) spaced(share float64) time.Duration {
	reads := h.cfg.Load().Store.ReadsPerSecond
	if reads <= 0 {
		return 0
	}
	hosts := cmp.Or(h.hosts.Load(), unknownHosts)
	return time.Duration(float64(hosts) / (share * reads) * float64(time.Second))
}

// probe asks the store whether it answers.
func (h *Host) probe(ctx context.Context) {
	began := h.clk.Now()
	if h.store.Reached(ctx, jobstore.HolderKey) || ctx.Err() != nil || h.store.LastAnswer() >= began {
		return
	}
	h.probeFailedAt.Store(int64(h.clk.Now()))
	h.store.Doubt()
}

// probeFailed says that a probe got no answer, and that nothing was answered since.
func (h *Host) probeFailed() bool {
	return h.store.SilentSince(clock.Time(h.probeFailedAt.Load()))
}

// logRow logs when the intake of this host closes, opens, or is closed for another reason.
func (h *Host) logRow() {
	if h.config.Load() == nil {
		return
	}
	row, now := h.row(), h.clk.Now()
	g := &h.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	former := g.logged
	g.logged = row
	wasOpen := former == "" || former.Open()
	switch {
	case row == former || wasOpen && row.Open():
		return
	case row.Open():
		h.log.WithFields(logrus.Fields{"row": row, "closed_as": former, "closed_ms": now.Sub(g.closedAt).Milliseconds()}).Info("door_open")
		return
	case wasOpen:
		g.closedAt = now
	}
	h.log.WithFields(logrus.Fields{"row": row, "ready": row.Ready(), "store_age_ms": h.storeAge().Milliseconds()}).Warn("door_closed")
}

// ownerToWrite is the link over which the owner can be asked to write; nil when there is none, the owner is silent, or the store does not answer it.
func (h *Host) ownerToWrite() *poolrpc.Member {
	if !h.hearsOwner() || !h.ownerReach().StoreAnswers() {
		return nil
	}
	return h.member.Load()
}
