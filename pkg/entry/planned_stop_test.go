package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/batch"
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clientlimit"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/keys"
	"foldarch.dev/foldarch/pkg/peer"
	"foldarch.dev/foldarch/pkg/result"
	"foldarch.dev/foldarch/pkg/settings"
	"foldarch.dev/foldarch/pkg/shard"
	"foldarch.dev/foldarch/pkg/standin"
	"foldarch.dev/foldarch/pkg/store"
	. "github.com/onsi/gomega"
)

// startEngine runs the engine of forwardShard in the process, with one worker that runs the service "scoring".
func (f *forwarder) startEngine() *shard.Engine {
	g := NewWithT(f.t)
	capacity := cell.Resources{CPUMillis: 4000, MemoryMB: 4000}
	w := standin.NewWorker(standin.WorkerConfig{ID: "w0", Hall: forwardShard.Hall, Capacity: capacity}, standin.NewRunLog())
	handler, err := w.Handler()
	g.Expect(err).NotTo(HaveOccurred())
	server := httptest.NewServer(handler)
	f.t.Cleanup(func() { server.Close(); w.Kill() })
	tree, faults := settings.Parse(map[string]string{
		"cell.toml":    "[[hall]]\nname = \"north\"\nregion = \"r\"\n[team.t]\n[rules.resources]\ncpu_millis = 100\nmemory_mb = 100\n",
		"scoring.toml": "kind = \"service\"\nteam = \"t\"\ninstances = 1\n",
	})
	g.Expect(faults).To(BeEmpty())
	ctx, stop := context.WithCancel(context.Background())
	f.t.Cleanup(stop)
	e := shard.New(ctx, shard.Config{Shard: forwardShard, Epoch: 1, TaskLease: time.Minute, ReportEvery: 100 * time.Millisecond, JournalInterval: time.Millisecond, Keys: keys.DefaultConfig}, shard.Deps{
		Clock: f.clk, Workers: f.workers, Endpoints: f.endpoints, Log: f.log,
		Authority:      func() (cell.Epoch, clock.Time, bool) { return 1, f.clk.Now().Add(time.Minute), true },
		StoreAvailable: func() bool { return true },
		LoadBatches:    func(context.Context) ([]batch.Segment, error) { return nil, nil },
	})
	e.SetTree(tree)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	e.SetHosts([]store.Host{{ID: "w0", Hall: forwardShard.Hall, Worker: true, Address: address, State: store.HostLive}})
	f.mu.Lock()
	f.engines[forwardShard] = &runningEngine{engine: e, epoch: 1, stop: stop}
	f.mu.Unlock()
	f.background.Go(e.Run)
	g.Eventually(func() int { return e.Status().Endpoints }, 5*time.Second).Should(Equal(1))
	return e
}

// serveUntilStopped serves peers until a planned stop, which it begins when stop is called, has ended.
func (f *forwarder) serveUntilStopped() (address netip.AddrPort, stop func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(f.t).Expect(err).NotTo(HaveOccurred())
	peers := newPeerListener(l)
	ctx, cancel := context.WithCancel(context.Background())
	f.startBackground(ctx, peers, f.clients.Listener("peers", clientlimit.Peers))
	return l.Addr().(*net.TCPAddr).AddrPort(), func() {
		f.shutDown((&http.Server{}).Shutdown, peers)
		cancel()
		f.background.Wait()
	}
}

// Guards against the loss of answers to forwarded requests: an engine is removed soon after its shard is handed
// over, while requests that it has sent to endpoints still run.
func TestPlannedStopWaitsForForwardedRequestsOfRemovedEngines(t *testing.T) {
	g := NewWithT(t)
	owner, other := newForwarder(t), newForwarder(t)
	owner.cfg.Times.LeaveGrace = 0
	e := owner.startEngine()
	address, stop := owner.serveUntilStopped()
	other.setOwner(address)
	r := callWithKey()
	r.Body = []byte("ms=500 hello")
	answer := make(chan peer.Answer, 1)
	go func() { answer <- other.forward(context.Background(), r) }()
	g.Eventually(e.InFlight, 5*time.Second).Should(Equal(1))
	owner.stopEngines(nil)
	stop()
	var a peer.Answer
	g.Eventually(answer).Should(Receive(&a))
	g.Expect(a.Code).To(Equal(result.OK), a.Message)
}

// Guards against the loss of answers to requests that peers forward before they know of the handover.
func TestPlannedStopAnswersPeersThatDoNotKnowTheNextOwner(t *testing.T) {
	g := NewWithT(t)
	owner, other := newForwarder(t), newForwarder(t)
	owner.cfg.Times.LeaveGrace = 0
	address, stop := owner.serveUntilStopped()
	other.setOwner(address)
	g.Expect(other.forward(context.Background(), callWithKey()).Code).To(Equal(result.NoOwner))
	stopped := make(chan struct{})
	go func() { stop(); close(stopped) }()
	const unaware = 300 * time.Millisecond // how long the peer does not know of the handover
	for began := time.Now(); time.Since(began) < unaware; {
		a := other.forward(context.Background(), callWithKey())
		g.Expect(a.Code).To(Equal(result.NoOwner), a.Message)
	}
	g.Eventually(stopped, 5*time.Second).Should(BeClosed())
}

// Guards against the loss of the answer to a request that takes longer than the handover: a previous owner that
// leaves as planned finishes what it has sent.
func TestPlannedStopFinishesLongForwardedRequests(t *testing.T) {
	g := NewWithT(t)
	owner, other := newForwarder(t), newForwarder(t)
	owner.cfg.Times.LeaveGrace = 0
	e := owner.startEngine()
	address, stop := owner.serveUntilStopped()
	other.setOwner(address)
	r := callWithKey()
	r.Key, r.Body = "", []byte("ms=1500 hello")
	answer := make(chan peer.Answer, 1)
	go func() { answer <- other.forward(context.Background(), r) }()
	g.Eventually(e.InFlight, 5*time.Second).Should(Equal(1))
	other.setOwner(closedAddress)
	owner.stopEngines(nil)
	stop()
	var a peer.Answer
	g.Eventually(answer).Should(Receive(&a))
	g.Expect(a.Code).To(Equal(result.OK), a.Message)
}
