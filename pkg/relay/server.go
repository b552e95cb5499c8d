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

// maxConcurrentCalls limits the calls that a relay makes at a time: for each of its workers
// (MaxWorkersPerRelay) one poll, which waits at the worker, and two other orders.
const maxConcurrentCalls = 3 * MaxWorkersPerRelay

// WorkerCalls are the calls to workers, as platform.WorkerClient makes them.
type WorkerCalls struct {
	Start func(ctx context.Context, o platform.StartOrder) (dispatch.Answer, error)
	Stop  func(ctx context.Context, o platform.Order, task job.TaskID, run int) (dispatch.Answer, error)
	Pace  func(ctx context.Context, o platform.Order, task job.TaskID, run, percent int) (dispatch.Answer, error)
	Poll  func(ctx context.Context, o platform.PollOrder) (dispatch.Answer, dispatch.Report, error)
}

// DirectCalls returns calls that this host makes itself.
func DirectCalls(w *platform.WorkerClient) WorkerCalls {
	return WorkerCalls{Start: w.Start, Stop: w.Stop, Pace: w.Pace, Poll: w.Poll}
}

// Server is the relay's side: it makes calls to workers for an owner. It is safe for concurrent
// use.
type Server struct {
	calls   WorkerCalls
	results *batcher[*poolpb.Result]
	slots   chan struct{} // one for each call under way
	specs   *keptSpecs    // used by HandleOrders only
	// checkpointsOmitted is called when a report was sent without its largest checkpoints.
	checkpointsOmitted func(worker dispatch.WorkerID, bytes, maxBytes int)
}

// NewServer returns a server that makes the given calls. checkpointsOmitted is called when the report of a
// worker had more bytes than a message may have and was sent without its largest checkpoints.
func NewServer(calls WorkerCalls, checkpointsOmitted func(worker dispatch.WorkerID, bytes, maxBytes int)) *Server {
	return &Server{
		calls: calls, results: newBatcher[*poolpb.Result](), slots: make(chan struct{}, maxConcurrentCalls), specs: newKeptSpecs(KeptSpecBytes), checkpointsOmitted: checkpointsOmitted,
	}
}

// Run sends results until ctx ends. Results not sent by then are lost. The owner's stream has then
// ended too, so it treats the outcomes of their orders as unknown.
func (s *Server) Run(ctx context.Context, send func(*poolpb.MemberMessage) bool) {
	s.results.run(ctx, func(results []*poolpb.Result) {
		for part := range chunks(results, func(_ []*poolpb.Result, r *poolpb.Result) int { return resultBytes(r) }) {
			send(&poolpb.MemberMessage{Content: &poolpb.MemberMessage_Results{Results: &poolpb.Results{Results: part}}})
		}
	})
}

// HandleOrders carries out a message of orders, each in a goroutine of its own. It must be called
// with the messages of one stream in their order. It returns orders in excess of maxConcurrentCalls
// as not sent. Calls under way when ctx ends go on, so that their connections stay usable.
func (s *Server) HandleOrders(ctx context.Context, m *poolpb.Orders) {
	orders, unknown := s.specs.unpack(m)
	for _, o := range unknown {
		s.results.add(notSentResult(o))
	}
	for _, o := range orders {
		select {
		case s.slots <- struct{}{}:
		default:
			s.results.add(notSentResult(o))
			continue
		}
		go func() {
			defer func() { <-s.slots }()
			if ctx.Err() == nil {
				s.results.add(s.execute(context.WithoutCancel(ctx), o))
			}
		}()
	}
}

func (s *Server) execute(ctx context.Context, o *poolpb.Order) *poolpb.Result {
	result := &poolpb.Result{Number: o.Number}
	a, err := s.call(ctx, o, result)
	if err != nil {
		result.Failed, result.NotSent = true, errors.Is(err, dispatch.ErrNotSent)
		return result
	}
	result.Verdict, result.Clock = int64(a.Verdict), a.Clock
	return result
}

// call makes the call of an order. For a poll it puts the report into the result.
func (s *Server) call(ctx context.Context, o *poolpb.Order, result *poolpb.Result) (dispatch.Answer, error) {
	target, err := parseTarget(o)
	if err != nil {
		return dispatch.Answer{}, errors.Mark(err, dispatch.ErrNotSent)
	}
	if o.Kind == poolpb.Order_HOLD {
		a, report, err := s.calls.Poll(ctx, platform.PollOrder{
			Order: target, LastSeen: o.LastSeen, Deadline: o.Deadline, Wait: time.Duration(o.WaitMs) * time.Millisecond,
			ExtraTimeout: time.Duration(o.PatienceMs) * time.Millisecond,
		})
		setReport(result, report)
		if bytes := omitLargeCheckpoints(result); bytes > 0 {
			s.checkpointsOmitted(target.Worker, bytes, maxMessageBytes)
		}
		return a, err
	}
	task, err := job.ParseTaskID(o.Task)
	if err != nil {
		return dispatch.Answer{}, errors.Mark(err, dispatch.ErrNotSent)
	}
	switch o.Kind {
	case poolpb.Order_START:
		return s.calls.Start(ctx, platform.StartOrder{
			Order: target, Task: task, Run: int(o.Run), Spec: o.Spec, Checkpoint: o.Checkpoint, Ticket: o.Ticket, Deadline: o.Deadline,
		})
	case poolpb.Order_STOP:
		return s.calls.Stop(ctx, target, task, int(o.Run))
	case poolpb.Order_PACE:
		return s.calls.Pace(ctx, target, task, int(o.Run), int(o.Percent))
	}
	return dispatch.Answer{}, errors.Mark(errors.Newf("unknown order kind %d", o.Kind), dispatch.ErrNotSent)
}
