package shard

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/batch"
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/dialer"
	"foldarch.dev/foldarch/pkg/standin"
	"foldarch.dev/foldarch/pkg/store"
	"foldarch.dev/foldarch/pkg/worker"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
)

// restartFixture is an owner with one worker, to which one request has been placed and not been sent.
type restartFixture struct {
	engine     *Engine
	controller *workerController
	worker     *standin.Worker
	runLog     *standin.RunLog
	id         batch.ID
}

// newRestartFixture returns a fixture whose request is not repeatable and lasts.
func newRestartFixture(t *testing.T) *restartFixture {
	s := newSegmentStore()
	return newRestartFixtureWith(t, s, s.put, Submission{Caller: "tester", Key: "k", Workload: "publish", Payload: "ms=60000 not-repeatable"})
}

func newRestartFixtureWith(t *testing.T, s *segmentStore, put func(ctx context.Context, key, value string) (int64, error), submission Submission) *restartFixture {
	g := NewWithT(t)
	runLog := standin.NewRunLog()
	capacity := cell.Resources{CPUMillis: 4000, MemoryMB: 4000}
	w := standin.NewWorker(standin.WorkerConfig{ID: "w0", Hall: "north", Capacity: capacity}, runLog)
	t.Cleanup(w.Kill)
	handler, err := w.Handler()
	g.Expect(err).NotTo(HaveOccurred())
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	e := newOwnerWithPut(t, s, put, 1, always)
	e.deps.Workers = worker.New(dialer.New(nil, time.Second, metrics.NewCounter()), clock.System())
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	c := newWorkerController(e, store.Host{ID: "w0", Hall: "north", Worker: true, Address: address, State: store.HostLive})
	e.mu.Lock()
	e.workers["w0"] = c
	e.mu.Unlock()
	g.Expect(c.exchange(e.runCtx)).To(Succeed())
	record, err := e.SubmitBatch(e.runCtx, submission)
	g.Expect(err).NotTo(HaveOccurred())
	e.placeTasks(e.runCtx)
	g.Eventually(func() int {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(c.pendingStarts)
	}).Should(Equal(1))
	return &restartFixture{engine: e, controller: c, worker: w, runLog: runLog, id: record.ID}
}

func (f *restartFixture) restart() {
	f.worker.Kill()
	f.worker.Revive()
}

func (f *restartFixture) state(g *WithT) batch.State {
	record, err := f.engine.ReadBatch("tester", f.id)
	g.Expect(err).NotTo(HaveOccurred())
	return record.State
}

// exchangeTwice exchanges commands for the earlier incarnation, which are refused, and then for the present one.
func (f *restartFixture) exchangeTwice(g *WithT) {
	g.Expect(f.controller.exchange(f.engine.runCtx)).To(MatchError(worker.ErrRestarted))
	g.Expect(f.controller.exchange(f.engine.runCtx)).To(Succeed())
}

// Guards against a second run of a request that is not repeatable. The earlier incarnation of the worker carried out
// its start without an answer.
func TestUnansweredStartIsNotRepeatedAtTheNextIncarnation(t *testing.T) {
	g := NewWithT(t)
	f := newRestartFixture(t)
	f.worker.LoseAnswers(1)
	g.Expect(f.controller.exchange(f.engine.runCtx)).NotTo(Succeed())
	f.restart()
	f.exchangeTwice(g)
	g.Expect(f.runLog.RunCount(string(f.id))).To(Equal(1))
	g.Eventually(func() batch.State { return f.state(g) }).Should(Equal(batch.Unknown))
}

// Guards against an outcome that is called unknown although no worker was told to start the request.
func TestStartThatReachedNoWorkerIsSentToTheNextIncarnation(t *testing.T) {
	for name, unreachable := range map[string]bool{"refused": false, "not sent, then refused": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newRestartFixture(t)
			if unreachable {
				address := f.controller.host.Address
				f.controller.host.Address = netip.MustParseAddrPort("127.0.0.1:1")
				g.Expect(f.controller.exchange(f.engine.runCtx)).NotTo(Succeed())
				f.controller.host.Address = address
			}
			f.restart()
			f.exchangeTwice(g)
			g.Expect(f.runLog.RunCount(string(f.id))).To(Equal(1))
			g.Expect(f.state(g)).To(Equal(batch.Running))
		})
	}
}

// Guards against a request that runs again although it has ended: its worker restarts while the end is being stored, or
// before a failed write of the end is repeated.
func TestRequestWhoseEndIsBeingStoredDoesNotRunAgain(t *testing.T) {
	for name, failures := range map[string]int32{"stored at once": 0, "the first write fails": 1} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newSegmentStore()
			var storing atomic.Int32 // writes of the end
			restarted := make(chan struct{})
			put := func(ctx context.Context, key, value string) (int64, error) {
				if strings.Contains(value, `"state":"done"`) {
					n := storing.Add(1)
					<-restarted
					if n <= failures {
						return 0, store.ErrUnavailable
					}
				}
				return s.put(ctx, key, value)
			}
			f := newRestartFixtureWith(t, s, put, Submission{Caller: "tester", Key: "k", Workload: "fit", Payload: "ms=1"})
			exchange := func() error { return f.controller.exchange(f.engine.runCtx) }
			g.Expect(exchange()).To(Succeed())
			g.Eventually(func() int32 {
				g.Expect(exchange()).To(Succeed())
				return storing.Load()
			}).Should(Equal(int32(1)))
			f.restart()
			f.exchangeTwice(g)
			f.engine.placeTasks(f.engine.runCtx)
			g.Expect(exchange()).To(Succeed())
			close(restarted)
			g.Eventually(func() batch.State { return f.state(g) }, 5*time.Second).Should(Equal(batch.Done))
			f.engine.placeTasks(f.engine.runCtx)
			g.Expect(exchange()).To(Succeed())
			g.Expect(f.runLog.RunCount(string(f.id))).To(Equal(1))
		})
	}
}
