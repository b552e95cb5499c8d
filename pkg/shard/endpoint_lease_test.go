package shard

import (
	"context"
	"io"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/batch"
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/dialer"
	"foldarch.dev/foldarch/pkg/endpoint"
	"foldarch.dev/foldarch/pkg/keys"
	"foldarch.dev/foldarch/pkg/result"
	"foldarch.dev/foldarch/pkg/routing"
	"foldarch.dev/foldarch/pkg/settings"
	"foldarch.dev/foldarch/pkg/standin"
	"foldarch.dev/foldarch/pkg/store"
	"foldarch.dev/foldarch/pkg/worker"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

const (
	leaseTerm   = 3 * time.Second
	leaseReport = 500 * time.Millisecond
	workerID    = "north-w0"
)

// cellHands are what a test of one owner and one stand-in worker turns: the owner's clock and its authority. The worker's leases run by
// the real clock and don't lapse during a test.
type cellHands struct {
	mu     sync.Mutex
	at     clock.Time
	gap    bool
	ledger *standin.Ledger
	worker *standin.Worker
	host   store.Host
}

func newCellHands(t *testing.T) *cellHands {
	g := NewWithT(t)
	h := &cellHands{at: 1_000_000, ledger: standin.NewLedger()}
	h.worker = standin.NewWorker(standin.WorkerConfig{
		ID: workerID, Hall: "north", Capacity: cell.Resources{CPUMillis: 8000, MemoryMB: 8000},
	}, h.ledger)
	handler, err := h.worker.Handler()
	g.Expect(err).NotTo(HaveOccurred())
	server := httptest.NewServer(handler)
	t.Cleanup(func() { server.Close(); h.worker.Kill() })
	h.host = store.Host{
		ID: workerID, Hall: "north", Worker: true, State: store.HostLive,
		Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
	}
	return h
}

func (h *cellHands) now() clock.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.at
}

func (h *cellHands) pass(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.at = h.at.Add(d)
}

func (h *cellHands) cutAuthority(gap bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gap = gap
}

// owner returns an owner whose duties don't run: the test makes each exchange with the worker.
func (h *cellHands) owner(t *testing.T, epoch cell.Epoch, timeLimit string) (*Engine, *workerDuty) {
	g := NewWithT(t)
	tree, faults := settings.Parse(map[string]string{
		"cell.toml":    "[[hall]]\nname = \"north\"\nregion = \"r\"\n[team.t]\n[rules]\ntime_limit = \"" + timeLimit + "\"\n[rules.resources]\ncpu_millis = 1000\nmemory_mb = 1000\n",
		"scoring.toml": "kind = \"service\"\nteam = \"t\"\ninstances = 1\n",
	})
	g.Expect(faults).To(BeEmpty())
	log := logrus.New()
	log.SetOutput(io.Discard)
	clk := clock.Clock{Now: h.now, Wall: time.Now}
	d := dialer.New(nil, time.Second, metrics.NewCounter())
	s := newSegmentStore()
	e := New(t.Context(), Config{
		Shard: cell.ShardID{Hall: "north"}, Epoch: epoch, TaskLease: leaseTerm, ReportEvery: leaseReport,
		JournalInterval: time.Microsecond, Keys: keys.DefaultConfig,
	}, Deps{
		Clock: clk, Log: logrus.NewEntry(log), StoreUp: func() bool { return true },
		Workers: worker.New(d, clk), Endpoints: endpoint.New(d, 1<<20),
		Authority: func() (cell.Epoch, clock.Time, bool) {
			h.mu.Lock()
			defer h.mu.Unlock()
			return epoch, h.at.Add(time.Minute), !h.gap
		},
		LoadBatches: func(context.Context) ([]batch.Segment, error) { return nil, nil },
		PutSegment:  s.put, RemoveSegment: s.remove,
	})
	e.SetTree(tree)
	e.recoverBatches(t.Context())
	duty := newWorkerDuty(e, h.host)
	e.workers[workerID] = duty
	e.recovery.hostsKnown = true
	return e, duty
}

// started returns an owner that has just started the service's one task.
func (h *cellHands) started(t *testing.T, timeLimit string) (*Engine, *workerDuty) {
	g := NewWithT(t)
	e, duty := h.owner(t, 1, timeLimit)
	g.Expect(duty.exchange(t.Context())).To(Succeed())
	e.placeOnce(t.Context())
	g.Expect(duty.exchange(t.Context())).To(Succeed())
	g.Expect(e.Status().Endpoints).To(Equal(1))
	return e, duty
}

// call sends a request of a key that is at home elsewhere, so that no takeover makes it unknown; its answer comes on the channel.
func (h *cellHands) call(e *Engine, key string) chan Answer {
	answer := make(chan Answer, 1)
	go func() {
		answer <- e.Call(context.Background(), Call{
			Service: "scoring", Caller: "tester", Key: key, Delegated: true, Deadline: h.now().Add(time.Minute),
		})
	}()
	return answer
}

