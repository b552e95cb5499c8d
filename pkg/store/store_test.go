package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/dialer"
	"foldarch.dev/foldarch/pkg/standin"
	"foldarch.dev/foldarch/pkg/store"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
)

// newStore returns a client of a new emulated store.
func newStore(t *testing.T) (*store.Store, *standin.Store) {
	t.Helper()
	g := NewWithT(t)
	fake := standin.NewStore(nil)
	handler, err := fake.Handler()
	g.Expect(err).NotTo(HaveOccurred())
	server := httptest.NewServer(handler)
	server.Config.ErrorLog = nil
	t.Cleanup(server.Close)
	return clientOf(g, server.URL), fake
}

func clientOf(g *WithT, url string) *store.Store {
	s, err := store.New(store.Config{
		Addresses:   []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(url, "http://"))},
		CallTimeout: 5 * time.Second, ReadsPerSecond: 1e6, WritesPerSecond: 1e6,
	}, dialer.New(nil, time.Second, metrics.NewCounter()), clock.System(), metrics.NewRegistry())
	g.Expect(err).NotTo(HaveOccurred())
	return s
}

func TestSwapDeterminesItsOutcomeAfterLostAnswers(t *testing.T) {
	g := NewWithT(t)
	s, fake := newStore(t)
	fake.SetFaults(standin.StoreFaults{LoseAnswers: 2}) // loses the answer of every second write
	ctx := context.Background()
	expect := int64(0)
	for _, value := range []string{"a", "b", "c", "d", "e"} {
		revision, err := s.Swap(ctx, store.Item{Key: "k", Value: value}, expect)
		g.Expect(err).NotTo(HaveOccurred())
		item, err := s.Read(ctx, "k")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(item.Value).To(Equal(value))
		g.Expect(item.Revision).To(Equal(revision))
		expect = revision
	}
	_, err := s.Swap(ctx, store.Item{Key: "k", Value: "late"}, 1)
	g.Expect(errors.Is(err, store.ErrConflict)).To(BeTrue(), "%v", err)
}

// Guards against a write without an answer that is retried for ever after its context has ended, which
// blocked the journal of a shard permanently.
func TestSwapEndsUnsettledWithItsContext(t *testing.T) {
	g := NewWithT(t)
	s, fake := newStore(t)
	fake.SetFaults(standin.StoreFaults{Down: true})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		_, err := s.Swap(ctx, store.Item{Key: "k", Value: "v"}, 0)
		done <- err
	}()
	g.Eventually(func() int64 { return fake.Counts().Writes }, "30s").Should(BeNumerically(">", 0))
	cancel()
	var err error
	g.Eventually(done, "10s").Should(Receive(&err))
	g.Expect(errors.Is(err, store.ErrUnsettled)).To(BeTrue(), "%v", err)
}

func TestSwapIsUnavailableWhenNothingListens(t *testing.T) {
	g := NewWithT(t)
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	s := clientOf(g, closed.URL)
	_, err := s.Swap(context.Background(), store.Item{Key: "k", Value: "v"}, 0)
	g.Expect(errors.Is(err, store.ErrUnavailable)).To(BeTrue(), "%v", err)
}

func TestValueOverTheLimitIsRefusedBeforeItIsSent(t *testing.T) {
	g := NewWithT(t)
	s, fake := newStore(t)
	_, err := s.Swap(context.Background(), store.Item{Key: "k", Value: string(make([]byte, store.MaxValueBytes+1))}, 0)
	g.Expect(errors.Is(err, store.ErrTooLarge)).To(BeTrue(), "%v", err)
	g.Expect(fake.Counts().Writes).To(BeZero())
}

func TestValuesAreDeletedWithTheirLease(t *testing.T) {
	g := NewWithT(t)
	s, _ := newStore(t)
	ctx := context.Background()
	lease, err := s.OpenLease(ctx, time.Minute)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = s.SwapUnderLease(ctx, store.Item{Key: "k", Value: "v"}, 0, lease)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.RenewLease(ctx, lease)).To(Succeed())
	g.Expect(s.CloseLease(ctx, lease)).To(Succeed())
	_, err = s.Read(ctx, "k")
	g.Expect(errors.Is(err, store.ErrAbsent)).To(BeTrue(), "%v", err)
	g.Expect(errors.Is(s.RenewLease(ctx, lease), store.ErrNoLease)).To(BeTrue())
}

func TestWatchReportsAChange(t *testing.T) {
	g := NewWithT(t)
	s, _ := newStore(t)
	ctx := context.Background()
	_, after, err := s.List(ctx, "p/")
	g.Expect(err).NotTo(HaveOccurred())
	type seen struct {
		items []store.Item
		err   error
	}
	results := make(chan seen, 1)
	go func() {
		items, _, err := s.Watch(ctx, "p/", after, 30*time.Second)
		results <- seen{items, err}
	}()
	_, err = s.Swap(ctx, store.Item{Key: "p/x", Value: "v"}, 0)
	g.Expect(err).NotTo(HaveOccurred())
	var got seen
	g.Eventually(results, "30s").Should(Receive(&got))
	g.Expect(got.err).NotTo(HaveOccurred())
	g.Expect(got.items).To(HaveLen(1))
}
