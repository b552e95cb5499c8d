package shard

import (
	"context"
	"net/netip"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/endpoint"
)

const (
	healthInterval = 250 * time.Millisecond
	healthTimeout  = 300 * time.Millisecond
)

// healthCheck is a check of an endpoint that may run orphaned requests: requests whose
// answer this owner does not wait for, because the previous owner sent them or because
// the answer was lost.
type healthCheck struct {
	id      string
	address netip.AddrPort
	// orphansEnded says that the orphaned requests have ended because their time limit has passed.
	orphansEnded bool
}

// runHealthChecks periodically asks the endpoints that may run orphaned requests how many
// requests they run.
func (e *Engine) runHealthChecks(ctx context.Context) {
	clock.Every(ctx, healthInterval, func() {
		for _, check := range e.dueHealthChecks() {
			e.checkHealth(ctx, check)
		}
	})
}

// dueHealthChecks returns the checks to be made now. There are none while a request that
// the previous owner sent may still be in transit, since the answer would not count it.
func (e *Engine) dueHealthChecks() []healthCheck {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.recovery.inherited && e.now() < e.startedAt.Add(e.cfg.MaxTransitTime) {
		return nil
	}
	var checks []healthCheck
	for _, id := range e.router.EndpointsWithOrphans() {
		state, ok := e.endpoints[id]
		if !ok {
			continue
		}
		limit := e.tree.Workloads[state.workload].TimeLimit
		checks = append(checks, healthCheck{id, state.address, e.now() > state.orphansSince.Add(limit+clockMargin)})
	}
	return checks
}

// checkHealth asks an endpoint for its health and passes an upper bound on its orphaned
// requests to the router: 0 once their time limit has passed, otherwise the number of
// requests that the endpoint runs.
func (e *Engine) checkHealth(ctx context.Context, check healthCheck) {
	health, ok, err := e.deps.Endpoints.Health(ctx, check.address, healthTimeout)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case check.orphansEnded:
		e.deliverAll(e.router.UpdateOrphans(check.id, 0, e.now()))
	case err == nil && ok:
		e.applyHealth(check.id, health)
	}
}

func (e *Engine) applyHealth(id string, health endpoint.Health) {
	if health.Leaving {
		e.router.MarkLeaving(id)
	}
	e.deliverAll(e.router.UpdateOrphans(id, health.InUse, e.now()))
}
