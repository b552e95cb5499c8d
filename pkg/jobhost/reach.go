package jobhost

import (
	"context"
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
	// probeEvery is the time between two looks at whether the store has to be asked, and probeAfter how long ago it must have answered.
	probeEvery = 100 * time.Millisecond
	probeAfter = 400 * time.Millisecond
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
	v := reach.View{StoreAnswers: h.storeAnswers() && !h.intake.distrusts() && !h.probeFailed.Load()}
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
	h.toldReach.Store(&reach.Owner{
		Heard: true, StoreAge: time.Duration(s.StoreAgeMs) * time.Millisecond, OtherHalls: int(s.OtherHalls), HallsLost: s.HallsLost,
	})
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
	clock.Every(ctx, probeEvery, func() {
		h.probeStore(ctx)
		h.logRow()
	})
}

// probeStore asks the store whether it answers, unless it has lately or the owner is heard and reaches it.
func (h *Host) probeStore(ctx context.Context) {
	if h.storeAge() < probeAfter || h.hearsOwner() && h.ownerHasStore() {
		h.probeFailed.Store(false)
		return
	}
	h.probeFailed.Store(!h.store.Reached(ctx, jobstore.HolderKey))
}

// ownerHasStore says that the store answers the owner, as it told last, or this host if it is the owner.
func (h *Host) ownerHasStore() bool {
	if o := h.owner.Load(); o != nil {
		return h.storeAnswers()
	}
	return h.ownerReach().StoreAnswers()
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
