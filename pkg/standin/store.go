package standin

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"foldarch.dev/foldarch/pkg/store"
	"foldarch.dev/foldarch/pkg/store/storeapi"
	"golang.org/x/time/rate"
)

// StoreFaults are the faults of the store. The zero value is a store without faults.
type StoreFaults struct {
	Down bool `json:"down"` // connections are closed before a call takes effect
	// With LoseAnswers n > 0, every nth write takes effect but its answer is lost.
	LoseAnswers int           `json:"lose_answers"`
	Delay       time.Duration `json:"delay"` // before each call takes effect
	// Writes and reads above these rates are refused with status 429; 0 means no limit.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
}

// StoreCounts are the numbers of calls that the store has received, including those that failed by a fault.
type StoreCounts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// Store is a stand-in for the key-value store and the host list of the platform. Items are kept in memory,
// and deleted items stay as markers so that watchers see the deletion.
type Store struct {
	mu           sync.Mutex
	items        map[string]storeapi.Item
	revision     int64
	changed      chan struct{} // closed and replaced at each change, to wake up waiting ListValues calls
	leases       map[int64]*storeLease
	lastLeaseID  int64
	faults       StoreFaults
	counts       StoreCounts
	writeCount   int
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter
	hosts        func() []storeapi.Host
}

type storeLease struct {
	term      time.Duration
	expiresAt time.Time
}

// NewStore returns an empty store that gets its host list from hosts.
func NewStore(hosts func() []storeapi.Host) *Store {
	return &Store{
		items: map[string]storeapi.Item{}, changed: make(chan struct{}),
		leases: map[int64]*storeLease{}, hosts: hosts,
		writeLimiter: rate.NewLimiter(rate.Inf, 1), readLimiter: rate.NewLimiter(rate.Inf, 1),
	}
}

// SetFaults replaces the faults of the store. Waiting ListValues calls are woken up, so that Down breaks them
// off too.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.writeLimiter = newLimiter(f.WritesPerSecond)
	s.readLimiter = newLimiter(f.ReadsPerSecond)
	s.notifyWatchers()
}

func newLimiter(callsPerSecond float64) *rate.Limiter {
	if callsPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(callsPerSecond), max(int(callsPerSecond), 1))
}

// Counts returns the numbers of calls so far.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Handler returns the HTTP handler of the store, which applies the faults.
func (s *Store) Handler() (http.Handler, error) {
	inner, err := storeapi.NewServer(s)
	if err != nil {
		return nil, err
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.serveWithFaults(inner, w, r)
	}), nil
}

func (s *Store) serveWithFaults(inner http.Handler, w http.ResponseWriter, r *http.Request) {
	isWrite := r.Method != http.MethodGet
	faults, lose, allowed := s.admit(isWrite)
	time.Sleep(faults.Delay)
	switch {
	case faults.Down:
		panic(http.ErrAbortHandler)
	case !allowed:
		http.Error(w, `{"reason":"rate_limited"}`, http.StatusTooManyRequests)
	case lose:
		inner.ServeHTTP(discardResponse{http.Header{}}, r)
		panic(http.ErrAbortHandler)
	default:
		inner.ServeHTTP(w, r)
	}
}

// admit counts a call and returns the faults that apply to it: lose says that its answer is to be lost, and
// allowed is false if the call exceeds the rate limit.
func (s *Store) admit(isWrite bool) (faults StoreFaults, lose, allowed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !isWrite {
		s.counts.Reads++
		return s.faults, false, s.readLimiter.Allow()
	}
	s.counts.Writes++
	s.writeCount++
	lose = s.faults.LoseAnswers > 0 && s.writeCount%s.faults.LoseAnswers == 0
	return s.faults, lose, s.writeLimiter.Allow()
}

// discardResponse is a http.ResponseWriter that drops the response, for calls whose answer is lost.
type discardResponse struct{ header http.Header }

func (d discardResponse) Header() http.Header         { return d.header }
func (d discardResponse) Write(p []byte) (int, error) { return len(p), nil }
func (d discardResponse) WriteHeader(int)             {}

// ReadValue implements storeapi.Handler. It returns one item.
func (s *Store) ReadValue(_ context.Context, p storeapi.ReadValueParams) (*storeapi.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	item, ok := s.items[p.Key]
	if !ok || item.Deleted.Value {
		return nil, newRefusal(http.StatusNotFound, storeapi.RefusalReasonAbsent)
	}
	return &item, nil
}

// SwapValue implements storeapi.Handler. It writes a value if the item has the expected revision (0 if it
// must not exist).
func (s *Store) SwapValue(_ context.Context, b *storeapi.Swap) (*storeapi.Written, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if len(b.Value) > store.MaxValueBytes {
		return nil, newRefusal(http.StatusRequestEntityTooLarge, storeapi.RefusalReasonTooLarge)
	}
	if b.Lease.Set && s.leases[b.Lease.Value] == nil {
		return nil, newRefusal(http.StatusConflict, storeapi.RefusalReasonNoLease)
	}
	if s.currentRevision(b.Key) != b.Expect {
		return nil, newRefusal(http.StatusConflict, storeapi.RefusalReasonConflict)
	}
	s.put(storeapi.Item{Key: b.Key, Value: b.Value, Lease: b.Lease})
	return &storeapi.Written{Revision: s.revision}, nil
}

