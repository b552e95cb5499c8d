package jobhost

import (
	"context"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/pkg/poolrpc"
)

// A host that reaches neither the store nor the owner can take in nothing. It says so to the platform's balancer and refuses jobs at once, so that
// their callers come to other halls while their deadlines allow it. Where hundreds of hosts hear the owner and ask the store seldom, silence
// alone tells that late; so a host that misses a heartbeat of the owner asks the store.

const (
	// missedBeats is for how many of its heartbeats the owner must not have been heard for it to count as silent, and leastSilence for how
	// long at least.
	missedBeats  = 1.3
	leastSilence = 900 * time.Millisecond
	// probeEvery is the time between two looks at whether the store has to be asked, and probeAfter how long ago it must have answered.
	probeEvery = 100 * time.Millisecond
	probeAfter = 400 * time.Millisecond
)

// storeAnswers says whether the store has answered lately.
func (h *Host) storeAnswers() bool {
	longer := operatorWait(h.cfg.Load().Bounds) - configWait // a host that does nothing else hears of the store that seldom
	return h.storeAge() < storeFresh+max(longer, 0)
}

// cutOff says that this host reaches neither the store nor the owner, so that it can take in nothing. A
// call that failed tells sooner than the silence of the store.
func (h *Host) cutOff() bool {
	return !h.hearsOwner() && (!h.storeAnswers() || h.intake.distrusts() || h.probeFailed.Load())
}

// hearsOwner says whether this host owns the pool or has heard the owner lately.
func (h *Host) hearsOwner() bool {
	if h.owner.Load() != nil {
		return true
	}
	m := h.member.Load()
	return m != nil && h.clk.Now().Sub(m.HeardAt()) < silenceOf(m.Heartbeat())
}

// silenceOf is from when on an owner counts as silent whose heartbeats should come each so often.
func silenceOf(heartbeat time.Duration) time.Duration {
	return max(leastSilence, time.Duration(missedBeats*float64(heartbeat)))
}

// linked says whether this host owns the pool or has a link to the owner, which may be silent for a little.
func (h *Host) linked() bool {
	return h.owner.Load() != nil || h.member.Load() != nil
}

// probeStore is the duty that asks the store whether it answers when the owner is not heard.
func (h *Host) probeStore(ctx context.Context) {
	clock.Every(ctx, probeEvery, func() {
		if h.hearsOwner() || h.storeAge() < probeAfter {
			h.probeFailed.Store(false)
			return
		}
		h.probeFailed.Store(!h.store.Reached(ctx, jobstore.HolderKey))
	})
}

// ownerToWrite is the link over which the owner can be asked to write; nil when there is none, or the owner is silent.
func (h *Host) ownerToWrite() *poolrpc.Member {
	if !h.hearsOwner() {
		return nil
	}
	return h.member.Load()
}
