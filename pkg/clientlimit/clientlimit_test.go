package clientlimit

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"golang.org/x/sys/unix"
	"storj.io/drpc/drpcctx"
)

const (
	testConnections = MinConnections
	testMemory      = 8 << 20 // gives a budget of 1 MiB for bodies
)

// testServer is an HTTP server with limits, whose handler answers with the body once it may.
type testServer struct {
	*WithT
	t        *testing.T
	address  string
	registry metrics.Registry
	log      *logtest.Hook
	mayEnd   chan struct{}                   // closed when requests for /wait may end
	stop     func(ctx context.Context) error // stops the server as planned
	read     atomic.Int64                    // bytes of bodies that the handler has read
	waiting  atomic.Int64                    // requests for /wait that have reached the handler
}

func newTestServer(t *testing.T, o Options) *testServer {
	log, hook := logtest.NewNullLogger()
	s := &testServer{WithT: NewWithT(t), t: t, registry: metrics.NewRegistry(), log: hook, mayEnd: make(chan struct{})}
	limiter := New(Resources{MemoryBytes: testMemory, Descriptors: maxTestDescriptors}, o, s.registry, logrus.NewEntry(log))
	limits := limiter.Listener("callers", Callers)
	l, err := limits.Listen("127.0.0.1:0")
	s.Expect(err).NotTo(HaveOccurred())
	s.address = l.Addr().String()
	server := limits.Server(http.HandlerFunc(s.serve))
	s.stop = func(ctx context.Context) error { return limits.Shutdown(ctx, server) }
	go func() { _ = server.Serve(limits.Wrap(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

const maxTestDescriptors = 1000

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		s.waiting.Add(1)
		<-s.mayEnd
		return
	}
	n, err := io.Copy(io.Discard, io.TeeReader(r.Body, byteCounter{&s.read}))
	if errors.Is(err, ErrBusy) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == "/wait" {
		s.waiting.Add(1)
		<-s.mayEnd
	}
	_, _ = fmt.Fprint(w, n)
}

// byteCounter is an io.Writer that counts bytes.
type byteCounter struct{ n *atomic.Int64 }

// Write counts the bytes of p.
func (c byteCounter) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return len(p), nil
}

// send opens a connection and sends text on it.
func (s *testServer) send(text string) net.Conn {
	c, err := net.Dial("tcp", s.address)
	s.Expect(err).NotTo(HaveOccurred())
	s.t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	s.Expect(err).NotTo(HaveOccurred())
	return c
}

func post(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", path, length)
}

// status reads the status of the answer on a connection.
func (s *testServer) status(c net.Conn) int {
	s.Expect(c.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

func (s *testServer) isClosed(c net.Conn) func() bool {
	return func() bool {
		s.Expect(c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))).To(Succeed())
		_, err := c.Read(make([]byte, 1))
		var timeout net.Error
		return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
	}
}

func (s *testServer) count(name string) func() int64 {
	return func() int64 {
		switch m := s.registry.Get("clients.callers." + name).(type) {
		case metrics.Counter:
			return m.Count()
		case metrics.Gauge:
			return m.Value()
		}
		return 0
	}
}

// Guards against new callers that are turned away, or requests that are cut, while other connections make no progress.
func TestSlowestConnectionIsReplaced(t *testing.T) {
	o := DefaultOptions()
	o.Connections = testConnections
	s := newTestServer(t, o)
	working := s.send(post("/wait", 0))
	body := s.send(post("/", 10) + "12345")
	silent := s.send("")
	head := s.send("GET / HTTP/1.1\r\n")
	for range testConnections - 4 {
		s.send(post("/wait", 0))
	}
	s.Eventually(s.count("connections"), "10s").Should(BeEquivalentTo(testConnections))
	time.Sleep(2 * phaseGrace) // until then, the oldest connection is the slowest
	for _, next := range []net.Conn{silent, head, body} {
		s.Expect(s.isClosed(next)()).To(BeFalse())
		s.send(post("/wait", 0))
		s.Eventually(s.isClosed(next), "10s").Should(BeTrue())
	}
	s.Eventually(s.waiting.Load, "10s").Should(BeEquivalentTo(testConnections))
	s.Expect(s.status(s.send(post("/", 0)))).To(BeZero(), "all requests are being processed")
	s.Expect(s.count("connections_replaced")()).To(BeEquivalentTo(3))
	s.Expect(s.count("connections_rejected")()).To(BeEquivalentTo(1))
	close(s.mayEnd)
	s.Expect(s.status(working)).To(Equal(http.StatusOK))
}

// Guards against requests that are cut while they are processed, since their handler does not read a body.
func TestRequestWithABodyThatIsNotReadIsKept(t *testing.T) {
	o := DefaultOptions()
	o.Connections = testConnections
	s := newTestServer(t, o)
	c := s.send("DELETE / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}")
	s.Eventually(s.waiting.Load, "10s").Should(BeEquivalentTo(1))
	for range testConnections - 1 {
		s.send(post("/wait", 0))
	}
	s.Eventually(s.waiting.Load, "10s").Should(BeEquivalentTo(testConnections))
	s.Expect(s.status(s.send(post("/", 0)))).To(BeZero(), "all requests are being processed")
	close(s.mayEnd)
	s.Expect(s.status(c)).To(Equal(http.StatusOK))
}

// Guards against bodies that together take more memory than they may, and against refusing one body alone.
func TestLargeBodiesShareABudget(t *testing.T) {
	s := newTestServer(t, DefaultOptions())
	const large = 700 << 10
	text := strings.Repeat("a", large)
	first := s.send(post("/", large) + text[1:])
	s.Eventually(s.count("connections"), "10s").Should(BeEquivalentTo(1))
	s.Eventually(s.read.Load, "10s").Should(BeEquivalentTo(large - 1))
	s.Expect(s.status(s.send(post("/", large) + text[1:]))).To(Equal(http.StatusServiceUnavailable))
	s.Expect(s.status(s.send(post("/", 1000) + text[:1000]))).To(Equal(http.StatusOK))
	s.Expect(s.count("bodies_refused")()).To(BeEquivalentTo(1))
	s.Expect(s.log.LastEntry().Message).To(Equal("client_limited"))
	_, err := io.WriteString(first, "a")
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(s.status(first)).To(Equal(http.StatusOK))
	alone := bytes.Repeat([]byte("{}"), 256<<10) // counts more than the whole budget
	s.Expect(s.status(s.send(post("/", len(alone)) + string(alone)))).To(Equal(http.StatusOK))
}

// Guards against refusing small bodies for texts that look like many objects.
func TestTextsAreNoObjects(t *testing.T) {
	s := newTestServer(t, DefaultOptions())
	text := fmt.Sprintf(`{"spec":"\"%s"}`, strings.Repeat("{,", 2000))
	first := s.send(post("/wait", len(text)) + text)
	s.Eventually(s.waiting.Load, "10s").Should(BeEquivalentTo(1))
	s.Expect(s.status(s.send(post("/", len(text)) + text))).To(Equal(http.StatusOK))
	close(s.mayEnd)
	s.Expect(s.status(first)).To(Equal(http.StatusOK))
}

// Guards against bodies that never end.
func TestLateBodyEnds(t *testing.T) {
	o := DefaultOptions()
	o.BodyTime = 50 * time.Millisecond
	s := newTestServer(t, o)
	c := s.send(post("/", 10) + "12345")
	s.Eventually(s.count("bodies_late"), "10s").Should(BeEquivalentTo(1))
	s.Eventually(s.isClosed(c), "10s").Should(BeTrue())
}

// Guards against bodies without a limit of time, since net/http itself answers such requests.
func TestBodyOfGeneralOptionsEnds(t *testing.T) {
	o := DefaultOptions()
	o.BodyTime = 50 * time.Millisecond
	s := newTestServer(t, o)
	c := s.send("OPTIONS * HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n12345")
	s.Eventually(s.count("bodies_late"), "10s").Should(BeEquivalentTo(1))
	s.Eventually(s.isClosed(c), "10s").Should(BeTrue())
}

// Guards against heads that take more memory than they may.
func TestLargeHeadIsRefused(t *testing.T) {
	s := newTestServer(t, DefaultOptions())
	c := s.send("GET / HTTP/1.1\r\nHost: a\r\nX-Pad: " + strings.Repeat("a", 40<<10) + "\r\n\r\n")
	s.Expect(s.status(c)).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	s.Eventually(s.count("heads_too_large"), "10s").Should(BeEquivalentTo(1))
}

// Guards against heads of short lines, which take many times their text.
func TestHeadWithManyLinesIsRefused(t *testing.T) {
	s := newTestServer(t, DefaultOptions())
	lines := func(n int) string {
		return "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", n)
	}
	s.Expect(s.status(s.send(lines(maxHeadLines-3) + "\r\n"))).To(Equal(http.StatusOK))
	s.Expect(s.status(s.send(lines(maxHeadLines) + "\r\n"))).NotTo(Equal(http.StatusOK))
	s.Eventually(s.count("heads_too_large"), "10s").Should(BeEquivalentTo(1))
	c := s.send("GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a")
	s.Expect(s.status(c)).To(Equal(http.StatusOK))
	_, err := io.WriteString(c, "\r\n"+strings.Repeat("a:\r\n", maxHeadLines))
	s.Expect(err).NotTo(HaveOccurred())
	s.Eventually(s.count("heads_too_large"), "10s").Should(BeEquivalentTo(2))
}