// DeleteValue implements storeapi.Handler. It deletes an item if it has the expected revision.
func (s *Store) DeleteValue(_ context.Context, p storeapi.DeleteValueParams) (*storeapi.Written, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if s.currentRevision(p.Key) != p.Expect || p.Expect == 0 {
		return nil, newRefusal(http.StatusConflict, storeapi.RefusalReasonConflict)
	}
	s.remove(p.Key)
	return &storeapi.Written{Revision: s.revision}, nil
}

// ListValues implements storeapi.Handler. It lists the items with a prefix that changed after a revision. If
// there are none, it waits for one up to the time in the parameters.
func (s *Store) ListValues(ctx context.Context, p storeapi.ListValuesParams) (*storeapi.Listing, error) {
	timeout := time.After(time.Duration(p.WaitMs.Value) * time.Millisecond)
	for {
		listing, changed, down := s.listItems(p)
		if down {
			panic(http.ErrAbortHandler)
		}
		if len(listing.Items) > 0 || p.WaitMs.Value == 0 {
			return listing, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return listing, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (s *Store) listItems(p storeapi.ListValuesParams) (*storeapi.Listing, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	listing := &storeapi.Listing{Revision: s.revision, Items: []storeapi.Item{}}
	for key, item := range s.items {
		skipDeleted := item.Deleted.Value && p.After.Value == 0
		if strings.HasPrefix(key, p.Prefix) && item.Revision > p.After.Value && !skipDeleted {
			listing.Items = append(listing.Items, item)
		}
	}
	slices.SortFunc(listing.Items, func(a, b storeapi.Item) int { return strings.Compare(a.Key, b.Key) })
	return listing, s.changed, s.faults.Down
}

// OpenLease implements storeapi.Handler.
func (s *Store) OpenLease(_ context.Context, b *storeapi.LeaseTerm) (*storeapi.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaseID++
	term := time.Duration(b.TTLMs) * time.Millisecond
	s.leases[s.lastLeaseID] = &storeLease{term: term, expiresAt: time.Now().Add(term)}
	return &storeapi.Lease{ID: s.lastLeaseID, TTLMs: b.TTLMs}, nil
}

// RenewLease implements storeapi.Handler.
func (s *Store) RenewLease(_ context.Context, p storeapi.RenewLeaseParams) (*storeapi.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	lease, ok := s.leases[p.ID]
	if !ok {
		return nil, newRefusal(http.StatusConflict, storeapi.RefusalReasonNoLease)
	}
	lease.expiresAt = time.Now().Add(lease.term)
	return &storeapi.Lease{ID: p.ID, TTLMs: lease.term.Milliseconds()}, nil
}

// CloseLease implements storeapi.Handler. It ends a lease and deletes its items.
func (s *Store) CloseLease(_ context.Context, p storeapi.CloseLeaseParams) (*storeapi.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(p.ID)
	return &storeapi.Lease{ID: p.ID}, nil
}

// ListHosts implements storeapi.Handler.
func (s *Store) ListHosts(context.Context) (*storeapi.HostList, error) {
	return &storeapi.HostList{Revision: 1, Hosts: s.hosts()}, nil
}

// NewError implements storeapi.Handler. It turns an error of the other methods into a response; what is not a
// refusal by this store counts as a malformed request.
func (s *Store) NewError(_ context.Context, err error) *storeapi.RefusedStatusCode {
	if refused, ok := err.(*storeapi.RefusedStatusCode); ok {
		return refused
	}
	return newRefusal(http.StatusBadRequest, storeapi.RefusalReasonMalformed)
}

func newRefusal(status int, reason storeapi.RefusalReason) *storeapi.RefusedStatusCode {
	return &storeapi.RefusedStatusCode{StatusCode: status, Response: storeapi.Refusal{Reason: reason}}
}

// Tick ends the leases that have expired, so that watchers see the deleted items even when no call arrives.
func (s *Store) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
}

func (s *Store) expireLeases() {
	now := time.Now()
	for id, lease := range s.leases {
		if now.After(lease.expiresAt) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and deletes its items.
func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease.Set && item.Lease.Value == id && !item.Deleted.Value {
			s.remove(key)
		}
	}
}

// currentRevision returns the revision of an item, or 0 if there is none.
func (s *Store) currentRevision(key string) int64 {
	item := s.items[key]
	if item.Deleted.Value {
		return 0
	}
	return item.Revision
}

func (s *Store) put(item storeapi.Item) {
	s.revision++
	item.Revision = s.revision
	s.items[item.Key] = item
	s.notifyWatchers()
}

func (s *Store) remove(key string) {
	s.put(storeapi.Item{Key: key, Deleted: storeapi.NewOptBool(true)})
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}
