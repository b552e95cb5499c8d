package shard

import (
	"context"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/endpoint"
	"foldarch.dev/foldarch/pkg/keys"
	"foldarch.dev/foldarch/pkg/result"
	"foldarch.dev/foldarch/pkg/routing"
	"foldarch.dev/foldarch/pkg/settings"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
)

const (
	expiryInterval = 20 * time.Millisecond
	// refusalRetryAfter is the retry time that callers are told when a request is refused
	// for a temporary reason, such as a missing owner, missing settings or a failed send.
	refusalRetryAfter = 500 * time.Millisecond
	// maxResends is how often one call is sent again at most, whether it did not run or
	// ran and failed.
	maxResends = 3
)

// Call is a caller's request to a service.
type Call struct {
	Service       string
	Caller        string
	Key           string // empty when the caller will not repeat the request
	IssuedAt      time.Time
	Class         routing.Class
	Deadline      clock.Time // on this process's clock
	NotRepeatable bool
	// Delegated says that the key's home is another shard, which keeps the key and the answer.
	Delegated bool
	Body      []byte
}

// Answer is the final answer to a call.
type Answer struct {
	keys.Answer
	RetryAfter time.Duration
}

// pendingCall is the state of a call that has no final answer yet.
type pendingCall struct {
	call        Call
	workload    settings.Workload
	endpointKey string // the key that is sent to the endpoint
	request     routing.Request
	decision    chan routing.Decision // of size 1
	retries     int                   // further runs after a run that failed
}

func refusal(code result.Code, message string, retryAfter time.Duration) Answer {
	return Answer{Answer: keys.Answer{Code: code, Message: message}, RetryAfter: retryAfter}
}

// Call runs a request and returns its final answer. It does not watch ctx: a request that
// was sent can't be taken back, and its answer is kept for a repeat with the same key.
func (e *Engine) Call(ctx context.Context, c Call) Answer {
	if !e.authorized() || e.stopped.Load() {
		return refusal(result.NoOwner, "this process has no authority over "+e.cfg.Shard.String(), refusalRetryAfter)
	}
	p, refused := e.admit(c)
	if refused != nil {
		return *refused
	}
	answer := e.runOrDelegate(p)
	e.recordAnswer(p, answer)
	return answer
}

// runOrDelegate runs a request in this shard or, when the shard has no endpoint for the
// service, has another shard run it. Only a request with a key is delegated, and only once;
// its home shard keeps the answer.
func (e *Engine) runOrDelegate(p *pendingCall) Answer {
	if p.call.Delegated || p.call.Key == "" || e.hasEndpoints(p.call.Service) {
		return e.sendWithRetries(p)
	}
	if !e.authorized() {
		return refusal(result.NoOwner, result.NoOwner.Info().Text, refusalRetryAfter)
	}
	c := p.call
	c.Delegated = true
	return e.deps.Delegate(e.cfg.Shard, c)
}

func (e *Engine) hasEndpoints(service string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.router.Loads()[service].Slots > 0
}

// admit validates a call and looks its key up in the key table. It returns the call to run,
// or the answer when the call must not run.
func (e *Engine) admit(c Call) (*pendingCall, *Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w, refused := e.lookUpService(c)
	if refused != nil {
		return nil, refused
	}
	e.retries.deposit()
	c.NotRepeatable = c.NotRepeatable || !w.Repeatable
	p := &pendingCall{call: c, workload: w, endpointKey: c.Caller + "/" + c.Key, decision: make(chan routing.Decision, 1)}
	if c.Key == "" {
		p.endpointKey = "once/" + uuid.NewString()
		return p, nil
	}
	if c.Delegated {
		return p, nil
	}
	request := keys.Request{
		Key:    keys.Key{Caller: c.Caller, Text: c.Key},
		Digest: xxhash.Sum64String(c.Service) ^ xxhash.Sum64(c.Body), IssuedAt: c.IssuedAt,
		NotRepeatable: c.NotRepeatable, TimeLimit: w.TimeLimit,
	}
	v := e.keyTable.Begin(request, e.deps.Clock.Wall())
	if v.Kind == keys.Fresh {
		return p, nil
	}
	a := verdictAnswer(v)
	return nil, &a
}

