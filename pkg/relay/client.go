package relay

import (
	"context"
	"sync"
	"time"

	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
)

// relayAllowance is how much longer an order may take over a relay than the call itself: the delays
// of two batches, and the queues of two busy processes. An owner that is overloaded must not count
// results as lost that wait for its own processing, since it would make the calls itself and be
// overloaded further. A relay that is cut off or frozen is detected by its stream, after 0.9 s.
const relayAllowance = 500 * time.Millisecond

// ErrNoResult means that no result of an order arrived, so its outcome is unknown.
var ErrNoResult = errors.New("no result from the relay")

// Client is the owner's side of one relay. It is safe for concurrent use.
type Client struct {
	timeout time.Duration // of a call, without the time that a poll waits at the worker
	orders  *batcher[*poolpb.Order]
	specs   *keptSpecs // used by Run only; nil if the relay keeps none

	mu         sync.Mutex
	lastNumber int64
	waiting    map[int64]chan *poolpb.Result
	closed     bool
}

// NewClient returns a client whose calls may take up to timeout at the relay, in addition to the
// time for which a poll asks the worker to wait. keptSpecBytes is how many bytes of specs the relay
// keeps; 0 means none.
func NewClient(timeout time.Duration, keptSpecBytes int) *Client {
	c := &Client{timeout: timeout, orders: newBatcher[*poolpb.Order](), waiting: map[int64]chan *poolpb.Result{}}
	if keptSpecBytes > 0 {
		c.specs = newKeptSpecs(keptSpecBytes)
	}
	return c
}

// Run sends orders until ctx ends; after that, the orders still without a result fail with
// ErrNoResult. send reports whether it accepted the message for sending.
func (c *Client) Run(ctx context.Context, send func(*poolpb.OwnerMessage) bool) {
	c.orders.run(ctx, func(orders []*poolpb.Order) {
		for part := range chunks(orders, orderBytes) {
			if !c.sendMessage(part, send) {
				c.failUnsent(part)
			}
		}
	})
	c.close()
}

// sendMessage sends orders in one message.
func (c *Client) sendMessage(orders []*poolpb.Order, send func(*poolpb.OwnerMessage) bool) bool {
	if c.specs == nil {
		return send(&poolpb.OwnerMessage{Content: &poolpb.OwnerMessage_Orders{Orders: packOrders(orders)}})
	}
	m := c.specs.pack(orders)
	if !send(&poolpb.OwnerMessage{Content: &poolpb.OwnerMessage_Orders{Orders: m}}) {
		c.specs.withdraw(m)
		return false
	}
	c.specs.evict()
	return true
}

// failUnsent ends orders that were not sent.
func (c *Client) failUnsent(orders []*poolpb.Order) {
	for _, o := range orders {
		c.deliver(notSentResult(o))
	}
}

// HandleResults processes a message of results from the relay.
func (c *Client) HandleResults(r *poolpb.Results) {
	for _, result := range r.Results {
		c.deliver(result)
	}
}

func (c *Client) deliver(r *poolpb.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch, ok := c.waiting[r.Number]; ok {
		delete(c.waiting, r.Number)
		ch <- r
	}
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for n, ch := range c.waiting {
		delete(c.waiting, n)
		close(ch)
	}
}

// Start sends a start order through the relay. Its errors are those of platform.WorkerClient, and
// ErrNoResult.
func (c *Client) Start(ctx context.Context, o platform.StartOrder) (dispatch.Answer, error) {
	order := newOrder(poolpb.Order_START, o.Order, o.Task, o.Run)
	order.Spec, order.Checkpoint, order.Ticket, order.Deadline = o.Spec, o.Checkpoint, o.Ticket, o.Deadline
	return c.sendOrder(ctx, order, c.timeout)
}

// Stop sends an order to stop a run through the relay.
func (c *Client) Stop(ctx context.Context, o platform.Order, task job.TaskID, run int) (dispatch.Answer, error) {
	return c.sendOrder(ctx, newOrder(poolpb.Order_STOP, o, task, run), c.timeout)
}

// Pace sends an order through the relay to run a task at a percentage of its full speed.
func (c *Client) Pace(ctx context.Context, o platform.Order, task job.TaskID, run, percent int) (dispatch.Answer, error) {
	order := newOrder(poolpb.Order_PACE, o, task, run)
	order.Percent = int64(percent)
	return c.sendOrder(ctx, order, c.timeout)
}

// Poll sends an order through the relay that extends the leases of the runs on a worker. It returns
// the runs on the worker and those that have ended.
func (c *Client) Poll(ctx context.Context, o platform.PollOrder) (dispatch.Answer, dispatch.Report, error) {
	order := &poolpb.Order{
		Kind: poolpb.Order_HOLD, Worker: string(o.Worker), Address: o.Address.String(), Token: o.Token, Deadline: o.Deadline,
		LastSeen: o.LastSeen, WaitMs: o.Wait.Milliseconds(), PatienceMs: o.ExtraTimeout.Milliseconds(),
	}
	r, err := c.exchange(ctx, order, c.timeout+o.Wait+o.ExtraTimeout)
	if err != nil {
		return dispatch.Answer{}, dispatch.Report{}, err
	}
	report, err := parseReport(r)
	return answerOf(r), report, err
}

func (c *Client) sendOrder(ctx context.Context, o *poolpb.Order, limit time.Duration) (dispatch.Answer, error) {
	r, err := c.exchange(ctx, o, limit)
	if err != nil {
		return dispatch.Answer{}, err
	}
	return answerOf(r), nil
}

// exchange queues an order and waits for its result, up to relayAllowance beyond the time limit of
// the call.
func (c *Client) exchange(ctx context.Context, o *poolpb.Order, limit time.Duration) (*poolpb.Result, error) {
	ch, ok := c.enqueue(o)
	if !ok {
		return nil, dispatch.ErrNotSent
	}
	t := time.NewTimer(limit + relayAllowance)
	defer t.Stop()
	select {
	case r, ok := <-ch:
		switch {
		case !ok:
			return nil, ErrNoResult
		case r.NotSent:
			return nil, dispatch.ErrNotSent
		case r.Failed:
			return nil, ErrNoResult
		}
		return r, nil
	case <-t.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	delete(c.waiting, o.Number)
	c.mu.Unlock()
	return nil, ErrNoResult
}

// enqueue numbers an order and queues it; ok is false if it will not be sent.
func (c *Client) enqueue(o *poolpb.Order) (ch chan *poolpb.Result, ok bool) {
	ch = make(chan *poolpb.Result, 1)
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, false
	}
	c.lastNumber++
	o.Number = c.lastNumber
	c.waiting[o.Number] = ch
	c.mu.Unlock()
	if c.orders.add(o) {
		return ch, true
	}
	c.mu.Lock()
	delete(c.waiting, o.Number)
	c.mu.Unlock()
	return nil, false
}