// Guards against the lines of a body that are taken for those of its head.
func TestLinesOfABodyAreNoHead(t *testing.T) {
	s := newTestServer(t, DefaultOptions())
	c := s.send("")
	body := strings.Repeat("\n", 2*maxHeadLines)
	for range 3 {
		_, err := io.WriteString(c, post("/", len(body))+body)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(s.status(c)).To(Equal(http.StatusOK))
	}
}

// Guards against connections of other hosts that are held up or closed for new ones once they are in use.
func TestEstablishedPeersAreKept(t *testing.T) {
	g := NewWithT(t)
	log, _ := logtest.NewNullLogger()
	limits := New(Resources{MemoryBytes: testMemory, Descriptors: 0}, DefaultOptions(), metrics.NewRegistry(), logrus.NewEntry(log)).Listener("peers", Peers)
	client, server := net.Pipe()
	c := newConn(server, limits)
	g.Expect(limits.admit(c)).To(BeTrue())
	go func() { _, _ = client.Write(make([]byte, 2*firstBytes)) }()
	_, err := io.ReadFull(c, make([]byte, firstBytes))
	g.Expect(err).NotTo(HaveOccurred())
	rest := make(chan error, 1)
	go func() {
		_, err := io.ReadFull(c, make([]byte, firstBytes))
		rest <- err
	}()
	g.Consistently(rest, "100ms").ShouldNot(Receive(), "nothing more is read before the first call")
	Establish(drpcctx.WithTransport(context.Background(), c))
	g.Eventually(rest, "10s").Should(Receive(BeNil()))
	for range MinConnections {
		_, other := net.Pipe()
		g.Expect(limits.admit(newConn(other, limits))).To(BeTrue())
	}
	_, kept := limits.conns[c]
	g.Expect(kept).To(BeTrue())
	g.Expect(len(limits.conns)).To(Equal(MinConnections))
}