func (e *Engine) lookUpService(c Call) (settings.Workload, *Answer) {
	if e.tree == nil {
		a := refusal(result.NotReady, "no settings in force", refusalRetryAfter)
		return settings.Workload{}, &a
	}
	w, ok := e.tree.Workloads[c.Service]
	var a Answer
	switch {
	case !ok:
		a = refusal(result.UnknownService, "no service "+c.Service, 0)
	case w.Kind != settings.KindService:
		a = refusal(result.WrongKind, c.Service+" is a batch workload", 0)
	case int64(len(c.Body)) > w.MaxBody:
		a = refusal(result.BodyTooLarge, "the body is over the limit of "+c.Service, 0)
	default:
		return w, nil
	}
	return settings.Workload{}, &a
}

var verdictCodes = map[keys.Kind]result.Code{
	keys.InProgress:     result.InProgress,
	keys.AnsweredNoBody: result.AnswerDropped,
	keys.Reused:         result.KeyReused,
	keys.Unknown:        result.UnknownAfterTakeover,
	keys.TooEarly:       result.IssuedInFuture,
	keys.Full:           result.Overloaded,
}

func verdictAnswer(v keys.Verdict) Answer {
	if v.Kind == keys.Answered {
		return Answer{Answer: v.Answer}
	}
	code := verdictCodes[v.Kind]
	return refusal(code, code.Info().Text, v.RetryAfter)
}

// recordAnswer keeps the answer for repeats, or frees the key when the request did not run.
func (e *Engine) recordAnswer(p *pendingCall, a Answer) {
	if p.call.Key == "" || p.call.Delegated {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	key := keys.Key{Caller: p.call.Caller, Text: p.call.Key}
	if a.Code.Info().Ran == result.RanNo {
		e.keyTable.Abort(key)
		return
	}
	e.keyTable.Finish(key, a.Answer)
}

// sendWithRetries sends the request. It sends it again when the request certainly did not
// run, or when it ran and failed and may be repeated, within the retry budget. If a further
// attempt is refused, the answer is that of the last attempt that may have run.
func (e *Engine) sendWithRetries(p *pendingCall) Answer {
	var answer Answer
	mayHaveRun := false
	for range maxResends + 1 {
		a, retry := e.attempt(p)
		ran := a.Code.Info().Ran != result.RanNo
		if ran || !mayHaveRun {
			answer, mayHaveRun = a, ran
		}
		if !retry || !e.takeRetry() {
			break
		}
	}
	return answer
}

// takeRetry takes one retry from the budget and reports whether there was one.
func (e *Engine) takeRetry() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retries.withdraw()
}

// attempt waits until an endpoint has a free slot and sends the request to it. retry says
// whether the request may be sent again.
func (e *Engine) attempt(p *pendingCall) (a Answer, retry bool) {
	p.request = routing.Request{
		Service: p.call.Service, Caller: p.call.Caller, Class: p.call.Class,
		Deadline: p.call.Deadline, Tag: p,
	}
	e.mu.Lock()
	e.deliver(e.router.Route(&p.request, e.now()))
	e.mu.Unlock()
	d := <-p.decision
	e.logRoute(p, d)
	if d.Kind != routing.Send {
		return routeRefusal(d), false
	}
	return e.send(p, d.Endpoint)
}

// deliver passes a routing decision to the call that waits for it. The caller holds the
// engine's lock.
func (e *Engine) deliver(d routing.Decision) {
	if d.Evicted != nil {
		e.deliver(routing.Decision{Kind: routing.QueueFull, Request: d.Evicted, RetryAfter: d.RetryAfter})
	}
	if d.Kind == routing.Queued {
		if e.stopped.Load() {
			// The engine has stopped since the call was admitted, so nothing would take the
			// request from the queue.
			e.refuseWaitingLocked()
		}
		return
	}
	if d.Kind == routing.Send {
		e.inFlight++
	}
	d.Request.Tag.(*pendingCall).decision <- d
}

func (e *Engine) deliverAll(decisions []routing.Decision) {
	for _, d := range decisions {
		e.deliver(d)
	}
}

var routeCodes = map[routing.DecisionKind]result.Code{
	routing.QueueFull: result.Overloaded,
	routing.Expired:   result.Expired,
	routing.NoService: result.UnknownService,
	routing.NoSlots:   result.NoEndpoint,
	routing.Stopped:   result.NoOwner,
}

func routeRefusal(d routing.Decision) Answer {
	code := routeCodes[d.Kind]
	return refusal(code, code.Info().Text, d.RetryAfter)
}

