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

// FarmConfig describes a set of stand-ins.
type FarmConfig struct {
	// StoreAddress is where the store listens; the zero value is a free port.
	StoreAddress netip.AddrPort
	Workers      []WorkerConfig
	// HostLag is how late the host list tells of a change; 0 is a default.
	HostLag time.Duration
}

// Farm is a store and a set of workers, each on a port of its own.
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

type hostChange struct {
	at    time.Time
	state store.HostState
}

// Uniform describes n like workers in each hall, in racks of six.
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

// StartFarm starts the stand-ins.
func StartFarm(cfg FarmConfig) (*Farm, error) {
	if cfg.HostLag == 0 {
		cfg.HostLag = defaultHostLag
	}
	f := &Farm{
		Ledger: NewLedger(), Workers: map[string]*Worker{}, cfg: cfg,
		addresses: map[string]netip.AddrPort{}, states: map[string][]hostChange{},
	}
	f.Store = NewStore(f.hosts)
	if err := f.listen(); err != nil {
		f.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.duties.Go(func() { f.tick(ctx) })
	return f, nil
}

func (f *Farm) listen() error {
	handler, err := f.Store.Handler()
	if err != nil {
		return err
	}
	at := loopbackAnyPort
	if f.cfg.StoreAddress.IsValid() {
		at = f.cfg.StoreAddress.String()
	}
	if f.storeAddress, err = f.serve(at, handler); err != nil {
		return err
	}
	for _, wc := range f.cfg.Workers {
		w := NewWorker(wc, f.Ledger)
		if handler, err = w.Handler(); err != nil {
			return err
		}
		f.Workers[wc.ID] = w
		if f.addresses[wc.ID], err = f.serve(loopbackAnyPort, handler); err != nil {
			return err
		}
	}
	return nil
}

func (f *Farm) serve(at string, handler http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "stand-in")
	}
	server := &http.Server{Handler: handler}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// StoreAddress returns where the store listens.
func (f *Farm) StoreAddress() netip.AddrPort {
	return f.storeAddress
}

// WorkerAddress returns where a worker listens.
func (f *Farm) WorkerAddress(id string) netip.AddrPort {
	return f.addresses[id]
}

// Close stops all stand-ins.
func (f *Farm) Close() {
	if f.cancel != nil {
		f.cancel()
	}
	f.duties.Wait()
	for _, s := range f.servers {
		_ = s.Close()
	}
	for _, w := range f.Workers {
		w.Kill()
	}
}

// KillWorker ends a worker like a loss of power; the host list tells of it late.
func (f *Farm) KillWorker(id string) {
	f.Workers[id].Kill()
	f.change(id, store.HostGone)
}

// ReviveWorker brings a killed worker back, empty.
func (f *Farm) ReviveWorker(id string) {
	f.Workers[id].Revive()
	f.change(id, store.HostLive)
}

// DrainWorker makes a worker leave as planned.
func (f *Farm) DrainWorker(id string) {
	f.Workers[id].Drain()
	f.change(id, store.HostLeaving)
}

func (f *Farm) change(id string, state store.HostState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.states[id] = append(f.states[id], hostChange{time.Now(), state})
}

// hosts is the host list as it was a while ago.
func (f *Farm) hosts() []storeapi.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	asOf := time.Now().Add(-f.cfg.HostLag)
	var list []storeapi.Host
	for _, w := range f.cfg.Workers {
		state := store.HostLive
		for _, c := range f.states[w.ID] {
			if c.at.Before(asOf) {
				state = c.state
			}
		}
		list = append(list, storeapi.Host{
			ID: w.ID, Kind: storeapi.HostKindWorker, Hall: string(w.Hall),
			Rack: storeapi.NewOptString(w.Rack), Address: f.addresses[w.ID].String(),
			State: storeapi.HostState(state),
		})
	}
	return list
}

func (f *Farm) tick(ctx context.Context) {
	clock.Every(ctx, tickEvery, func() {
		f.Store.Tick()
		for _, w := range f.Workers {
			w.Tick()
		}
	})
}
