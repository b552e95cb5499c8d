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
	tickEvery       = 50 * time.Millisecond
	defaultHostLag  = 200 * time.Millisecond
	loopbackAnyPort = "127.0.0.1:0"
)

// EnvironmentConfig describes the stand-ins of an Environment.
type FarmConfig struct {
	// StoreAddress is where the store listens; the zero value means a free port of the loopback interface.
	StoreAddress netip.AddrPort
	Workers      []WorkerConfig
	// HostListDelay is how long after a change of a worker's state the host list shows it; 0 means
	// defaultHostListDelay.
	HostLag time.Duration
}

// Environment is a stand-in store and a set of stand-in workers, each with a port of its own.
type Farm struct {
	Store   *Store
	Ledger  *Ledger
	Workers map[string]*Worker

	storeAddress netip.AddrPort
	addresses    map[string]netip.AddrPort
	cfg          FarmConfig
	servers      []*http.Server
	cancel       context.CancelFunc
	duties       sync.WaitGroup

	mu     sync.Mutex
	states map[string][]hostChange
}

// hostChange is a change of the state of a worker in the host list.
type hostChange struct {
	at    time.Time
	state store.HostState
}

// UniformWorkers describes n workers of the same capacity in each hall, in racks of six.
func Uniform(halls []cell.Hall, n int, capacity cell.Resources) []WorkerConfig {
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
func StartFarm(cfg FarmConfig) (*Farm, error) {
	if cfg.HostLag == 0 {
		cfg.HostLag = defaultHostLag
	}
	e := &Farm{
		Ledger: NewLedger(), Workers: map[string]*Worker{}, cfg: cfg,
		addresses: map[string]netip.AddrPort{}, states: map[string][]hostChange{},
	}
	e.Store = NewStore(e.hosts)
	if err := e.listen(); err != nil {
		e.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.duties.Go(func() { e.tick(ctx) })
	return e, nil
}

func (e *Farm) listen() error {
	handler, err := e.Store.Handler()
	if err != nil {
		return err
	}
	address := loopbackAnyPort
	if e.cfg.StoreAddress.IsValid() {
		address = e.cfg.StoreAddress.String()
	}
	if e.storeAddress, err = e.serve(address, handler); err != nil {
		return err
	}
	for _, wc := range e.cfg.Workers {
		w := NewWorker(wc, e.Ledger)
		if handler, err = w.Handler(); err != nil {
			return err
		}
		e.Workers[wc.ID] = w
		if e.addresses[wc.ID], err = e.serve(loopbackAnyPort, handler); err != nil {
			return err
		}
	}
	return nil
}

func (e *Farm) serve(address string, handler http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "stand-in")
	}
	server := &http.Server{Handler: handler}
	e.servers = append(e.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// StoreAddress returns the address of the store.
func (e *Farm) StoreAddress() netip.AddrPort {
	return e.storeAddress
}

// WorkerAddress returns the address of a worker.
func (e *Farm) WorkerAddress(id string) netip.AddrPort {
	return e.addresses[id]
}

// Close stops all stand-ins.
func (e *Farm) Close() {
	if e.cancel != nil {
		e.cancel()
	}
	e.duties.Wait()
	for _, s := range e.servers {
		_ = s.Close()
	}
	for _, w := range e.Workers {
		w.Kill()
	}
}

// KillWorker stops a worker as a loss of power would; the host list shows it as gone after HostListDelay.
func (e *Farm) KillWorker(id string) {
	e.Workers[id].Kill()
	e.change(id, store.HostGone)
}

// ReviveWorker makes a killed worker answer again, without tasks.
func (e *Farm) ReviveWorker(id string) {
	e.Workers[id].Revive()
	e.change(id, store.HostLive)
}

// DrainWorker makes a worker report that it is draining; the host list shows it as leaving after
// HostListDelay.
func (e *Farm) DrainWorker(id string) {
	e.Workers[id].Drain()
	e.change(id, store.HostLeaving)
}

func (e *Farm) change(id string, state store.HostState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.states[id] = append(e.states[id], hostChange{time.Now(), state})
}

// delayedHostList returns the host list as it was HostListDelay ago.
func (e *Farm) hosts() []storeapi.Host {
	e.mu.Lock()
	defer e.mu.Unlock()
	asOf := time.Now().Add(-e.cfg.HostLag)
	var list []storeapi.Host
	for _, w := range e.cfg.Workers {
		state := store.HostLive
		for _, c := range e.states[w.ID] {
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
func (e *Farm) tick(ctx context.Context) {
	clock.Every(ctx, tickEvery, func() {
		e.Store.Tick()
		for _, w := range e.Workers {
			w.Tick()
		}
	})
}