// send calls the endpoint and waits for its answer, even when the caller no longer waits,
// since a request that was sent can't be taken back.
func (e *Engine) send(p *pendingCall, to *routing.Endpoint) (a Answer, retry bool) {
	e.mu.Lock()
	state, ok := e.endpoints[to.ID]
	e.mu.Unlock()
	if !ok {
		e.release(to, routing.Unreached, 0)
		return refusal(result.SendFailed, "the endpoint has gone", refusalRetryAfter), true
	}
	began := e.now()
	limit := min(p.call.Deadline.Sub(began), p.workload.TimeLimit)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	got := e.deps.Endpoints.Call(ctx, state.address, endpoint.Request{
		Key: p.endpointKey, Shard: e.cfg.Shard, Epoch: e.cfg.Epoch,
		NotRepeatable: p.call.NotRepeatable, Body: p.call.Body, Authorized: e.authorized,
	})
	took := e.now().Sub(began)
	e.release(to, e.routingOutcome(got), took)
	e.logAnswer(p, to, got, took)
	return e.attemptResult(p, to, got)
}

// routingOutcome converts the endpoint's answer to the outcome that the router counts.
func (e *Engine) routingOutcome(got endpoint.Answer) routing.Outcome {
	switch got.Outcome {
	case endpoint.Done:
		return routing.Served
	case endpoint.Failed:
		return routing.Failed
	case endpoint.Leaving:
		return routing.Refused
	case endpoint.NoAnswer:
		return routing.NoAnswer
	}
	if errors.Is(got.Err, endpoint.ErrNoAuthority) {
		return routing.Unsent
	}
	return routing.Unreached
}

// release frees the endpoint's slot and delivers the decisions that this makes possible.
func (e *Engine) release(to *routing.Endpoint, outcome routing.Outcome, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
	if state, ok := e.endpoints[to.ID]; ok && outcome == routing.NoAnswer {
		state.orphansSince = e.now()
	}
	e.deliverAll(e.router.Release(to, outcome, took, e.now()))
}

// attemptResult converts the endpoint's answer to the answer of the call; retry says
// whether the request may be sent again instead.
func (e *Engine) attemptResult(p *pendingCall, to *routing.Endpoint, got endpoint.Answer) (a Answer, retry bool) {
	a.Endpoint = to.ID
	switch got.Outcome {
	case endpoint.Done:
		a.Code, a.Body = result.OK, got.Body
		return a, false
	case endpoint.Failed:
		a.Code, a.Message = result.EndpointFailed, got.Err.Error()
		return a, e.mayRunAgain(p)
	case endpoint.NoAnswer:
		a.Code, a.Message = result.AnswerLost, got.Err.Error()
		return a, false
	}
	if !e.authorized() {
		return refusal(result.NoOwner, result.NoOwner.Info().Text, refusalRetryAfter), false
	}
	return refusal(result.SendFailed, got.Err.Error(), refusalRetryAfter), true
}

// mayRunAgain reports whether a request that ran and failed may run once more, and counts the
// retry.
func (e *Engine) mayRunAgain(p *pendingCall) bool {
	if p.call.NotRepeatable || p.retries >= p.workload.Retries {
		return false
	}
	p.retries++
	return true
}

// runExpiry periodically refuses requests whose deadline has passed, and sends those for
// which an endpoint has become available.
func (e *Engine) runExpiry(ctx context.Context) {
	clock.Every(ctx, expiryInterval, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.deliverAll(e.router.Expire(e.now()))
		e.deliverAll(e.router.DispatchAll(e.now()))
	})
}

// refuseWaiting refuses all requests that wait for an endpoint; they were not run.
func (e *Engine) refuseWaiting() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refuseWaitingLocked()
}

func (e *Engine) refuseWaitingLocked() {
	for _, request := range e.router.RemoveQueued() {
		e.deliver(routing.Decision{Kind: routing.Stopped, Request: request, RetryAfter: refusalRetryAfter})
	}
}

func (e *Engine) logRoute(p *pendingCall, d routing.Decision) {
	fields := logrus.Fields{
		"service": p.call.Service, "caller": p.call.Caller, "key": p.endpointKey,
		"decision": d.Kind, "waited_ms": e.now().Sub(p.request.ArrivedAt()).Milliseconds(),
	}
	if d.Endpoint != nil {
		fields["endpoint"] = d.Endpoint.ID
	}
	e.deps.Log.WithFields(fields).Info("route")
}

func (e *Engine) logAnswer(p *pendingCall, to *routing.Endpoint, got endpoint.Answer, took time.Duration) {
	if got.Outcome == endpoint.Done {
		return
	}
	e.deps.Log.WithFields(logrus.Fields{
		"service": p.call.Service, "key": p.endpointKey, "endpoint": to.ID,
		"outcome": got.Outcome, "took_ms": took.Milliseconds(), "error": got.Err,
	}).Warn("call_failed")
}
