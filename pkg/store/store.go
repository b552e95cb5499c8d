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

// maxIdleConnections is how many idle connections are kept open to each address of the service.
const maxIdleConnections = 4

// MaxValueBytes is the largest value that the service accepts.
const MaxValueBytes = 1 << 20

// Errors of calls, to be distinguished with errors.Is.
var (
	ErrAbsent   = errors.New("key does not exist in the store")
	ErrConflict = errors.New("key has another revision in the store")
	ErrTooLarge = errors.New("value exceeds the store's size limit")
	ErrNoLease  = errors.New("store lease has ended")
	// ErrUnavailable means that the call certainly had no effect.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrUnsettled means that a write may or may not have taken effect.
	ErrUnsettled = errors.New("it is not known whether the write to the store took effect")
)

// Item is a key with its value.
type Item struct {
	Key      string
	Value    string
	Revision int64 // of the last write; 0 when the key does not exist
	Deleted  bool  // the key was deleted at Revision; only in results of List and Watch
}

// LeaseID identifies a lease of the store; 0 means no lease.
type LeaseID int64

// Config holds the store's addresses and the limits for the calls of one process.
type Config struct {
	Addresses       []netip.AddrPort
	CallTimeout     time.Duration
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// Store is a client of the platform's service. It is safe for concurrent use.
type Store struct {
	cfg        Config
	http       *http.Client
	clients    []*storeapi.Client
	current    atomic.Int64
	reads      *rate.Limiter
	writes     *rate.Limiter
	clk        clock.Clock
	lastAnswer atomic.Int64
	readCount  metrics.Counter
	writeCount metrics.Counter
}

// New returns a client. It counts its calls in the metrics store.reads and store.writes of the registry.
func New(cfg Config, d *dialer.Dialer, clk clock.Clock, registry metrics.Registry) (*Store, error) {
	s := &Store{
		cfg:        cfg,
		clk:        clk,
		reads:      rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), int(cfg.ReadsPerSecond)+1),
		writes:     rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), int(cfg.WritesPerSecond)+1),
		readCount:  metrics.NewRegisteredCounter("store.reads", registry),
		writeCount: metrics.NewRegisteredCounter("store.writes", registry),
	}
	s.lastAnswer.Store(-int64(time.Hour / time.Millisecond))
	s.http = &http.Client{Transport: d.Transport(maxIdleConnections)}
	for _, address := range cfg.Addresses {
		c, err := storeapi.NewClient(fmt.Sprintf("http://%s", address), storeapi.WithClient(s.http))
		if err != nil {
			return nil, errors.Wrapf(err, "store address %s", address)
		}
		s.clients = append(s.clients, c)
	}
	if len(s.clients) == 0 {
		return nil, errors.New("no store address is configured")
	}
	return s, nil
}

// LastAnswer returns when the store last answered this process.
func (s *Store) LastAnswer() clock.Time {
	return clock.Time(s.lastAnswer.Load())
}

// AnsweredWithin reports whether the store has answered this process within the given time before now.
func (s *Store) AnsweredWithin(within time.Duration) bool {
	return s.clk.Now().Sub(s.LastAnswer()) < within
}

// client returns the client for the address in use.
func (s *Store) client() *storeapi.Client {
	return s.clients[int(s.current.Load())%len(s.clients)]
}

// read makes a call that changes nothing, subject to the read rate and the given time limit.
func (s *Store) read(ctx context.Context, limit time.Duration, call func(context.Context, *storeapi.Client) error) error {
	if err := s.reads.Wait(ctx); err != nil {
		return errors.Mark(err, ErrUnavailable)
	}
	s.readCount.Inc(1)
	return s.call(ctx, limit, call)
}

// write makes a call that changes the store, subject to the write rate and the configured time limit.
func (s *Store) write(ctx context.Context, call func(context.Context, *storeapi.Client) error) error {
	if err := s.writes.Wait(ctx); err != nil {
		return errors.Mark(err, ErrUnavailable)
	}
	s.writeCount.Inc(1)
	return s.call(ctx, s.cfg.CallTimeout, call)
}

// call makes a call with a time limit and returns its error as one of this package.
func (s *Store) call(ctx context.Context, limit time.Duration, call func(context.Context, *storeapi.Client) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := call(ctx, s.client())
	if err == nil {
		s.lastAnswer.Store(int64(s.clk.Now()))
		return nil
	}
	return s.classify(err)
}

// classify converts an error of a call into one of the errors of this package. When the store did not
// answer, later calls use the next address.
func (s *Store) classify(err error) error {
	var refused *storeapi.RefusedStatusCode
	if !errors.As(err, &refused) {
		// The other idle connections may be dead as well, and each would cost one call its whole time limit.
		s.http.CloseIdleConnections()
		s.current.Add(1)
		if dialer.NotSent(err) {
			return errors.Mark(err, ErrUnavailable)
		}
		return errors.Mark(err, ErrUnsettled)
	}
	switch refused.Response.Reason {
	case storeapi.RefusalReasonAbsent:
		return s.recordAnswer(ErrAbsent)
	case storeapi.RefusalReasonConflict:
		return s.recordAnswer(ErrConflict)
	case storeapi.RefusalReasonTooLarge:
		return s.recordAnswer(ErrTooLarge)
	case storeapi.RefusalReasonNoLease:
		return s.recordAnswer(ErrNoLease)
	default:
		return errors.Mark(errors.Newf("store refused the call: %s", refused.Response.Reason), ErrUnavailable)
	}
}

// recordAnswer records that the store has answered, and returns err unchanged.
func (s *Store) recordAnswer(err error) error {
	s.lastAnswer.Store(int64(s.clk.Now()))
	return err
}
