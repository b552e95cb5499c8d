package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/store"
	"foldarch.dev/foldarch/pkg/store/storeapi"
	"github.com/cockroachdb/errors"
)

const (
	tickInterval         = 50 * time.Millisecond
	defaultHostListDelay = 200 * time.Millisecond
	loopbackAnyPort      = "127.0.0.1:0"
)

// EnvironmentConfig describes the stand-ins of an Environment.
type EnvironmentConfig struct {
	// StoreAddress is where the store listens; the zero value means a free port of the loopback interface.
	StoreAddress netip.AddrPort
	Workers      []WorkerConfig
	// HostListDelay is how long after a change of a worker's state the host list shows it; 0 means
	// defaultHostListDelay.
	HostListDelay time.Duration
}

// Environment is a stand-in store and a set of stand-in workers, each with a port of its own.
type Environment struct {
	Store   *Store
	RunLog  *RunLog
	Workers map[string]*Worker

	storeAddress netip.AddrPort
	addresses    map[string]netip.AddrPort
	cfg          EnvironmentConfig
	servers      []*http.Server
	cancel       context.CancelFunc
	background   sync.WaitGroup

	mu          sync.Mutex
	hostChanges map[string][]hostChange
}

// hostChange is a change of the state of a worker in the host list.
type hostChange struct {
	at    time.Time
	state store.HostState
}

// UniformWorkers describes n workers of the same capacity in each hall, in racks of six.
func UniformWorkers(halls []cell.Hall, n int, capacity cell.Resources) []WorkerConfig {
	const perRack = 6
	var list []WorkerConfig
	for _, hall := range halls {
		for i := range n {
			list = append(list, WorkerConfig{
				ID: fmt.Sprintf("%s-w%d", hall, i), Hall: hall,
				Rack: fmt.Sprintf("%s-r%d", hall, i/perRack), Capacity: capacity, CheckEpochs: true,
			})
		}
	}
	return list
}

// StartEnvironment starts the stand-ins. The caller has to call Close.
func StartEnvironment(cfg EnvironmentConfig) (*Environment, error) {
	if cfg.HostListDelay == 0 {
		cfg.HostListDelay = defaultHostListDelay
	}
	e := &Environment{
		RunLog: NewRunLog(), Workers: map[string]*Worker{}, cfg: cfg,
		addresses: map[string]netip.AddrPort{}, hostChanges: map[string][]hostChange{},
	}
	e.Store = NewStore(e.delayedHostList)
	if err := e.startServers(); err != nil {
		e.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.background.Go(func() { e.runTicker(ctx) })
	return e, nil
}

func (e *Environment) startServers() error {
	handler, err := e.Store.Handler()
	if err != nil {
		return err
	}
	address := loopbackAnyPort
	if e.cfg.StoreAddress.IsValid() {
		address = e.cfg.StoreAddress.String()
	}
	if e.storeAddress, err = e.startServer(address, handler); err != nil {
		return err
	}
	for _, wc := range e.cfg.Workers {
		w := NewWorker(wc, e.RunLog)
		if handler, err = w.Handler(); err != nil {
			return err
		}
		e.Workers[wc.ID] = w
		if e.addresses[wc.ID], err = e.startServer(loopbackAnyPort, handler); err != nil {
			return err
		}
	}
	return nil
}

func (e *Environment) startServer(address string, handler http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "stand-in")
	}
	server := newServer(handler)
	e.servers = append(e.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// StoreAddress returns the address of the store.
func (e *Environment) StoreAddress() netip.AddrPort {
	return e.storeAddress
}

// WorkerAddress returns the address of a worker.
func (e *Environment) WorkerAddress(id string) netip.AddrPort {
	return e.addresses[id]
}

// Close stops all stand-ins.
func (e *Environment) Close() {
	if e.cancel != nil {
		e.cancel()
	}
	e.background.Wait()
	for _, s := range e.servers {
		_ = s.Close()
	}
	for _, w := range e.Workers {
		w.Kill()
	}
}

// KillWorker stops a worker as a loss of power would; the host list shows it as gone after HostListDelay.
func (e *Environment) KillWorker(id string) {
	e.Workers[id].Kill()
	e.recordHostChange(id, store.HostGone)
}

// ReviveWorker makes a killed worker answer again, without tasks.
func (e *Environment) ReviveWorker(id string) {
	e.Workers[id].Revive()
	e.recordHostChange(id, store.HostLive)
}

// DrainWorker makes a worker report that it is draining; the host list shows it as leaving after
// HostListDelay.
func (e *Environment) DrainWorker(id string) {
	e.Workers[id].Drain()
	e.recordHostChange(id, store.HostLeaving)
}

func (e *Environment) recordHostChange(id string, state store.HostState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hostChanges[id] = append(e.hostChanges[id], hostChange{time.Now(), state})
}

// delayedHostList returns the host list as it was HostListDelay ago.
func (e *Environment) delayedHostList() []storeapi.Host {
	e.mu.Lock()
	defer e.mu.Unlock()
	asOf := time.Now().Add(-e.cfg.HostListDelay)
	var list []storeapi.Host
	for _, w := range e.cfg.Workers {
		state := store.HostLive
		for _, c := range e.hostChanges[w.ID] {
			if c.at.Before(asOf) {
				state = c.state
			}
		}
		list = append(list, storeapi.Host{
			ID: w.ID, Kind: storeapi.HostKindWorker, Hall: string(w.Hall),
			Rack: storeapi.NewOptString(w.Rack), Address: e.addresses[w.ID].String(),
			State: storeapi.HostState(state),
		})
	}
	return list
}

// runTicker ends expired leases of the store and of tasks at every tickInterval until ctx ends.
func (e *Environment) runTicker(ctx context.Context) {
	clock.Every(ctx, tickInterval, func() {
		e.Store.Tick()
		for _, w := range e.Workers {
			w.Tick()
		}
	})
}
