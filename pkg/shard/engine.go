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

// Config says which shard an engine works for, and the times of its work.
type Config struct {
	Shard cell.ShardID
	Epoch cell.Epoch
	// TaskLease is the term of a worker's lease on its tasks.
	TaskLease time.Duration
	// ReportEvery is how often each worker is asked for a report and its leases renewed.
	ReportEvery time.Duration
	// DispatchFlight is the longest time that a request sent by the former owner may
	// still be on its way.
	DispatchFlight time.Duration
	// JournalInterval lies between two writes of the journal.
	JournalInterval time.Duration
	Keys            keys.Config
}

// Margin is added to leases for clocks that run unlike.
const margin = 250 * time.Millisecond

// Deps are what an engine needs of the world.
type Deps struct {
	Clock     clock.Clock
	Workers   *worker.Client
	Endpoints *endpoint.Client
	// Authority tells until when this process may act on the shard, as
	// ownership.Keeper.Authority does.
	Authority func() (cell.Epoch, clock.Time, bool)
	// LoadBatches reads all batch entries of the shard from the store.
	LoadBatches func(ctx context.Context) ([]batch.Segment, error)
	// StoreUp says whether the store answered lately.
	StoreUp func() bool
	// PutSegment writes a batch segment to the store.
	PutSegment func(ctx context.Context, key, value string) (revision int64, err error)
	// RemoveSegment removes one that is of no use any more.
	RemoveSegment func(ctx context.Context, key string, revision int64) error
	// Delegate has another shard run a request of a key that is at home here.
	Delegate func(home cell.ShardID, c Call) Answer
	Log      *logrus.Entry
}

// Engine is the owner of one shard during one epoch. It is safe for concurrent use.
type Engine struct {
	cfg     Config
	deps    Deps
	journal *batch.Journal
	kick    chan struct{} // wakes the placing duty
	stopped atomic.Bool

	mu        sync.Mutex
	router    *routing.Router
	placer    *placement.Placer
	memory    *keys.Memory
	book      *batch.Book
	segments  *batch.Segments
	tree      *settings.Tree
	desired   map[string]settings.Workload // service tasks of this shard, by id
	workers   map[string]*workerDuty
	endpoints map[string]*endpointState
	ending    map[batch.ID]bool // whose end is being stored
	began     clock.Time
	recovery  recoveryState
	retries   retryBudget
	duties    sync.WaitGroup
	runCtx    context.Context
	inFlight  int
}

// recoveryState tells how far a new owner knows what the former one left.
type recoveryState struct {
	inherited  bool // there was an owner before
	hostsKnown bool
	batchesIn  bool
	settled    bool // all workers have answered, or their leases have lapsed
}

// New returns an engine whose duties end with ctx and begin with Run. Of the first epoch of a shard it
// knows that nothing was left by a former owner.
func New(ctx context.Context, cfg Config, deps Deps) *Engine {
	e := &Engine{
		runCtx: ctx, cfg: cfg, deps: deps, kick: make(chan struct{}, 1),
		router: routing.New(), placer: placement.New(placement.DefaultConfig), book: batch.NewBook(),
		desired: map[string]settings.Workload{}, workers: map[string]*workerDuty{},
		endpoints: map[string]*endpointState{}, ending: map[batch.ID]bool{}, began: deps.Clock.Now(),
		retries: newRetryBudget(), segments: batch.NewSegments(),
	}
	e.recovery.inherited = cfg.Epoch > 1
	takenOver := time.Time{}
	if e.recovery.inherited {
		takenOver = deps.Clock.Wall()
	}
	e.memory = keys.New(cfg.Keys, takenOver)
	e.journal = batch.NewJournal(cfg.Shard, cfg.JournalInterval, batch.JournalDeps{
		Put: deps.PutSegment, Authorized: e.authorized, Stored: e.segmentStored,
	})
	return e
}

// Run works until the engine's ctx ends. Requests in flight then are finished before it returns;
// those that wait are refused.
func (e *Engine) Run() {
	ctx := e.runCtx
	e.duties.Go(func() { e.journal.Run(ctx) })
	e.duties.Go(func() { e.expire(ctx) })
	e.duties.Go(func() { e.place(ctx) })
	e.duties.Go(func() { e.watchHealth(ctx) })
	e.duties.Go(func() { e.recoverBatches(ctx) })
	e.duties.Go(func() { e.removeSegments(ctx) })
	<-ctx.Done()
	e.stopped.Store(true)
	e.refuseWaiting()
	e.duties.Wait()
}

// authorized is asked right before each send.
func (e *Engine) authorized() bool {
	epoch, _, ok := e.deps.Authority()
	return ok && epoch == e.cfg.Epoch
}

// SetTree puts settings in force: services and their instances, limits and quotas.
func (e *Engine) SetTree(tree *settings.Tree) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.tree
	e.tree = tree
	e.putServices(old)
	e.putQuotas()
	e.putInstances()
	e.wake()
}

func (e *Engine) putServices(old *settings.Tree) {
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
		for _, q := range e.router.RemoveService(name) {
			e.decide(routing.Decision{Kind: routing.NoService, Request: q})
		}
	}
}

// putQuotas gives each shard of the cell an equal part of every team's quota.
func (e *Engine) putQuotas() {
	n := int64(max(len(e.tree.Layout.Shards()), 1))
	quotas := make(map[string]cell.Resources, len(e.tree.Quotas))
	for team, q := range e.tree.Quotas {
		quotas[team] = cell.Resources{
			CPUMillis: (q.CPUMillis + n - 1) / n, MemoryMB: (q.MemoryMB + n - 1) / n,
			Accelerators: (q.Accelerators + n - 1) / n,
		}
	}
	e.placer.SetQuotas(quotas)
}

// SetHosts takes in the platform's host list.
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
			e.putHost(h)
		}
	}
	e.wake()
}

func (e *Engine) putHost(h store.Host) {
	w, known := e.workers[h.ID]
	if !known && h.State == store.HostGone {
		return
	}
	if !known {
		w = newWorkerDuty(e, h)
		e.workers[h.ID] = w
		e.duties.Go(func() { w.run(e.runCtx) })
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

// wake makes the placing duty look again.
func (e *Engine) wake() {
	select {
	case e.kick <- struct{}{}:
	default:
	}
}

// now is short for the monotonic clock.
func (e *Engine) now() clock.Time {
	return e.deps.Clock.Now()
}
