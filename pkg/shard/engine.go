package shard

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"foldarch.dev/foldarch/pkg/batch"
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/endpoint"
	"foldarch.dev/foldarch/pkg/keys"
	"foldarch.dev/foldarch/pkg/placement"
	"foldarch.dev/foldarch/pkg/routing"
	"foldarch.dev/foldarch/pkg/settings"
	"foldarch.dev/foldarch/pkg/store"
	"foldarch.dev/foldarch/pkg/worker"
	"github.com/sirupsen/logrus"
)

// Config configures an engine.
type Config struct {
	Shard cell.ShardID
	Epoch cell.Epoch
	// TaskLease is the duration of a worker's lease on its tasks.
	TaskLease time.Duration
	// ReportEvery is the longest time between two exchanges with a worker, each of which
	// renews the worker's leases and returns its report.
	ReportEvery time.Duration
	// MaxTransitTime is the longest time for which something that the previous owner sent may
	// still be in transit.
	MaxTransitTime time.Duration
	// JournalInterval is the shortest time between two writes of the journal.
	JournalInterval time.Duration
	Keys            keys.Config
}

// clockMargin is added to leases and time limits because clocks on different hosts run at
// slightly different rates.
const clockMargin = 250 * time.Millisecond

// Deps are the dependencies of an engine.
type Deps struct {
	Clock     clock.Clock
	Workers   *worker.Client
	Endpoints *endpoint.Client
	// Authority returns the epoch in which this process owns the shard, when its authority
	// ends, and whether it has any now; see ownership.Controller.Authority.
	Authority func() (cell.Epoch, clock.Time, bool)
	// LoadBatches reads all batch segments of the shard from the store.
	LoadBatches func(ctx context.Context) ([]batch.Segment, error)
	// StoreAvailable reports whether the store has answered recently.
	StoreAvailable func() bool
	// PutSegment writes a batch segment to the store.
	PutSegment func(ctx context.Context, key, value string) (revision int64, err error)
	// RemoveSegment removes a batch segment from the store if it still has the given revision.
	RemoveSegment func(ctx context.Context, key string, revision int64) error
	// Delegate has another shard run a request; home is the key's home shard, which is this one.
	Delegate func(home cell.ShardID, c Call) Answer
	Log      *logrus.Entry
}

// Engine is the owner of one shard during one epoch. It is safe for concurrent use.
type Engine struct {
	cfg           Config
	deps          Deps
	journal       *batch.Journal
	wakePlacement chan struct{} // wakes the placement goroutine
	stopped       atomic.Bool

	mu         sync.Mutex
	router     *routing.Router
	placer     *placement.Placer
	keyTable   *keys.Table
	batches    *batch.RequestTable
	segments   *batch.SegmentIndex
	tree       *settings.Tree
	desired    map[string]settings.Workload // service tasks of this shard, by id
	workers    map[string]*workerController
	endpoints  map[string]*endpointState
	storingEnd map[batch.ID]bool // requests whose end is being stored
	startedAt  clock.Time
	recovery   recoveryState
	retries    retryBudget
	goroutines sync.WaitGroup
	runCtx     context.Context
	inFlight   int
}

// recoveryState is the progress of a new owner in recovering the state that the previous owner left.
type recoveryState struct {
	inherited     bool // the shard had an owner before
	hostsKnown    bool // the platform's host list was received
	batchesLoaded bool // the batch requests were read from the store
	// complete says that recovery is complete: hosts and batch requests are known, and all
	// workers have reported or the leases that the previous owner gave them have expired.
	complete bool
}

// New returns an engine. Run starts its goroutines; they end with ctx. In the first epoch
// of a shard there is no previous owner, so nothing has to be recovered from one.
func New(ctx context.Context, cfg Config, deps Deps) *Engine {
	e := &Engine{
		runCtx: ctx, cfg: cfg, deps: deps, wakePlacement: make(chan struct{}, 1),
		router: routing.New(), placer: placement.New(placement.DefaultConfig), batches: batch.NewRequestTable(),
		desired: map[string]settings.Workload{}, workers: map[string]*workerController{},
		endpoints: map[string]*endpointState{}, storingEnd: map[batch.ID]bool{}, startedAt: deps.Clock.Now(),
		retries: newRetryBudget(), segments: batch.NewSegmentIndex(),
	}
	e.recovery.inherited = cfg.Epoch > 1
	takeoverTime := time.Time{}
	if e.recovery.inherited {
		takeoverTime = deps.Clock.Wall()
	}
	e.keyTable = keys.New(cfg.Keys, takeoverTime)
	e.journal = batch.NewJournal(cfg.Shard, cfg.JournalInterval, batch.JournalDeps{
		Put: deps.PutSegment, Authorized: e.authorized, Stored: e.handleStoredSegment,
	})
	return e
}