// Guards against memory used up by unfinished messages of other hosts, and against cutting off whole ones.
func TestLargeMessagesShareABudget(t *testing.T) {
	g := NewWithT(t)
	log, _ := logtest.NewNullLogger()
	limits := New(Resources{MemoryBytes: testMemory, Descriptors: 0}, DefaultOptions(), metrics.NewRegistry(), logrus.NewEntry(log)).Listener("peers", Peers)
	const large = 700 << 10
	establish := func() (client net.Conn, received func(), rest <-chan error) {
		client, server := net.Pipe()
		c := newConn(server, limits)
		g.Expect(limits.admit(c)).To(BeTrue())
		received = func() { Received(drpcctx.WithTransport(context.Background(), c)) }
		c.establish()
		received()
		done := make(chan error, 1)
		go func() {
			_, err := io.ReadFull(c, make([]byte, large))
			done <- err
		}()
		return client, received, done
	}
	first, received, read := establish()
	_, err := first.Write(make([]byte, large-1))
	g.Expect(err).NotTo(HaveOccurred())
	second, _, secondRead := establish()
	go func() { _, _ = second.Write(make([]byte, large)) }()
	g.Consistently(secondRead, "100ms").ShouldNot(Receive(), "the second message waits for the first one")
	_, err = first.Write([]byte{0})
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(read, "10s").Should(Receive(BeNil()))
	received()
	g.Eventually(secondRead, "10s").Should(Receive(BeNil()))
	_, _, late := establish()
	third, _, unfinished := establish()
	go func() { _, _ = third.Write(make([]byte, large-1)) }()
	g.Eventually(unfinished, "20s").Should(Receive(MatchError(errFrameTooLarge)))
	g.Consistently(late, "100ms").ShouldNot(Receive(), "a connection without a message is kept")
}

// Guards against large first calls that together take more memory than they may, and against turns that do not end.
func TestLargeFirstCallsTakeTurns(t *testing.T) {
	g := NewWithT(t)
	const large = 400 << 10 // one turn
	log, _ := logtest.NewNullLogger()
	limits := New(Resources{MemoryBytes: testMemory}, DefaultOptions(), metrics.NewRegistry(), logrus.NewEntry(log)).Listener("peers", Peers).AllowFirstCalls(large)
	send := func() (*Conn, <-chan error) {
		client, server := net.Pipe()
		c := newConn(server, limits)
		go func() { _, _ = client.Write(make([]byte, large)) }()
		read := make(chan error, 1)
		go func() {
			_, err := io.ReadFull(c, make([]byte, large))
			read <- err
		}()
		return c, read
	}
	first, firstRead := send()
	g.Eventually(firstRead, "10s").Should(Receive(BeNil()))
	second, secondRead := send()
	g.Consistently(secondRead, "100ms").ShouldNot(Receive(), "the first has the turn")
	Establish(drpcctx.WithTransport(context.Background(), first))
	g.Eventually(secondRead, "10s").Should(Receive(BeNil()))
	third, thirdRead := send()
	g.Expect(second.Close()).To(Succeed())
	g.Eventually(thirdRead, "10s").Should(Receive(BeNil()))
	g.Expect(third.Close()).To(Succeed())
	g.Expect(limits.firstCalls).To(BeEmpty())
}

