package relay

import (
	"context"
	"time"

	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
)

// callsAtOnce bounds the calls that a relay has on its hands: a waiting hold and two orders for each of its
// workers (WorkersPerHost) at most.
const callsAtOnce = 3 * WorkersPerHost

// Calls are the calls to workers that a server makes, as those of platform.Workers.
type Calls struct {
	Start func(ctx context.Context, o platform.StartOrder) (dispatch.Answer, error)
	Stop  func(ctx context.Context, o platform.Order, task job.TaskID, run int) (dispatch.Answer, error)
	Pace  func(ctx context.Context, o platform.Order, task job.TaskID, run, percent int) (dispatch.Answer, error)
	Hold  func(ctx context.Context, o platform.HoldOrder) (dispatch.Answer, dispatch.Report, error)
}

// DirectCalls makes calls to workers from this host.
func DirectCalls(w *platform.Workers) Calls {
	return Calls{Start: w.Start, Stop: w.Stop, Pace: w.Pace, Hold: w.Hold}
}

// Server is a relay: it makes calls for an owner. It is safe for concurrent use.
type Server struct {
	calls   Calls
	results *batch[*poolpb.Result]
	slots   chan struct{} // one for each call on its way
}

// NewServer returns a relay.
func NewServer(calls Calls) *Server {
	return &Server{calls: calls, results: newBatch[*poolpb.Result](), slots: make(chan struct{}, callsAtOnce)}
}

// Run sends results until ctx ends. Results that are left then are lost; their orders have unknown
// outcomes for the owner, too, since its stream has ended.
func (s *Server) Run(ctx context.Context, send func(*poolpb.MemberMessage) bool) {
	s.results.run(ctx, func(results []*poolpb.Result) {
		send(&poolpb.MemberMessage{Content: &poolpb.MemberMessage_Results{Results: &poolpb.Results{Results: results}}})
	})
}

// Take makes the calls of orders, each in a goroutine of its own. Orders beyond what the relay can
// bear are given back as not sent. When ctx ends, calls that have begun go on, so that their connections
// stay usable.
func (s *Server) Take(ctx context.Context, orders *poolpb.Orders) {
	for _, o := range orders.Orders {
		spec, ok := specOf(orders, o)
		if !ok {
			s.results.put(&poolpb.Result{Number: o.Number, Failed: true, NotSent: true})
			continue
		}
		o.Spec = spec
		select {
		case s.slots <- struct{}{}:
		default:
			s.results.put(&poolpb.Result{Number: o.Number, Failed: true, NotSent: true})
			continue
		}
		go func() {
			defer func() { <-s.slots }()
			if ctx.Err() == nil {
				s.results.put(s.carryOut(context.WithoutCancel(ctx), o))
			}
		}()
	}
}

func (s *Server) carryOut(ctx context.Context, o *poolpb.Order) *poolpb.Result {
	result := &poolpb.Result{Number: o.Number}
	a, err := s.call(ctx, o, result)
	if err != nil {
		result.Failed, result.NotSent = true, errors.Is(err, dispatch.ErrNotSent)
		return result
	}
	result.Verdict, result.Clock = int64(a.Verdict), a.Clock
	return result
}

// call makes the call of an order; that of a hold puts the report into the result.
func (s *Server) call(ctx context.Context, o *poolpb.Order, result *poolpb.Result) (dispatch.Answer, error) {
	to, err := addresseeOf(o)
	if err != nil {
		return dispatch.Answer{}, errors.Mark(err, dispatch.ErrNotSent)
	}
	if o.Kind == poolpb.Order_HOLD {
		a, report, err := s.calls.Hold(ctx, platform.HoldOrder{
			Order: to, LastSeen: o.LastSeen, Deadline: o.Deadline, Wait: time.Duration(o.WaitMs) * time.Millisecond,
			Patience: time.Duration(o.PatienceMs) * time.Millisecond,
		})
		putReport(result, report)
		return a, err
	}
	task, err := job.ParseTaskID(o.Task)
	if err != nil {
		return dispatch.Answer{}, errors.Mark(err, dispatch.ErrNotSent)
	}
	switch o.Kind {
	case poolpb.Order_START:
		return s.calls.Start(ctx, platform.StartOrder{
			Order: to, Task: task, Run: int(o.Run), Spec: o.Spec, Checkpoint: o.Checkpoint, Ticket: o.Ticket, Deadline: o.Deadline,
		})
	case poolpb.Order_STOP:
		return s.calls.Stop(ctx, to, task, int(o.Run))
	case poolpb.Order_PACE:
		return s.calls.Pace(ctx, to, task, int(o.Run), int(o.Percent))
	}
	return dispatch.Answer{}, errors.Mark(errors.Newf("order of kind %d", o.Kind), dispatch.ErrNotSent)
}
