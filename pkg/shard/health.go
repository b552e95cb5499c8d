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

// healthCheck is a check of an endpoint that may run foreign requests: requests whose
// answer this owner does not wait for, because the previous owner sent them or because
// the answer was lost.
type doubt struct {
	id      string
	address netip.AddrPort
	// over says that foreign requests have ended because their time limit has passed.
	over bool
}

// runHealthChecks periodically asks the endpoints that may run foreign requests how many
// requests they run.
func (e *Engine) watchHealth(ctx context.Context) {
	clock.Every(ctx, healthEvery, func() {
		for _, check := range e.doubts() {
			e.askHealth(ctx, check)
		}
	})
}

// dueHealthChecks returns the checks to be made now. There are none while a request that
// the previous owner sent may still be in transit, since the answer would not count it.
func (e *Engine) doubts() []doubt {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.recovery.inherited && e.now() < e.began.Add(e.cfg.DispatchFlight) {
		return nil
	}
	var checks []doubt
	for _, id := range e.router.HasForeign() {
		state, ok := e.endpoints[id]
		if !ok {
			continue
		}
		limit := e.tree.Workloads[state.workload].TimeLimit
		checks = append(checks, doubt{id, state.address, e.now() > state.doubtSince.Add(limit+margin)})
	}
	return checks
}

// checkHealth asks an endpoint for its health and passes the number of its foreign
// requests to the router. When their time limit has passed there are none.
func (e *Engine) askHealth(ctx context.Context, check doubt) {
	health, ok, err := e.deps.Endpoints.Health(ctx, check.address, healthTimeout)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case check.over:
		e.decideAll(e.router.Foreign(check.id, 0, e.now()))
	case err == nil && ok:
		e.takeHealth(check.id, health)
	}
}

func (e *Engine) takeHealth(id string, health endpoint.Health) {
	if health.Leaving {
		e.router.Leaving(id)
	}
	e.decideAll(e.router.Foreign(id, health.InUse, e.now()))
}
