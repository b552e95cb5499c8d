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

	"foldarch.dev/foldarch/pkg/clientlimit"
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
	"golang.org/x/time/rate"
)

const (
	storeTimeout  = 400 * time.Millisecond
	workerTimeout = 160 * time.Millisecond
	// readStallShare is the share of the configuration's time limit for which a read of it may stall. A
	// read that is lost in an outage is repeated with half of that time left.
	readStallShare = 0.5
	// storeRateShare is the share of the store's rate limits that one host may use.
	storeRateShare = 0.25
	// lookupConnShare is the share of callers' connections that may wait for the store to tell of a job.
	lookupConnShare = 0.25
	// lookupLogsPerSecond is how many lookups without an answer are logged a second.
	lookupLogsPerSecond = 20
	// storeAnswerMaxAge is how old the store's last answer may be for the store to count as reachable.
	storeAnswerMaxAge = 1500 * time.Millisecond
	// memoryLimitShare is the share of the host's memory limit that is set as Go's soft memory limit.
	memoryLimitShare = 0.8
	// uncountedBytes is the memory of the process that Go's limit does not count, such as the program's text, and by
	// which the process is over the limit until a collection has ended.
	uncountedBytes = 26 << 20
	gcPercent      = 200
	// stopMargin is the part of the platform's grace period that is kept in reserve for the end of a
	// planned stop.
	stopMargin = 1500 * time.Millisecond
	// stopAcceptTime is how long a stopping host still accepts requests, so that callers and the
	// platform's balancer have time to switch to other hosts.
	stopAcceptTime = 2500 * time.Millisecond
)

// Host is the process of one entry host.
type Host struct {
	cfg         atomic.Pointer[platform.Settings]
	incarnation string
	log         *logrus.Entry
	clk         clock.Clock
	store       *platform.Store
	workers     *platform.WorkerClient
	advice      atomic.Pointer[platform.AdviceClient] // nil without an advice service

	config        atomic.Pointer[queue.Config]
	operatorKeys  *keyWatcher // the configuration, waves and evacuations
	writer        *batchWriter
	lookupLimiter *lookupLimiter // limits lookups for callers
	clients       *clientlimit.Limiter
	lookups       *clientlimit.Share // callers that wait for the store to tell of a job
	lookupLog     *rate.Limiter      // limits the log lines of lookups without an answer
	metrics       *hostMetrics
	election      election
	member        atomic.Pointer[poolrpc.Member]
	owner         atomic.Pointer[poolowner.Owner]
	refusedQueues refusedQueueList
	limits        customerLimits
	stopping      atomic.Bool
	// probeFailedAt is when a probe of the store last failed, and lastProbeAt when the last probe was
	// started. Only watchStore uses lastProbeAt.
	probeFailedAt atomic.Int64
	lastProbeAt   clock.Time
	hostCount     atomic.Int64 // the number of hosts as reported by the owner; 0 if unknown
	// ownerStoreRecovered, of capacity 1, signals that the owner has reported that it reaches the store
	// again.
	ownerStoreRecovered chan struct{}
	intakeMode          modeState
	reportedOwner       atomic.Pointer[reach.OwnerView] // from the owner's last heartbeat; nil before the first

	// bytes on the connections to other hosts, to callers and to the advice service
	peerBytes, callerBytes, adviceBytes *traffic.Meter

	mu        sync.Mutex
	waves     *upkeep.Requests
	evacuated *evacuation.Halls

	background sync.WaitGroup
}

// New returns a host that does nothing until Run is called.
func New(cfg platform.Settings, clients clientlimit.Options, log *logrus.Entry) *Host {
	clk := clock.System()
	metrics := newHostMetrics()
	store := platform.NewStore(cfg.Store, platform.StoreOptions{
		CallTimeout:     storeTimeout,
		Stall:           time.Duration(readStallShare * float64(cfg.Bounds.ConfigApply)),
		WritesPerSecond: cfg.Store.WritesPerSecond * storeRateShare,
		ReadsPerSecond:  cfg.Store.ReadsPerSecond * storeRateShare,
		LinkMbps:        cfg.LinkMbps,
		Calls:           traffic.New("store", metrics.registry),
		Watches:         traffic.New("store_watches", metrics.registry),
	}, clk)
	h := &Host{
		incarnation: uuid.NewString(), log: log.WithField("host", cfg.Name), clk: clk, store: store,
		workers: platform.NewWorkerClient(workerTimeout, cfg.LinkMbps, traffic.New("workers", metrics.registry)), metrics: metrics,
		peerBytes: traffic.New("peers", metrics.registry), callerBytes: traffic.New("callers", metrics.registry), adviceBytes: traffic.New("advice", metrics.registry),
		waves: upkeep.NewRequests(), evacuated: evacuation.New(),
		election: election{changed: make(chan struct{}, 1)}, ownerStoreRecovered: make(chan struct{}, 1),
	}
	h.cfg.Store(&cfg)
	h.clients = clientlimit.New(clientlimit.Resources{MemoryBytes: cfg.MemoryBytes, Descriptors: cfg.MaxDescriptors}, clients, metrics.registry, h.log)
	h.lookups = h.clients.Share("lookups_refused", lookupConnShare)
	h.writer = newBatchWriter(store, clk, h.handleFoundOwnerRecord)
	h.lookupLimiter = newLookupLimiter(cfg.Store.ReadsPerSecond)
	h.lookupLog = rate.NewLimiter(lookupLogsPerSecond, lookupLogsPerSecond)
	h.operatorKeys = h.newOperatorWatcher()
	h.setAdvice(cfg.AdviceAddress)
	return h
}

