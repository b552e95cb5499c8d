package jobhost

import (
	"context"
	"math"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/evacuation"
	"foldarch.dev/foldarch/pkg/poolowner"
	"foldarch.dev/foldarch/pkg/poolrpc"
	"foldarch.dev/foldarch/pkg/queue"
	"foldarch.dev/foldarch/pkg/reach"
	"foldarch.dev/foldarch/pkg/traffic"
	"foldarch.dev/foldarch/pkg/upkeep"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
)

const (
	storeTimeout  = 400 * time.Millisecond
	workerTimeout = 160 * time.Millisecond
	// stallShare is the part of the time to put a configuration in force that a read of it may stall: one that an
	// outage has swallowed is tried again with half of the time left.
	stallShare = 0.5
	// storeShare is the part of the store's rate that one host may use.
	storeShare = 0.25
	// storeFresh is how long ago the store may have answered to count as up.
	storeFresh = 1500 * time.Millisecond
	// memoryShare is the part of the memory limit at which the collector works harder.
	memoryShare = 0.8
	gcPercent   = 200
	// stopMargin is left of the time for a planned stop.
	stopMargin = 1500 * time.Millisecond
	// stopPause is how long a stopping host goes on taking in requests, so that callers
	// and the platform's balancer can go elsewhere.
	stopPause     = 2500 * time.Millisecond
	headerTimeout = 10 * time.Second
)

// Host is one entry host at work.
type Host struct {
	cfg    atomic.Pointer[platform.Settings]
	life   string
	log    *logrus.Entry
	clk    clock.Clock
	store  *platform.Store
	worker *platform.Workers
	advice atomic.Pointer[platform.Adviser] // nil when there is no advice service

	config       atomic.Pointer[queue.Config]
	operatorKeys *follower // the configuration and waves
	intake       *intake
	stateReads   *stateReads // for callers
	figures      *figures
	election     election
	member       atomic.Pointer[poolrpc.Member]
	owner        atomic.Pointer[poolowner.Owner]
	refusals     queueRefusals
	limits       customerLimits
	stopping     atomic.Bool
	// probeFailedAt is when a probe of the store got no answer last, and probedAt when the last one began (of the duty watchReach).
	probeFailedAt atomic.Int64
	probedAt      clock.Time
	hosts         atomic.Int64 // as the owner told; 0 when not
	// ownerStoreBack is of size 1: the owner told that the store answers it again.
	ownerStoreBack chan struct{}
	gate           gate
	toldReach      atomic.Pointer[reach.Owner] // by the owner; nil before its first heartbeat

	// bytes of the connections to other hosts, of callers and for advice
	peerBytes, callerBytes, adviceBytes *traffic.Meter

	mu        sync.Mutex
	waves     map[int64]upkeep.Wave // that the operator asks for
	evacuated *evacuation.Halls

	duties sync.WaitGroup
}

// New returns a host that does nothing before Run.
func New(cfg platform.Settings, log *logrus.Entry) *Host {
	clk := clock.System()
	figures := newFigures()
	store := platform.NewStore(cfg.Store, platform.StoreOptions{
		CallTimeout:     storeTimeout,
		Stall:           time.Duration(stallShare * float64(cfg.Bounds.ConfigApply)),
		WritesPerSecond: cfg.Store.WritesPerSecond * storeShare,
		ReadsPerSecond:  cfg.Store.ReadsPerSecond * storeShare,
		LinkMbps:        cfg.LinkMbps,
		Calls:           traffic.New("store", figures.registry),
		Watches:         traffic.New("store_watches", figures.registry),
	}, clk)
	h := &Host{
		life: uuid.NewString(), log: log.WithField("host", cfg.Name), clk: clk, store: store,
		worker: platform.NewWorkers(workerTimeout, traffic.New("workers", figures.registry)), figures: figures,
		peerBytes: traffic.New("peers", figures.registry), callerBytes: traffic.New("callers", figures.registry), adviceBytes: traffic.New("advice", figures.registry),
		waves: map[int64]upkeep.Wave{}, evacuated: evacuation.New(),
		election: election{changed: make(chan struct{}, 1)}, ownerStoreBack: make(chan struct{}, 1),
	}
	h.cfg.Store(&cfg)
	h.intake = newIntake(store, clk, h.sawHolder)
	h.stateReads = newStateReads(cfg.Store.ReadsPerSecond)
	h.operatorKeys = h.newConfigFollower()
	h.setAdvice(cfg.Advice)
	return h
}

