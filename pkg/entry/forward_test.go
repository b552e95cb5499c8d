package entry

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/ownership"
	"foldarch.dev/foldarch/pkg/peer"
	"foldarch.dev/foldarch/pkg/procconf"
	"foldarch.dev/foldarch/pkg/result"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
)

var forwardShard = cell.ShardID{Hall: "north"}

// closedAddress is an address on which nothing listens.
var closedAddress = netip.MustParseAddrPort("127.0.0.1:1")

// forwarder is a process that owns nothing and forwards requests to the owner that setOwner names.
type forwarder struct {
	*Process
	t     *testing.T
	epoch cell.Epoch
}

func newForwarder(t *testing.T) *forwarder {
	cfg := procconf.DefaultEntry()
	cfg.ID, cfg.Hall, cfg.Store = "north-a", forwardShard.Hall, []netip.AddrPort{closedAddress}
	cfg.PeerAddress = netip.MustParseAddrPort("127.0.0.1:2")
	log := logrus.New()
	log.SetOutput(io.Discard)
	p, err := New(cfg, logrus.NewEntry(log))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(p.peers.Close)
	return &forwarder{Process: p, t: t}
}

func (f *forwarder) setOwner(address netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.epoch++
	f.records[forwardShard] = ownership.Record{Epoch: f.epoch, Owner: ownership.Holder{ID: "owner", Incarnation: "i", Address: address}}
}

// startPeer starts a peer that answers forwarded requests with answer, and returns its address.
func (f *forwarder) startPeer(ctx context.Context, answer func(context.Context, peer.Request) peer.Answer) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(f.t).Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = peer.Serve(ctx, l, peer.Handlers{Forward: answer})
	}()
	f.t.Cleanup(func() { cancel(); <-done })
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// startStoppingOwner makes a peer the owner that takes a request and ends without an answer to it, while another
// one becomes the owner.
func (f *forwarder) startStoppingOwner(next netip.AddrPort) {
	ctx, stop := context.WithCancel(context.Background())
	f.t.Cleanup(stop)
	f.setOwner(f.startPeer(ctx, func(ctx context.Context, _ peer.Request) peer.Answer {
		f.setOwner(next)
		stop()
		<-ctx.Done()
		return peer.Answer{}
	}))
}

func callWithKey() peer.Request {
	return peer.Request{Kind: peer.Call, Shard: forwardShard, Service: "scoring", Caller: "tester", Key: "k", TimeLeft: 5 * time.Second}
}

func answers(a peer.Answer) func(context.Context, peer.Request) peer.Answer {
	return func(context.Context, peer.Request) peer.Answer { return a }
}

// Guards against the answer that a request did not run although its first owner, whose answer was lost, may have
// run it.
func TestRefusalAfterALostAnswerDoesNotSayThatTheRequestHasNotRun(t *testing.T) {
	refusals := map[string]func(*forwarder) netip.AddrPort{
		"the next owner does not have the shard": func(f *forwarder) netip.AddrPort {
			return f.startPeer(context.Background(), answers(newRefusal(result.NoOwner, "not the owner")))
		},
		"the next owner refuses": func(f *forwarder) netip.AddrPort {
			return f.startPeer(context.Background(), answers(newRefusal(result.Overloaded, "full")))
		},
		"the next owner can't be reached":         func(*forwarder) netip.AddrPort { return closedAddress },
		"the next owner is not known":             func(*forwarder) netip.AddrPort { return netip.AddrPort{} },
		"this process is to be the next owner":    func(f *forwarder) netip.AddrPort { return f.self.Address },
		"the answer of the next owner was lost":   func(f *forwarder) netip.AddrPort { return f.startLosingPeer() },
		"a further owner does not have the shard": func(f *forwarder) netip.AddrPort { return f.startLosingPeerBeforeRefusal() },
	}
	for name, next := range refusals {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newForwarder(t)
			f.startStoppingOwner(next(f))
			a := f.forward(context.Background(), callWithKey())
			g.Expect(a.Code).To(Equal(result.AnswerLost), a.Message)
		})
	}
}

func (f *forwarder) startLosingPeer() netip.AddrPort {
	ctx, stop := context.WithCancel(context.Background())
	return f.startPeer(ctx, func(ctx context.Context, _ peer.Request) peer.Answer {
		stop()
		<-ctx.Done()
		return peer.Answer{}
	})
}

