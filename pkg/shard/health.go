package shard

import (
	"context"
	"net/netip"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/endpoint"
)

const (
	healthEvery   = 250 * time.Millisecond
	healthTimeout = 300 * time.Millisecond
)

// doubt is an endpoint that may run requests for which nobody here waits.
type doubt struct {
	id      string
	address netip.AddrPort
	// over is when such requests have run for their time limit.
	over bool
}

// watchHealth is the duty that asks endpoints in doubt what they run.
func (e *Engine) watchHealth(ctx context.Context) {
	clock.Every(ctx, healthEvery, func() {
		for _, d := range e.doubts() {
			e.askHealth(ctx, d)
		}
	})
}

// doubts lists the endpoints to ask; none while a request of the former owner may still
// be on its way to one.
func (e *Engine) doubts() []doubt {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.recovery.inherited && e.now() < e.began.Add(e.cfg.DispatchFlight) {
		return nil
	}
	var list []doubt
	for _, id := range e.router.HasForeign() {
		state, ok := e.endpoints[id]
		if !ok {
			continue
		}
		limit := e.tree.Workloads[state.workload].TimeLimit
		list = append(list, doubt{id, state.address, e.now() > state.doubtSince.Add(limit+margin)})
	}
	return list
}

func (e *Engine) askHealth(ctx context.Context, d doubt) {
	h, ok, err := e.deps.Endpoints.Health(ctx, d.address, healthTimeout)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case d.over:
		e.decideAll(e.router.Foreign(d.id, 0, e.now()))
	case err == nil && ok:
		e.takeHealth(d.id, h)
	}
}

func (e *Engine) takeHealth(id string, h endpoint.Health) {
	if h.Leaving {
		e.router.Leaving(id)
	}
	e.decideAll(e.router.Foreign(id, h.InUse, e.now()))
}
