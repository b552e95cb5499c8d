package entry

import (
	"context"
	"net"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clientlimit"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/dialer"
	"foldarch.dev/foldarch/pkg/endpoint"
	"foldarch.dev/foldarch/pkg/members"
	"foldarch.dev/foldarch/pkg/ownership"
	"foldarch.dev/foldarch/pkg/peer"
	"foldarch.dev/foldarch/pkg/procconf"
	"foldarch.dev/foldarch/pkg/revision"
	"foldarch.dev/foldarch/pkg/shard"
	"foldarch.dev/foldarch/pkg/store"
	"foldarch.dev/foldarch/pkg/worker"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

const (
	dialTimeout      = 400 * time.Millisecond
	storeCallTimeout = time.Second
	// The store counts as up if it has answered within storeUpWindow. The host list is read
	// about once a second, so a store that is up answers several times in this period.
	storeUpWindow = 2500 * time.Millisecond
	// maxTransitTime is how long a request that a previous owner of a shard has sent to an
	// endpoint may still be in transit when its successor takes over.
	maxTransitTime = 250 * time.Millisecond
	drainTimeout   = 60 * time.Second
	// handoverTimeout bounds the writes that hand over the shards. If the store does not
	// answer, the successors take over because the closed peer port proves that this process
	// has given up the shards. They must notice it while the last grant that they gave
	// is certain to hold.
	handoverTimeout = 600 * time.Millisecond
	metricsPath     = "/metrics"
	// maxForwardOverhead is what a forwarded request takes beside its body, such as its key and its caller.
	maxForwardOverhead = 64 << 10
	// runtimeMemoryShare is the share of the memory that is the soft limit of Go's runtime. The rest is for
	// what the runtime does not count: the program's text, and what arrives on connections and waits to be read.
	runtimeMemoryShare = 0.5

	// Names of the metrics that count the bytes sent and received: controlBytesMetric those
	// exchanged with peers, workers and the store, callBytesMetric those with endpoints.
	controlBytesMetric = "control.bytes"
	callBytesMetric    = "calls.bytes"
)

// Process is the process on one entry host.
type Process struct {
	cfg      procconf.Entry
	self     members.Member
	log      *logrus.Entry
	clk      clock.Clock
	registry metrics.Registry

	clients      *clientlimit.Limiter
	controlBytes metrics.Counter
	dialer       *dialer.Dialer
	store        *store.Store
	revisions    *revision.Repository
	peers        *peer.Client
	workers      *worker.Client
	endpoints    *endpoint.Client
	settings     *settingsHolder
	controller   atomic.Pointer[ownership.Controller] // nil until the layout is known
	draining     atomic.Bool
	peerCalls    atomic.Int64  // calls of peers that are being answered
	forwards     atomic.Int64  // requests that peers have forwarded
	stopRequests chan struct{} // of size 1

	mu          sync.Mutex // guards the fields below, except for background
	memberTable *members.Table
	records     map[cell.ShardID]ownership.Record // of all halls, as the store has reported them
	engines     map[cell.ShardID]*runningEngine
	hosts       []store.Host
	background  sync.WaitGroup
}

// New returns a process. It starts nothing and opens no connections before Run.
func New(cfg procconf.Entry, log *logrus.Entry) (*Process, error) {
	clk := clock.System()
	registry := metrics.NewRegistry()
	control := metrics.NewRegisteredCounter(controlBytesMetric, registry)
	d := dialer.New(cfg.RouteTable(), dialTimeout, control)
	calls := dialer.New(cfg.RouteTable(), dialTimeout, metrics.NewRegisteredCounter(callBytesMetric, registry))
	s, err := store.New(store.Config{
		Addresses: cfg.Store, CallTimeout: storeCallTimeout,
		ReadsPerSecond: cfg.Limits.StoreReadsPerSecond, WritesPerSecond: cfg.Limits.StoreWritesPerSecond,
	}, d, clk, registry)
	if err != nil {
		return nil, errors.Wrap(err, "store client")
	}
	self := members.Member{
		ID: cfg.ID, Incarnation: uuid.NewString(), Hall: cfg.Hall,
		Address: cfg.PeerAddress, CallersAddress: cfg.CallersAddress,
	}
	resources, err := clientResources(cfg.Limits)
	if err != nil {
		return nil, err
	}
	log = log.WithField("process", cfg.ID)
	p := &Process{
		cfg: cfg, self: self, log: log, clk: clk, registry: registry,
		clients:      clientlimit.New(resources, cfg.ClientOptions(), registry, log),
		controlBytes: control, dialer: d, store: s, revisions: revision.New(s, clk), peers: peer.NewClient(d),
		workers: worker.New(d, clk), endpoints: endpoint.New(calls, cfg.Limits.MaxBodyKB<<10),
		settings: newSettingsHolder(), memberTable: members.New(self), stopRequests: make(chan struct{}, 1),
		records: map[cell.ShardID]ownership.Record{}, engines: map[cell.ShardID]*runningEngine{},
	}
	for _, address := range cfg.Peers {
		p.memberTable.AddSeed(address)
	}
	return p, nil
}

// clientResources returns what the process may use of its machine. The limits for clients follow from it.
func clientResources(l procconf.Limits) (clientlimit.Resources, error) {
	var system unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &system); err != nil {
		return clientlimit.Resources{}, errors.Wrap(err, "limit of descriptors")
	}
	return clientlimit.Resources{
		MemoryBytes: l.MemoryMB << 20, Descriptors: int(min(uint64(l.MaxDescriptors), system.Cur)),
	}, nil
}

