package peer

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clientlimit"
	"foldarch.dev/foldarch/pkg/dialer"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

const (
	largeBodyBytes = 1 << 20
	callTimeout    = 20 * time.Second
)

// serveWithLimits serves calls of peers within the limits for clients and returns the address.
func serveWithLimits(t *testing.T, h Handlers) netip.AddrPort {
	g := NewWithT(t)
	log, _ := logtest.NewNullLogger()
	limiter := clientlimit.New(clientlimit.Resources{MemoryBytes: 96 << 20, Descriptors: 1000}, clientlimit.DefaultOptions(), metrics.NewRegistry(), logrus.NewEntry(log))
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	l := limiter.Listener("peers", clientlimit.Peers).AllowFirstCalls(largeBodyBytes + 64<<10).Wrap(dialer.MeterListener(inner, metrics.NewCounter()))
	ctx, cancel := context.WithCancel(context.Background())
	var served sync.WaitGroup
	served.Go(func() { _ = Serve(ctx, l, h) })
	t.Cleanup(func() {
		cancel()
		served.Wait()
	})
	return inner.Addr().(*net.TCPAddr).AddrPort()
}

// Guards against limits that cut large requests which are the first calls of their connections.
func TestLargeRequestsAreForwardedOverNewConnections(t *testing.T) {
	g := NewWithT(t)
	const requests = 40 // more than have a turn at one time
	address := serveWithLimits(t, Handlers{Forward: func(_ context.Context, r Request) Answer { return Answer{Body: r.Body[:1]} }})
	client := NewClient(dialer.New(nil, time.Second, metrics.NewCounter()))
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	request := Request{Shard: cell.ShardID{Hall: "north"}, Body: bytes.Repeat([]byte("a"), largeBodyBytes)}
	errs := make(chan error, requests)
	for range requests {
		go func() {
			_, err := client.Forward(ctx, address, request)
			errs <- err
		}()
	}
	for range requests {
		g.Expect(<-errs).NotTo(HaveOccurred())
	}
}