func (f *forwarder) startLosingPeerBeforeRefusal() netip.AddrPort {
	refusing := f.startPeer(context.Background(), answers(newRefusal(result.NoOwner, "not the owner")))
	ctx, stop := context.WithCancel(context.Background())
	return f.startPeer(ctx, func(ctx context.Context, _ peer.Request) peer.Answer {
		f.setOwner(refusing)
		stop()
		<-ctx.Done()
		return peer.Answer{}
	})
}

// The record of a shard names its next owner a little before that one's process has the shard.
func TestRequestWithALostAnswerWaitsForTheNextOwner(t *testing.T) {
	g := NewWithT(t)
	f := newForwarder(t)
	var asked atomic.Int32
	f.startStoppingOwner(f.startPeer(context.Background(), func(context.Context, peer.Request) peer.Answer {
		if asked.Add(1) <= 2 {
			return newRefusal(result.NoOwner, "not the owner yet")
		}
		return peer.Answer{Code: result.InProgress, RetryAfter: time.Second}
	}))
	a := f.forward(context.Background(), callWithKey())
	g.Expect(a.Code).To(Equal(result.InProgress), a.Message)
	g.Expect(a.RetryAfter).To(Equal(time.Second))
	g.Expect(asked.Load()).To(Equal(int32(3)))
}

func TestBatchSubmissionWithALostAnswerIsNotCalledUnstored(t *testing.T) {
	g := NewWithT(t)
	f := newForwarder(t)
	f.startStoppingOwner(f.startPeer(context.Background(), answers(newRefusal(result.StoreDown, "the store is down"))))
	r := peer.Request{Kind: peer.BatchSubmit, Shard: forwardShard, Service: "fit", Caller: "tester", Key: "k", TimeLeft: 5 * time.Second}
	g.Expect(f.forward(context.Background(), r).Code).To(Equal(result.AnswerLost))
}

// A query has no effect that a lost answer could leave unknown.
func TestRefusalOfAQueryAfterALostAnswerIsPassedOn(t *testing.T) {
	g := NewWithT(t)
	f := newForwarder(t)
	f.startStoppingOwner(f.startPeer(context.Background(), answers(peer.Answer{Code: result.UnknownBatch})))
	r := peer.Request{Kind: peer.BatchRead, Shard: forwardShard, Caller: "tester", ID: "x", TimeLeft: time.Second}
	g.Expect(f.forward(context.Background(), r).Code).To(Equal(result.UnknownBatch))
}

// A request that no owner can have run is refused at once and as not run.
func TestRefusalOfTheOnlyOwnerAskedIsPassedOn(t *testing.T) {
	g := NewWithT(t)
	f := newForwarder(t)
	asked := 0
	f.setOwner(f.startPeer(context.Background(), func(context.Context, peer.Request) peer.Answer {
		asked++
		return newRefusal(result.NoOwner, "not the owner")
	}))
	a := f.forward(context.Background(), callWithKey())
	g.Expect(a.Code).To(Equal(result.NoOwner))
	g.Expect(a.RetryAfter).To(Equal(refusalRetryAfter))
	g.Expect(asked).To(Equal(1))
	f.setOwner(closedAddress)
	g.Expect(f.forward(context.Background(), callWithKey()).Code).To(Equal(result.HomeUnreachable))
	f.setOwner(netip.AddrPort{})
	g.Expect(f.forward(context.Background(), callWithKey()).Code).To(Equal(result.NoOwner))
}

// Guards against requests that wait for a previous owner which is paused or cut off: its connections stay open.
func TestForwardToASilentPreviousOwnerIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	f := newForwarder(t)
	l, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts connections, and nothing reads them
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	f.setOwner(l.Addr().(*net.TCPAddr).AddrPort())
	time.AfterFunc(ownerCheckInterval, func() {
		f.setOwner(f.startPeer(context.Background(), answers(peer.Answer{Code: result.InProgress})))
	})
	r := callWithKey()
	r.TimeLeft = time.Minute
	answer := make(chan peer.Answer, 1)
	go func() { answer <- f.forward(context.Background(), r) }()
	var a peer.Answer
	g.Eventually(answer, 10*time.Second).Should(Receive(&a))
	g.Expect(a.Code).To(Equal(result.InProgress), a.Message)
}