// setAdvice sets the address of the advice service. An invalid address means that there is no such
// service.
func (h *Host) setAdvice(address netip.AddrPort) {
	if !address.IsValid() {
		h.advice.Store(nil)
		return
	}
	h.advice.Store(platform.NewAdviceClient(address, h.adviceBytes))
}

// Run serves until ctx ends and then performs a planned stop: it hands the pool over and answers the
// requests in flight. Changes of the settings file at path are applied while it runs. Metrics,
// explanations of jobs and foldarch's own jobs API are served on metricsPort of the host's address,
// unless it is 0.
func (h *Host) Run(ctx context.Context, path string, metricsPort uint16) error {
	cfg := h.cfg.Load()
	debug.SetMemoryLimit(h.memoryLimit(*cfg))
	debug.SetGCPercent(gcPercent)
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores))) // more threads than cores only add context switches
	}
	callerLimits := h.clients.Listener("callers", clientlimit.Callers)
	callers, err := callerLimits.Listen(cfg.CallerAddress.String())
	if err != nil {
		return errors.Wrap(err, "listen on callers' address")
	}
	readyLimits := h.clients.Listener("ready", clientlimit.Minor)
	ready, err := readyLimits.Listen(cfg.ReadyAddress.String())
	if err != nil {
		return errors.Wrap(err, "listen on ready address")
	}
	peerLimits := h.clients.Listener("peers", clientlimit.Peers)
	peers, err := peerLimits.Listen(cfg.PeerAddress.String())
	if err != nil {
		return errors.Wrap(err, "listen on peers' address")
	}
	h.log.WithFields(logrus.Fields{"life": h.incarnation, "callers": cfg.CallerAddress, "peers": cfg.PeerAddress, "zone": cfg.Zone}).Info("started")
	h.logWarnings(*cfg)
	work, stop := context.WithCancel(context.Background())
	defer stop()
	server := callerLimits.Server(h.jobHandler())
	go func() { _ = server.Serve(callerLimits.Wrap(h.callerBytes.Listener(callers))) }()
	go func() { _ = readyLimits.Server(http.HandlerFunc(h.serveReady)).Serve(readyLimits.Wrap(ready)) }()
	if metricsPort != 0 {
		if err := h.listenForOperators(netip.AddrPortFrom(cfg.ReadyAddress.Addr(), metricsPort)); err != nil {
			return err
		}
	}
	h.startBackground(work, peerLimits.Wrap(h.peerBytes.Listener(peers)))
	h.background.Go(func() { h.watchSettings(work, path) })
	<-ctx.Done()
	h.shutDown(func(ctx context.Context) error { return callerLimits.Shutdown(ctx, server) })
	stop()
	h.background.Wait()
	h.log.Info("stopped")
	return nil
}

// listenForOperators serves the operators' requests. If the address is already in use, the host still
// serves callers.
func (h *Host) listenForOperators(address netip.AddrPort) error {
	handler, err := h.operatorHandler()
	if err != nil {
		return err
	}
	limits := h.clients.Listener("operators", clientlimit.Minor)
	go func() {
		l, err := limits.Listen(address.String())
		if err == nil {
			err = limits.Server(handler).Serve(limits.Wrap(l))
		}
		h.log.WithFields(logrus.Fields{"address": address, "error": err}).Warn("operators_not_served")
	}()
	return nil
}

func (h *Host) startBackground(ctx context.Context, peers net.Listener) {
	h.background.Go(func() { h.operatorKeys.run(ctx) })
	h.background.Go(func() { h.writer.run(ctx) })
	h.background.Go(func() { h.newOwnerWatcher().run(ctx) })
	h.background.Go(func() { h.campaign(ctx) })
	h.background.Go(func() { h.watchStore(ctx) })
	h.background.Go(func() { h.maintainLink(ctx) })
	h.background.Go(func() { _ = poolrpc.Serve(ctx, peers, h.ownerHandlers, h.clk) })
}

func (h *Host) ownerHandlers() (poolrpc.OwnerHandlers, bool) {
	o := h.owner.Load()
	if o == nil {
		return poolrpc.OwnerHandlers{}, false
	}
	return o.Handlers(), true
}

// serveReady answers the platform's health check. A host is not ready while it is stopping, has no
// configuration, or can't accept jobs that other hosts may be able to accept.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if h.config.Load() == nil || h.stopping.Load() || !h.mode().IsReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// shutDown performs a planned stop within the platform's grace period. stopServer answers the callers' last requests.
func (h *Host) shutDown(stopServer func(context.Context) error) {
	h.stopping.Store(true)
	h.log.Info("stopping")
	grace := h.cfg.Load().Bounds.TerminationGrace
	deadline := h.clk.Now().Add(grace - stopMargin)
	until := h.clk.Now().Add(min(stopAcceptTime, grace-stopMargin))
	for h.clk.Now() < until || h.owner.Load() != nil && h.clk.Now() < deadline {
		if o := h.owner.Load(); o != nil {
			o.Yield(poolowner.YieldStopping)
		}
		time.Sleep(100 * time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(deadline.Sub(h.clk.Now()), 0)+stopMargin/2)
	defer cancel()
	_ = stopServer(ctx)
}

// storeAge returns the time since the store last answered this host.
func (h *Host) storeAge() time.Duration {
	return h.clk.Now().Sub(h.store.LastAnswer())
}