// Run serves until ctx ends or an operator drains this entry host, and then stops as planned:
// it hands over its shards and lets requests in flight finish. If one of its addresses is in
// use, it returns an error before it has started anything.
func (p *Process) Run(ctx context.Context) error {
	callerLimits := p.clients.Listener("callers", clientlimit.Callers)
	callers, err := callerLimits.Listen(p.cfg.CallersAddress.String())
	if err != nil {
		return errors.Wrap(err, "callers_address")
	}
	peerLimits := p.clients.Listener("peers", clientlimit.Peers).AllowFirstCalls(p.cfg.Limits.MaxBodyKB<<10 + maxForwardOverhead)
	l, err := peerLimits.Listen(p.cfg.PeerAddress.String())
	if err != nil {
		_ = callers.Close()
		return errors.Wrap(err, "peer_address")
	}
	peers := newPeerListener(l)
	debug.SetMemoryLimit(int64(runtimeMemoryShare * float64(p.cfg.Limits.MemoryMB<<20)))
	server, err := p.httpServer(callerLimits)
	if err != nil {
		return err
	}
	p.log.WithFields(logrus.Fields{
		"hall": p.cfg.Hall, "callers": p.cfg.CallersAddress, "peers": p.cfg.PeerAddress,
		"incarnation": p.self.Incarnation,
	}).Info("started")
	backgroundCtx, stop := context.WithCancel(context.Background())
	defer stop()
	p.startBackground(backgroundCtx, peers, peerLimits)
	p.background.Go(func() { _ = server.Serve(callerLimits.Wrap(callers)) })
	select {
	case <-ctx.Done():
	case <-p.stopRequests:
	}
	p.shutDown(func(ctx context.Context) error { return callerLimits.Shutdown(ctx, server) }, peers)
	stop()
	p.peers.Close()
	p.background.Wait()
	p.log.Info("stopped")
	return nil
}

// startBackground starts the drpc server and the loops that follow the store and the other
// processes. They end with ctx.
func (p *Process) startBackground(ctx context.Context, peers net.Listener, limits *clientlimit.Listener) {
	limited := limits.Wrap(dialer.MeterListener(peers, p.controlBytes))
	p.background.Go(func() { _ = peer.Serve(ctx, limited, p.peerHandlers()) })
	p.background.Go(func() { p.watchStore(ctx) })
	p.background.Go(func() { p.watchHosts(ctx) })
	p.background.Go(func() { p.exchangeHeartbeats(ctx) })
	p.background.Go(func() { p.runEngines(ctx) })
}

