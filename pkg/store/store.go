package store

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/dialer"
	"foldarch.dev/foldarch/pkg/store/storeapi"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

// idleConnections is how many unused connections to each address of the service are kept.
const idleConnections = 4

// MaxValueBytes is the largest value that the service takes.
const MaxValueBytes = 1 << 20

// The failures of a call, to be told apart with errors.Is.
var (
	ErrAbsent   = errors.New("the store has no such key")
	ErrConflict = errors.New("the store holds another revision")
	ErrTooLarge = errors.New("the value is larger than the store takes")
	ErrNoLease  = errors.New("the lease has ended")
	// ErrDown means that the call certainly had no effect.
	ErrDown = errors.New("the store does not answer")
	// ErrUnsettled means that a write may or may not have taken effect.
	ErrUnsettled = errors.New("the answer of the store was lost")
)

// Item is one key with its value.
type Item struct {
	Key      string
	Value    string
	Revision int64 // of the last write; 0 when absent
	Deleted  bool  // in a listing: the key was deleted at Revision
}

// LeaseID names a lease of the store; 0 is none.
type LeaseID int64

// Config bounds what one process asks of the store.
type Config struct {
	Addresses       []netip.AddrPort
	CallTimeout     time.Duration
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// Store is a client of the platform's service. It is safe for concurrent use.
type Store struct {
	cfg     Config
	http    *http.Client
	clients []*storeapi.Client
	current atomic.Int64
	reads   *rate.Limiter
	writes  *rate.Limiter
	clk     clock.Clock
	lastOK  atomic.Int64
	nReads  metrics.Counter
	nWrites metrics.Counter
}

// New returns a client. Its calls are counted as store.reads and store.writes in registry.
func New(cfg Config, d *dialer.Dialer, clk clock.Clock, registry metrics.Registry) (*Store, error) {
	s := &Store{
		cfg:     cfg,
		clk:     clk,
		reads:   rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), int(cfg.ReadsPerSecond)+1),
		writes:  rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), int(cfg.WritesPerSecond)+1),
		nReads:  metrics.NewRegisteredCounter("store.reads", registry),
		nWrites: metrics.NewRegisteredCounter("store.writes", registry),
	}
	s.lastOK.Store(-int64(time.Hour / time.Millisecond))
	s.http = &http.Client{Transport: d.Transport(idleConnections)}
	for _, address := range cfg.Addresses {
		c, err := storeapi.NewClient(fmt.Sprintf("http://%s", address), storeapi.WithClient(s.http))
		if err != nil {
			return nil, errors.Wrapf(err, "store address %s", address)
		}
		s.clients = append(s.clients, c)
	}
	if len(s.clients) == 0 {
		return nil, errors.New("no store address")
	}
	return s, nil
}

// LastAnswer returns when the store last answered this process.
func (s *Store) LastAnswer() clock.Time {
	return clock.Time(s.lastOK.Load())
}

// Up says whether the store answered within the last while.
func (s *Store) Up(within time.Duration) bool {
	return s.clk.Now().Sub(s.LastAnswer()) < within
}

func (s *Store) client() *storeapi.Client {
	return s.clients[int(s.current.Load())%len(s.clients)]
}

// read runs a call without effect under the read rate and the time limit.
func (s *Store) read(ctx context.Context, limit time.Duration, call func(context.Context, *storeapi.Client) error) error {
	if err := s.reads.Wait(ctx); err != nil {
		return errors.Mark(err, ErrDown)
	}
	s.nReads.Inc(1)
	return s.call(ctx, limit, call)
}

// write runs a call with an effect under the write rate and the time limit.
func (s *Store) write(ctx context.Context, call func(context.Context, *storeapi.Client) error) error {
	if err := s.writes.Wait(ctx); err != nil {
		return errors.Mark(err, ErrDown)
	}
	s.nWrites.Inc(1)
	return s.call(ctx, s.cfg.CallTimeout, call)
}

func (s *Store) call(ctx context.Context, limit time.Duration, call func(context.Context, *storeapi.Client) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := call(ctx, s.client())
	if err == nil {
		s.lastOK.Store(int64(s.clk.Now()))
		return nil
	}
	return s.classify(err)
}

// classify turns a failure of the wire into one of the errors of this package.
func (s *Store) classify(err error) error {
	var refused *storeapi.RefusedStatusCode
	if !errors.As(err, &refused) {
		// The other unused connections may carry nothing any more either; each would cost a call its limit.
		s.http.CloseIdleConnections()
		s.current.Add(1)
		if dialer.NotSent(err) {
			return errors.Mark(err, ErrDown)
		}
		return errors.Mark(err, ErrUnsettled)
	}
	switch refused.Response.Reason {
	case storeapi.RefusalReasonAbsent:
		return s.answered(ErrAbsent)
	case storeapi.RefusalReasonConflict:
		return s.answered(ErrConflict)
	case storeapi.RefusalReasonTooLarge:
		return s.answered(ErrTooLarge)
	case storeapi.RefusalReasonNoLease:
		return s.answered(ErrNoLease)
	default:
		return errors.Mark(errors.Newf("store refused: %s", refused.Response.Reason), ErrDown)
	}
}

func (s *Store) answered(err error) error {
	s.lastOK.Store(int64(s.clk.Now()))
	return err
}