// setAdvice sets the address of the advice service; an invalid one means that there is none.
func (h *Host) setAdvice(address netip.AddrPort) {
	if !address.IsValid() {
		h.advice.Store(nil)
		return
	}
	h.advice.Store(platform.NewAdviser(address, h.adviceBytes))
}

// Run works until ctx ends and then stops as planned: the pool is handed over and requests
// in flight are answered. Settings that change in the file at path are put in force. Figures,
// explanations and foldarch's own API of jobs are served at metricsPort of the host's address, unless it is 0.
func (h *Host) Run(ctx context.Context, path string, metricsPort uint16) error {
	cfg := h.cfg.Load()
	debug.SetMemoryLimit(memoryLimit(*cfg))
	debug.SetGCPercent(gcPercent)
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores))) // more threads than cores wake each other for nothing
	}
	callers, err := net.Listen("tcp", cfg.Callers.String())
	if err != nil {
		return errors.Wrap(err, "callers' address")
	}
	ready, err := net.Listen("tcp", cfg.Ready.String())
	if err != nil {
		return errors.Wrap(err, "ready address")
	}
	peers, err := net.Listen("tcp", cfg.Peers.String())
	if err != nil {
		return errors.Wrap(err, "peers' address")
	}
	h.log.WithFields(logrus.Fields{"life": h.life, "callers": cfg.Callers, "peers": cfg.Peers, "zone": cfg.Zone}).Info("started")
	h.logWarnings(*cfg)
	work, stop := context.WithCancel(context.Background())
	defer stop()
	server := &http.Server{Handler: h.door(), ReadHeaderTimeout: headerTimeout}
	probe := &http.Server{Handler: http.HandlerFunc(h.ready), ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(h.callerBytes.Listener(callers)) }()
	go func() { _ = probe.Serve(ready) }()
	if metricsPort != 0 {
		if err := h.serveOperators(netip.AddrPortFrom(cfg.Ready.Addr(), metricsPort)); err != nil {
			return err
		}
	}
	h.startDuties(work, peers)
	h.duties.Go(func() { h.watchSettings(work, path) })
	<-ctx.Done()
	h.leave(server)
	stop()
	h.duties.Wait()
	h.log.Info("stopped")
	return nil
}

// serveOperators serves the operators' door. An address that is taken does not keep the host
// from serving callers.
func (h *Host) serveOperators(address netip.AddrPort) error {
	door, err := h.operatorDoor()
	if err != nil {
		return err
	}
	server := &http.Server{Addr: address.String(), Handler: door, ReadHeaderTimeout: headerTimeout}
	go func() {
		err := server.ListenAndServe()
		h.log.WithFields(logrus.Fields{"address": address, "error": err}).Warn("operators_not_served")
	}()
	return nil
}

func (h *Host) startDuties(ctx context.Context, peers net.Listener) {
	h.duties.Go(func() { h.operatorKeys.run(ctx) })
	h.duties.Go(func() { h.intake.run(ctx) })
	h.duties.Go(func() { h.newOwnerFollower().run(ctx) })
	h.duties.Go(func() { h.campaign(ctx) })
	h.duties.Go(func() { h.watchReach(ctx) })
	h.duties.Go(func() { h.keepLink(ctx) })
	h.duties.Go(func() { _ = poolrpc.Serve(ctx, h.peerBytes.Listener(peers), h.ownerHandlers, h.clk) })
}

func (h *Host) ownerHandlers() (poolrpc.OwnerHandlers, bool) {
	o := h.owner.Load()
	if o == nil {
		return poolrpc.OwnerHandlers{}, false
	}
	return o.Handlers(), true
}

// ready answers the platform's health check. A host that can take in nothing is not ready if others may do better.
func (h *Host) ready(w http.ResponseWriter, _ *http.Request) {
	if h.config.Load() == nil || h.stopping.Load() || !h.row().Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// leave stops as planned, within the time that the platform gives.
func (h *Host) leave(server *http.Server) {
	h.stopping.Store(true)
	h.log.Info("stopping")
	grace := h.cfg.Load().Bounds.Grace
	deadline := h.clk.Now().Add(grace - stopMargin)
	until := h.clk.Now().Add(min(stopPause, grace-stopMargin))
	for h.clk.Now() < until || h.owner.Load() != nil && h.clk.Now() < deadline {
		if o := h.owner.Load(); o != nil {
			o.Yield(poolowner.Stopping)
		}
		time.Sleep(100 * time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(deadline.Sub(h.clk.Now()), 0)+stopMargin/2)
	defer cancel()
	_ = server.Shutdown(ctx)
}

// storeAge is how long ago the store answered this host.
func (h *Host) storeAge() time.Duration {
	return h.clk.Now().Sub(h.store.LastAnswer())
}
