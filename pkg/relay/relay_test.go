package relay

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

const testTimeout = 100 * time.Millisecond

// loopback is a client and a server that pass their messages to each other.
type loopback struct {
	*WithT
	client *Client
	server *Server

	mu          sync.Mutex
	messages    int  // of orders
	dropResults bool // results are lost
}

func newLoopback(t *testing.T, calls WorkerCalls) *loopback {
	l := &loopback{WithT: NewWithT(t), client: NewClient(testTimeout, KeptSpecBytes), server: NewServer(calls, func(dispatch.WorkerID, int, int) {})}
	ctx := t.Context()
	go l.client.Run(ctx, func(msg *poolpb.OwnerMessage) bool {
		l.mu.Lock()
		l.messages++
		l.mu.Unlock()
		l.server.HandleOrders(ctx, msg.GetOrders())
		return true
	})
	go l.server.Run(ctx, func(msg *poolpb.MemberMessage) bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		if !l.dropResults {
			l.client.HandleResults(msg.GetResults())
		}
		return true
	})
	return l
}

func testOrder() platform.Order {
	return platform.Order{Worker: "w1", Address: netip.MustParseAddrPort("10.0.0.1:80"), Token: 7}
}

func testTask() job.TaskID {
	return job.TaskID{StepID: job.StepID{Job: "00000000000000a1", Step: 1}, Index: 3}
}

func TestStartArrivesAsItWasOrdered(t *testing.T) {
	var got platform.StartOrder
	l := newLoopback(t, WorkerCalls{Start: func(_ context.Context, o platform.StartOrder) (dispatch.Answer, error) {
		got = o
		return dispatch.Answer{Verdict: dispatch.VerdictNoRoom, Clock: 42}, nil
	}})
	sent := platform.StartOrder{
		Order: testOrder(), Task: testTask(), Run: 1002, Spec: "alloy", Checkpoint: "half", Ticket: "t", Deadline: 99,
	}
	a, err := l.client.Start(t.Context(), sent)
	l.Expect(err).NotTo(HaveOccurred())
	l.Expect(a).To(Equal(dispatch.Answer{Verdict: dispatch.VerdictNoRoom, Clock: 42}))
	l.Expect(got).To(Equal(sent))
}

func TestPollReturnsTheReport(t *testing.T) {
	var got platform.PollOrder
	report := dispatch.Report{
		IncarnationStart: 1_767_225_600_000,
		UnparsableRuns:   2,
		Truncated:        true,
		Active:           []dispatch.ActiveRun{{Task: testTask(), Run: 2, Checkpoint: "c", Percent: 41, Load: 900}},
		Finished:         []dispatch.FinishedRun{{Number: 58, Task: testTask(), Run: 1, Reason: dispatch.EndFailed, Checkpoint: "d"}},
	}
	l := newLoopback(t, WorkerCalls{Poll: func(_ context.Context, o platform.PollOrder) (dispatch.Answer, dispatch.Report, error) {
		got = o
		return dispatch.Answer{Verdict: dispatch.VerdictDone, Clock: 5}, report, nil
	}})
	sent := platform.PollOrder{Order: testOrder(), LastSeen: 57, Deadline: 99, Wait: 30 * time.Millisecond, ExtraTimeout: time.Millisecond}
	a, gotReport, err := l.client.Poll(t.Context(), sent)
	l.Expect(err).NotTo(HaveOccurred())
	l.Expect(a).To(Equal(dispatch.Answer{Verdict: dispatch.VerdictDone, Clock: 5}))
	l.Expect(gotReport).To(Equal(report))
	l.Expect(got).To(Equal(sent))
}

func TestNotSentIsReportedOnlyForCallsNotSent(t *testing.T) {
	for name, c := range map[string]struct {
		callErr error
		want    error
	}{
		"not sent":    {errors.Mark(errors.New("dial"), dispatch.ErrNotSent), dispatch.ErrNotSent},
		"lost answer": {errors.New("reset"), ErrNoResult},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLoopback(t, WorkerCalls{Stop: func(context.Context, platform.Order, job.TaskID, int) (dispatch.Answer, error) {
				return dispatch.Answer{}, c.callErr
			}})
			_, err := l.client.Stop(t.Context(), testOrder(), testTask(), 1)
			l.Expect(errors.Is(err, c.want)).To(BeTrue(), "%v", err)
		})
	}
}

func TestLostResultLeavesTheOutcomeUnknown(t *testing.T) {
	l := newLoopback(t, WorkerCalls{Pace: func(context.Context, platform.Order, job.TaskID, int, int) (dispatch.Answer, error) {
		return dispatch.Answer{Verdict: dispatch.VerdictDone}, nil
	}})
	l.dropResults = true
	_, err := l.client.Pace(t.Context(), testOrder(), testTask(), 1, 30)
	l.Expect(errors.Is(err, ErrNoResult)).To(BeTrue())
}

func TestOrdersOfAnEndedStream(t *testing.T) {
	g := NewWithT(t)
	c := NewClient(time.Minute, 0)
	ctx, cancel := context.WithCancel(t.Context())
	sent := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		c.Run(ctx, func(*poolpb.OwnerMessage) bool { close(sent); return true })
		close(ended)
	}()
	answered := make(chan error)
	go func() {
		_, err := c.Stop(t.Context(), testOrder(), testTask(), 1)
		answered <- err
	}()
	<-sent
	cancel()
	g.Expect(errors.Is(<-answered, ErrNoResult)).To(BeTrue(), "an order under way may have been carried out")
	<-ended
	_, err := c.Stop(t.Context(), testOrder(), testTask(), 1)
	g.Expect(errors.Is(err, dispatch.ErrNotSent)).To(BeTrue())
}

func TestOrdersWithinTheBatchDelayShareAMessage(t *testing.T) {
	l := newLoopback(t, WorkerCalls{Stop: func(context.Context, platform.Order, job.TaskID, int) (dispatch.Answer, error) {
		return dispatch.Answer{Verdict: dispatch.VerdictDone}, nil
	}})
	const orders = 50
	var all sync.WaitGroup
	for range orders {
		all.Go(func() { _, _ = l.client.Stop(t.Context(), testOrder(), testTask(), 1) })
	}
	all.Wait()
	l.Expect(l.messages).To(BeNumerically("<", orders/2))
}

func TestRelayReturnsOrdersAboveItsLimit(t *testing.T) {
	g := NewWithT(t)
	block := make(chan struct{})
	defer close(block)
	s := NewServer(WorkerCalls{Stop: func(context.Context, platform.Order, job.TaskID, int) (dispatch.Answer, error) {
		<-block
		return dispatch.Answer{}, nil
	}}, nil)
	orders := &poolpb.Orders{}
	for n := range maxConcurrentCalls + 1 {
		o := newOrder(poolpb.Order_STOP, testOrder(), testTask(), 1)
		o.Number = int64(n)
		orders.Orders = append(orders.Orders, o)
	}
	s.HandleOrders(t.Context(), orders)
	g.Expect(s.results.items).To(HaveLen(1))
	g.Expect(s.results.items[0].NotSent).To(BeTrue())
	g.Expect(s.results.items[0].Number).To(Equal(int64(maxConcurrentCalls)))
}