// shutDown performs a planned stop, which takes at most drainTimeout. From its beginning, callers'
// new requests are refused as Draining and the health check fails, so that callers change to
// other entry hosts. After a grace period it hands the shards over to their successors, closes
// the ports, waits for the requests in flight, which stopServer does, and until its peers know the successors.
func (p *Process) shutDown(stopServer func(context.Context) error, peers *peerListener) {
	p.draining.Store(true)
	p.log.Info("leaving")
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	clock.Sleep(ctx, time.Duration(p.cfg.Times.LeaveGrace))
	if c := p.controller.Load(); c != nil {
		handoverCtx, cancelHandover := context.WithTimeout(ctx, handoverTimeout)
		c.Leave(handoverCtx)
		cancelHandover()
	}
	peers.Refuse()
	_ = stopServer(ctx)
	p.awaitQuietPeers(ctx)
}

// awaitQuietPeers waits until nothing is in flight and peers have not forwarded requests for some
// time. A peer that does not know the next owner yet would lose the answers to those.
func (p *Process) awaitQuietPeers(ctx context.Context) {
	const interval, quietIntervals, maxIntervals = 20 * time.Millisecond, 5, 50
	quiet, forwards := 0, p.forwards.Load()
	for n := 0; ctx.Err() == nil && (p.inFlight() > 0 || quiet < quietIntervals && n < maxIntervals); n++ {
		clock.Sleep(ctx, interval)
		quiet++
		if now := p.forwards.Load(); now != forwards {
			quiet, forwards = 0, now
		}
	}
}

// requestStop begins a planned stop, as the end of Run's ctx does.
func (p *Process) requestStop() {
	select {
	case p.stopRequests <- struct{}{}:
	default:
	}
}

func (p *Process) storeUp() bool {
	return p.store.AnsweredWithin(storeUpWindow)
}

// inFlight returns the number of calls of peers that are being answered, and of requests that
// engines have sent to endpoints. The former include requests of engines that were removed.
func (p *Process) inFlight() int {
	n := int(p.peerCalls.Load())
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.engines {
		n += e.engine.InFlight()
	}
	return n
}

// selfHolder returns this process as it appears in ownership records.
func (p *Process) selfHolder() ownership.Holder {
	return memberHolder(p.self)
}

func memberHolder(m members.Member) ownership.Holder {
	return ownership.Holder{ID: m.ID, Incarnation: m.Incarnation, Address: m.Address}
}

// runningEngine is an engine with its epoch and the function that stops it.
type runningEngine struct {
	engine *shard.Engine
	epoch  cell.Epoch
	stop   context.CancelFunc
}

// ownerAddress returns the peer address of a shard's owner, as far as it is known. It is taken
// from the record of the shard, or from a member that reports that it owns the shard at a higher
// epoch.
func (p *Process) ownerAddress(id cell.ShardID) (netip.AddrPort, bool) {
	record, found := p.controllerRecord(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !found {
		record = p.records[id]
	}
	if m, epoch, ok := p.memberTable.OwnerOf(id); ok && epoch > record.Epoch {
		return m.Address, true
	}
	return record.Owner.Address, record.Owner.Address.IsValid()
}

// controllerRecord returns the controller's record of a shard of the own hall. It must not be
// called with p.mu held: the controller holds its own lock while it calls functions that lock
// p.mu.
func (p *Process) controllerRecord(id cell.ShardID) (ownership.Record, bool) {
	c := p.controller.Load()
	if c == nil || id.Hall != p.cfg.Hall {
		return ownership.Record{}, false
	}
	return c.Record(id), true
}
