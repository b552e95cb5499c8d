package worker_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/dialer"
	"foldarch.dev/foldarch/pkg/standin"
	"foldarch.dev/foldarch/pkg/worker"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
)

// A command arrives after the authority of its sender has ended. Meanwhile the worker has restarted, so that its
// clock is behind that by which the end of the authority was told.
func TestRestartedWorkerRefusesCommandsAfterTheAuthorityOfTheirSender(t *testing.T) {
	for name, restarts := range map[string]bool{"the same incarnation": false, "the next incarnation": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			newHandler := func() http.Handler {
				h, err := standin.NewWorker(standin.WorkerConfig{ID: "w0"}, nil).Handler()
				g.Expect(err).NotTo(HaveOccurred())
				return h
			}
			var current atomic.Pointer[http.Handler]
			h := newHandler()
			current.Store(&h)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { (*current.Load()).ServeHTTP(w, r) }))
			defer server.Close()
			address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
			clk := clock.System()
			client := worker.New(dialer.New(nil, time.Second, metrics.NewCounter()), clk)
			const uptime, authority, delay = 500 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond
			time.Sleep(uptime)
			status, err := client.Status(context.Background(), address)
			g.Expect(err).NotTo(HaveOccurred())
			cmds := worker.Commands{Epoch: 4, Sequence: 1, ValidUntil: clk.Now().Add(authority), LastStatus: status, Lease: time.Second, Renew: []string{"a"}}
			time.Sleep(delay)
			if restarts {
				h := newHandler()
				current.Store(&h)
			}
			_, err = client.Command(context.Background(), address, cmds)
			g.Expect(err).To(MatchError(worker.ErrStale))
		})
	}
}

// The next incarnation has forgotten epochs and sequence numbers, so that it could carry out a command a second
// time or for a previous owner.
func TestRestartedWorkerRefusesCommandsForItsEarlierIncarnation(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	w := standin.NewWorker(standin.WorkerConfig{ID: "w0"}, standin.NewRunLog())
	h, err := w.Handler()
	g.Expect(err).NotTo(HaveOccurred())
	server := httptest.NewServer(h)
	defer server.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	clk := clock.System()
	client := worker.New(dialer.New(nil, time.Second, metrics.NewCounter()), clk)

	status, err := client.Status(ctx, address)
	g.Expect(err).NotTo(HaveOccurred())
	cmds := worker.Commands{
		Epoch: 4, Sequence: 1, ValidUntil: clk.Now().Add(time.Minute), LastStatus: status, Lease: time.Minute,
		Start: []worker.Task{{ID: "a", Payload: "ms=60000"}},
	}
	w.Kill()
	w.Revive()
	defer w.Kill()
	_, err = client.Command(ctx, address, cmds)
	g.Expect(err).To(MatchError(worker.ErrRestarted))
	g.Expect(err).To(MatchError(worker.ErrStale))

	cmds.LastStatus, err = client.Status(ctx, address)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cmds.LastStatus.Incarnation).NotTo(Equal(status.Incarnation))
	g.Expect(cmds.LastStatus.Tasks).To(BeEmpty())
	status, err = client.Command(ctx, address, cmds)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status.Tasks).To(HaveLen(1))

	cmds.LastStatus, cmds.Epoch = status, 3
	_, err = client.Command(ctx, address, cmds)
	g.Expect(err).To(MatchError(worker.ErrStale))
	g.Expect(err).NotTo(MatchError(worker.ErrRestarted))
}