// waits says that a request waits in the owner's queue and never reached the endpoint.
func (h *cellHands) waits(t *testing.T, e *Engine, key string) {
	g := NewWithT(t)
	g.Eventually(func() bool { return e.Status().Queued == 1 || h.ledger.Ran("tester/"+key) > 0 }, 10*time.Second).Should(BeTrue())
	g.Expect(h.ledger.Ran("tester/"+key)).To(Equal(0), "sent to an endpoint whose lease may lapse meanwhile")
}

func served(t *testing.T, answer chan Answer) {
	NewWithT(t).Eventually(answer, 10*time.Second).Should(Receive(HaveField("Code", result.OK)))
}

// An owner has no authority for about as long as a lease lasts (3 s), and then has it again: the leases of its endpoints are about to
// lapse, or have lapsed at workers that are late to notice. Calls that it sends before it has extended them are cut.
func TestCallsAfterAGapOfAuthorityWaitForTheLeaseOfTheEndpoint(t *testing.T) {
	for _, gap := range []time.Duration{2900 * time.Millisecond, 3900 * time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) { callAfterAGap(t, gap) })
	}
}

func callAfterAGap(t *testing.T, gap time.Duration) {
	g := NewWithT(t)
	h := newCellHands(t)
	e, duty := h.started(t, "1s")
	served(t, h.call(e, "before"))

	h.cutAuthority(true)
	h.pass(gap)
	g.Expect(duty.exchange(t.Context())).NotTo(Succeed())
	h.cutAuthority(false)
	after := h.call(e, "after")
	h.waits(t, e, "after")

	g.Expect(duty.exchange(t.Context())).To(Succeed())
	served(t, after)
}

// A new owner finds an endpoint that the former one left and does not know how long its lease lasts. A call that it sends there before it
// has extended the lease itself may be cut.
func TestCallsOfANewOwnerWaitForTheLeaseOfTheEndpoint(t *testing.T) {
	g := NewWithT(t)
	h := newCellHands(t)
	h.started(t, "1s")
	e, duty := h.owner(t, 2, "1s")
	g.Expect(duty.exchange(t.Context())).To(Succeed())
	g.Expect(e.Status().Endpoints).To(Equal(1))
	e.mu.Lock()
	e.takeHealth("scoring/north/0", endpoint.Health{})
	e.mu.Unlock()
	answer := h.call(e, "k")
	h.waits(t, e, "k")

	g.Expect(duty.exchange(t.Context())).To(Succeed())
	served(t, answer)
}

// A process is paused between the decision to send a call and the sending; when it goes on, the endpoint's lease is about to lapse.
func TestCallOfAPausedOwnerIsNotSentToALapsingEndpoint(t *testing.T) {
	g := NewWithT(t)
	h := newCellHands(t)
	e, _ := h.started(t, "1s")
	w := e.tree.Workloads["scoring"]
	c := &ticket{call: Call{Service: "scoring", Caller: "tester", Deadline: h.now().Add(time.Minute)}, workload: w, key: "k"}
	c.request = routing.Request{Service: "scoring", Caller: "tester", Deadline: c.call.Deadline, Tag: c}
	e.mu.Lock()
	d := e.router.Arrive(&c.request, e.now())
	e.inFlight++
	e.mu.Unlock()
	g.Expect(d.Kind).To(Equal(routing.Send))

	h.pass(leaseTerm - 100*time.Millisecond)
	answer, again := e.send(c, d.Endpoint)
	g.Expect(h.ledger.Ran("k")).To(Equal(0))
	g.Expect(answer.Code).To(Equal(result.SendFailed))
	g.Expect(again).To(BeTrue())
}

// A service whose time limit is longer than any lease takes calls as long as its lease is extended in the usual interval, or once it was
// not. When it was not twice, calls wait.
func TestServiceWithALongTimeLimitTakesCallsWhileItsLeaseIsExtended(t *testing.T) {
	g := NewWithT(t)
	h := newCellHands(t)
	e, duty := h.started(t, "1h")
	served(t, h.call(e, "fresh"))
	h.pass(2 * leaseReport)
	served(t, h.call(e, "one-missed"))
	h.pass(time.Millisecond)
	late := h.call(e, "two-missed")
	h.waits(t, e, "two-missed")
	g.Expect(duty.exchange(t.Context())).To(Succeed())
	served(t, late)
}

// The answer to a start is lost, and the start is repeated when the lease that the first one began is about to lapse. The worker has the
// task already, so the repeated start extends nothing.
func TestCallsAfterARepeatedStartWaitForTheLeaseOfTheEndpoint(t *testing.T) {
	g := NewWithT(t)
	h := newCellHands(t)
	e, duty := h.owner(t, 1, "1s")
	g.Expect(duty.exchange(t.Context())).To(Succeed())
	e.placeOnce(t.Context())
	h.worker.LoseAnswers(1)
	g.Expect(duty.exchange(t.Context())).NotTo(Succeed())
	h.pass(leaseTerm - 100*time.Millisecond)
	g.Expect(duty.exchange(t.Context())).To(Succeed())
	g.Expect(e.Status().Endpoints).To(Equal(1))
	answer := h.call(e, "k")
	h.waits(t, e, "k")

	g.Expect(duty.exchange(t.Context())).To(Succeed())
	served(t, answer)
}
