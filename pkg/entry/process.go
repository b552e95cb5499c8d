package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
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
)

const (
	dialTimeout      = 400 * time.Millisecond
	storeCallTimeout = time.Second
	// storeUpWithin is how long ago the store may have answered to count as up. The host
	// list is read every second, so that there is an answer to go by.
	storeUpWithin  = 2500 * time.Millisecond
	dispatchFlight = 250 * time.Millisecond
	drainTimeout   = 60 * time.Second
	// handoverTimeout bounds the write that hands shards over. When the store does not
	// answer, the successors follow on the proof that the peer port is closed, and have to
	// see it while the last grant certainly holds.
	handoverTimeout = 600 * time.Millisecond
	metricsPath     = "/metrics"

	// Metrics: bytes both ways, to peers, workers and the store, and to endpoints.
	controlBytes = "control.bytes"
	callBytes    = "calls.bytes"
)

// Process is one entry host at work.
type Process struct {
	cfg      procconf.Entry
	self     members.Member
	log      *logrus.Entry
	clk      clock.Clock
	registry metrics.Registry

	controlBytes metrics.Counter
	dialer       *dialer.Dialer
	store        *store.Store
	book         *revision.Book
	peers        *peer.Client
	workers      *worker.Client
	endpoints    *endpoint.Client
	settings     *settingsHolder
	keeper       atomic.Pointer[ownership.Keeper] // nil until the layout is known
	draining     atomic.Bool
	stopAsked    chan struct{} // of size 1

	mu      sync.Mutex
	table   *members.Table
	records map[cell.ShardID]ownership.Record // of all halls
	engines map[cell.ShardID]*runningEngine
	hosts   []store.Host
	duties  sync.WaitGroup
}

// New returns a process that does nothing before Run.
func New(cfg procconf.Entry, log *logrus.Entry) (*Process, error) {
	clk := clock.System()
	registry := metrics.NewRegistry()
	control := metrics.NewRegisteredCounter(controlBytes, registry)
	d := dialer.New(cfg.RouteTable(), dialTimeout, control)
	calls := dialer.New(cfg.RouteTable(), dialTimeout, metrics.NewRegisteredCounter(callBytes, registry))
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
	p := &Process{
		cfg: cfg, self: self, log: log.WithField("process", cfg.ID), clk: clk, registry: registry,
		controlBytes: control, dialer: d, store: s, book: revision.New(s, clk), peers: peer.NewClient(d),
		workers: worker.New(d, clk), endpoints: endpoint.New(calls, cfg.Limits.MaxBodyKB<<10),
		settings: newSettingsHolder(), table: members.New(self), stopAsked: make(chan struct{}, 1),
		records: map[cell.ShardID]ownership.Record{}, engines: map[cell.ShardID]*runningEngine{},
	}
	for _, address := range cfg.Peers {
		p.table.AddSeed(address)
	}
	return p, nil
}

// Run works until ctx ends and then stops as planned: shards are handed over, and no
// request in flight is cut. An address in use is an error before anything has started.
func (p *Process) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", p.cfg.CallersAddress.String())
	if err != nil {
		return errors.Wrap(err, "callers_address")
	}
	l, err := net.Listen("tcp", p.cfg.PeerAddress.String())
	if err != nil {
		_ = callers.Close()
		return errors.Wrap(err, "peer_address")
	}
	peers := newPeerListener(l)
	debug.SetMemoryLimit(p.cfg.Limits.MemoryMB << 20)
	server, err := p.httpServer()
	if err != nil {
		return err
	}
	p.log.WithFields(logrus.Fields{
		"hall": p.cfg.Hall, "callers": p.cfg.CallersAddress, "peers": p.cfg.PeerAddress,
		"incarnation": p.self.Incarnation,
	}).Info("started")
	work, stop := context.WithCancel(context.Background())
	defer stop()
	p.startDuties(work, peers)
	p.duties.Go(func() { _ = server.Serve(callers) })
	select {
	case <-ctx.Done():
	case <-p.stopAsked:
	}
	p.leave(server, peers)
	stop()
	p.peers.Close()
	p.duties.Wait()
	p.log.Info("stopped")
	return nil
}

func (p *Process) startDuties(ctx context.Context, peers net.Listener) {
	metered := dialer.MeterListener(peers, p.controlBytes)
	p.duties.Go(func() { _ = peer.Serve(ctx, metered, p.handlers()) })
	p.duties.Go(func() { p.watchStore(ctx) })
	p.duties.Go(func() { p.watchHosts(ctx) })
	p.duties.Go(func() { p.exchangeBeats(ctx) })
	p.duties.Go(func() { p.runEngines(ctx) })
}

// leave ends the process as planned. New requests are refused with where to go on; the
// shards go to their successors; what is in flight is finished.
func (p *Process) leave(server *http.Server, peers *peerListener) {
	p.draining.Store(true)
	p.log.Info("leaving")
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	clock.Sleep(ctx, time.Duration(p.cfg.Times.LeaveGrace))
	if k := p.keeper.Load(); k != nil {
		handover, done := context.WithTimeout(ctx, handoverTimeout)
		k.Leave(handover)
		done()
	}
	peers.Refuse()
	_ = server.Shutdown(ctx)
	for p.inFlight() > 0 && ctx.Err() == nil {
		clock.Sleep(ctx, 20*time.Millisecond)
	}
}

// stopRequested begins a planned stop, as the end of Run's ctx does.
func (p *Process) stopRequested() {
	select {
	case p.stopAsked <- struct{}{}:
	default:
	}
}

func (p *Process) storeUp() bool {
	return p.store.Up(storeUpWithin)
}

func (p *Process) inFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.engines {
		n += e.engine.InFlight()
	}
	return n
}

// holder is this process as the records name it.
func (p *Process) holder() ownership.Holder {
	return holderOf(p.self)
}

func holderOf(m members.Member) ownership.Holder {
	return ownership.Holder{ID: m.ID, Incarnation: m.Incarnation, Address: m.Address}
}

// runningEngine is an engine with the means to stop it.
type runningEngine struct {
	engine *shard.Engine
	epoch  cell.Epoch
	stop   context.CancelFunc
}

// addressOf is the address of the owner that is known for a shard.
func (p *Process) addressOf(id cell.ShardID) (netip.AddrPort, bool) {
	record, kept := p.keptRecord(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !kept {
		record = p.records[id]
	}
	if m, epoch, ok := p.table.OwnerOf(id); ok && epoch > record.Epoch {
		return m.Address, true
	}
	return record.Owner.Address, record.Owner.Address.IsValid()
}

// keptRecord is the keeper's record of a shard of the own hall. The keeper calls back
// into the table of members, so it must not be asked with the lock held.
func (p *Process) keptRecord(id cell.ShardID) (ownership.Record, bool) {
	k := p.keeper.Load()
	if k == nil || id.Hall != p.cfg.Hall {
		return ownership.Record{}, false
	}
	return k.Record(id), true
}