// Guards against data of strangers that is not read and takes memory, and against slow links between hosts.
func TestEstablishedPeersMayReceiveMoreAtOnce(t *testing.T) {
	g := NewWithT(t)
	log, _ := logtest.NewNullLogger()
	limits := New(Resources{MemoryBytes: testMemory}, DefaultOptions(), metrics.NewRegistry(), logrus.NewEntry(log)).Listener("peers", Peers)
	inner, err := limits.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	l := limits.Wrap(inner)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer client.Close()
	accepted, err := l.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer accepted.Close()
	go func() { _, _ = client.Write(make([]byte, 1<<20)) }()
	c := accepted.(*Conn)
	unread := func() (n int) {
		raw, err := c.Conn.(syscall.Conn).SyscallConn()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })).To(Succeed())
		g.Expect(err).NotTo(HaveOccurred())
		return n
	}
	g.Eventually(unread, "10s").Should(BeNumerically(">", 0))
	g.Consistently(unread, "200ms").Should(BeNumerically("<=", 2*receiveBufferBytes))
	Establish(drpcctx.WithTransport(context.Background(), c))
	_, err = io.ReadFull(c, make([]byte, receiveBufferBytes)) // so that the window is announced anew
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(unread, "10s").Should(BeNumerically(">", 2*receiveBufferBytes))
}

// Guards against limits that ordinary clients meet.
func TestOptionsAreChecked(t *testing.T) {
	g := NewWithT(t)
	g.Expect(DefaultOptions().Validate()).To(Succeed())
	for key, change := range map[string]func(*Options){
		"connections": func(o *Options) { o.Connections = 1 },
		"head size":   func(o *Options) { o.HeadKB = 0 },
		"body time":   func(o *Options) { o.BodyTime = time.Second },
		"idle time":   func(o *Options) { o.IdleTime = time.Second },
	} {
		o := DefaultOptions()
		change(&o)
		g.Expect(o.Validate()).To(MatchError(ContainSubstring(key)))
	}
}

// Guards against new callers that are turned away while other clients do not read their answers.
func TestConnectionWithUnreadAnswerIsReplaced(t *testing.T) {
	g := NewWithT(t)
	log, _ := logtest.NewNullLogger()
	limits := New(Resources{MemoryBytes: testMemory, Descriptors: 0}, DefaultOptions(), metrics.NewRegistry(), logrus.NewEntry(log)).Listener("callers", Callers)
	for range MinConnections - 1 {
		admitInPipe(g, limits).setPhase(processing)
	}
	unread := admitInPipe(g, limits)
	unread.setPhase(processing)
	written := make(chan error, 1)
	go func() {
		_, err := unread.Write([]byte("answer"))
		written <- err
	}()
	_, inner := net.Pipe()
	g.Eventually(func() bool { return limits.admit(newConn(inner, limits)) }, "10s").Should(BeTrue())
	g.Eventually(written, "10s").Should(Receive(HaveOccurred()))
	_, kept := limits.conns[unread]
	g.Expect(kept).To(BeFalse())
	g.Expect(len(limits.conns)).To(Equal(MinConnections))
}

// Guards against new connections that are closed for the next one before their heads arrive.
func TestNewConnectionIsNotTheSlowest(t *testing.T) {
	g := NewWithT(t)
	log, _ := logtest.NewNullLogger()
	limits := New(Resources{MemoryBytes: testMemory, Descriptors: 0}, DefaultOptions(), metrics.NewRegistry(), logrus.NewEntry(log)).Listener("callers", Callers)
	now := time.Now()
	bodies := make([]*Conn, MinConnections)
	for n := range bodies {
		bodies[n] = admitInPipe(g, limits)
		bodies[n].setPhase(readingBody)
		bodies[n].since = now.Add(time.Duration(n) * time.Millisecond)
	}
	for n := range MinConnections - 1 {
		c := admitInPipe(g, limits)
		c.since = now.Add(time.Minute) // its head may still arrive
		g.Expect(limits.conns).To(HaveKey(c))
		g.Expect(limits.conns).NotTo(HaveKey(bodies[n]))
	}
	g.Expect(limits.conns).To(HaveKey(bodies[MinConnections-1]))
}

// admitInPipe returns a connection that the limits have admitted, and whose other end does not read.
func admitInPipe(g *WithT, limits *Listener) *Conn {
	_, inner := net.Pipe()
	c := newConn(inner, limits)
	g.Expect(limits.admit(c)).To(BeTrue())
	return c
}