// Run runs the engine until its ctx ends. It then refuses the requests that wait for an
// endpoint, and returns when its goroutines have ended. Calls whose request was already
// sent finish in the goroutines of their callers.
func (e *Engine) Run() {
	ctx := e.runCtx
	e.goroutines.Go(func() { e.journal.Run(ctx) })
	e.goroutines.Go(func() { e.runExpiry(ctx) })
	e.goroutines.Go(func() { e.runPlacement(ctx) })
	e.goroutines.Go(func() { e.runHealthChecks(ctx) })
	e.goroutines.Go(func() { e.recoverBatches(ctx) })
	e.goroutines.Go(func() { e.runSegmentRemoval(ctx) })
	<-ctx.Done()
	e.stopped.Store(true)
	e.refuseWaiting()
	e.goroutines.Wait()
}

// authorized reports whether this process still owns the shard in the engine's epoch. It is
// called right before anything is sent.
func (e *Engine) authorized() bool {
	epoch, _, ok := e.deps.Authority()
	return ok && epoch == e.cfg.Epoch
}

// SetTree applies new settings: services and their instances, limits and quotas.
func (e *Engine) SetTree(tree *settings.Tree) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.tree
	e.tree = tree
	e.updateServices(old)
	e.updateQuotas()
	e.updateInstances()
	e.wake()
}

// updateServices passes the services of the new settings to the router, and refuses the
// waiting requests of services that old contains and the new settings do not.
func (e *Engine) updateServices(old *settings.Tree) {
	for _, w := range e.tree.Sorted() {
		if w.Kind == settings.KindService {
			e.router.PutService(w.Name, routing.Service{QueueLimit: w.Queue})
		}
	}
	if old == nil {
		return
	}
	for name := range old.Workloads {
		if _, ok := e.tree.Workloads[name]; ok {
			continue
		}
		for _, request := range e.router.RemoveService(name) {
			e.deliver(routing.Decision{Kind: routing.NoService, Request: request})
		}
	}
}

// updateQuotas sets this shard's part of each team's quota: the quota divided by the number
// of shards of the cell, rounded up.
func (e *Engine) updateQuotas() {
	n := int64(max(len(e.tree.Layout.Shards()), 1))
	quotas := make(map[string]cell.Resources, len(e.tree.Quotas))
	for team, quota := range e.tree.Quotas {
		quotas[team] = cell.Resources{
			CPUMillis: (quota.CPUMillis + n - 1) / n, MemoryMB: (quota.MemoryMB + n - 1) / n,
			Accelerators: (quota.Accelerators + n - 1) / n,
		}
	}
	e.placer.SetQuotas(quotas)
}

// SetHosts applies the platform's host list. It has no effect before the first SetTree and
// after the engine's ctx has ended.
func (e *Engine) SetHosts(hosts []store.Host) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.tree == nil || e.runCtx.Err() != nil {
		return
	}
	e.recovery.hostsKnown = true
	for _, h := range hosts {
		shard, ok := e.tree.Layout.ShardOf(h.Hall, h.ID)
		if h.Worker && ok && shard == e.cfg.Shard {
			e.updateHost(h)
		}
	}
	e.wake()
}

// updateHost records the state of a worker host and starts a controller for a new one. A
// worker whose host is leaving is drained; it takes tasks again when the host returns to
// the state live.
func (e *Engine) updateHost(h store.Host) {
	w, known := e.workers[h.ID]
	if !known && h.State == store.HostGone {
		return
	}
	if !known {
		w = newWorkerController(e, h)
		e.workers[h.ID] = w
		e.goroutines.Go(func() { w.run(e.runCtx) })
	}
	w.leaving = w.leaving || h.State == store.HostLeaving
	if h.State == store.HostLive && w.host.State != store.HostLive {
		w.leaving = false
	}
	w.host = h
	if w.leaving {
		e.drainWorker(w)
	}
}

// wake makes the placement goroutine run without waiting for its next interval.
func (e *Engine) wake() {
	select {
	case e.wakePlacement <- struct{}{}:
	default:
	}
}

// now returns the time on the monotonic clock.
func (e *Engine) now() clock.Time {
	return e.deps.Clock.Now()
}
