package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clientlimit"
	"foldarch.dev/foldarch/pkg/entry/entryapi"
	"foldarch.dev/foldarch/pkg/peer"
	"foldarch.dev/foldarch/pkg/result"
	"foldarch.dev/foldarch/pkg/routing"
	"foldarch.dev/foldarch/pkg/settings"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
)

const healthPath = "/healthz"

// httpServer returns the server for callers and operators, within the limits of their listener. It
// serves the generated API, the health check of the load balancer, and the metrics.
func (p *Process) httpServer(limits *clientlimit.Listener) (*http.Server, error) {
	api, err := entryapi.NewServer(&handler{p}, entryapi.WithErrorHandler(result.WriteMalformed))
	if err != nil {
		return nil, errors.Wrap(err, "callers' API")
	}
	mux := http.NewServeMux()
	mux.Handle("/", p.limitBody(api))
	mux.HandleFunc("GET "+healthPath, p.serveHealth)
	mux.HandleFunc("GET "+metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(p.registry, w)
	})
	return limits.Server(mux), nil
}

// limitBody limits the size of the request bodies that next can read.
func (p *Process) limitBody(next http.Handler) http.Handler {
	maxBytes := p.cfg.Limits.MaxBodyKB << 10
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBytes)
		next.ServeHTTP(w, r)
	})
}

// serveHealth answers the load balancer's health check. The status is 503 while the process is
// leaving or has no settings in force.
func (p *Process) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if revision, _, _ := p.settings.current(); p.draining.Load() || revision == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// handler implements the generated API.
type handler struct {
	p *Process
}

// CallService forwards a caller's request to the owner of a shard and returns the owner's answer.
func (h *handler) CallService(ctx context.Context, req entryapi.CallServiceReq, params entryapi.CallServiceParams) (*entryapi.CallServiceOKHeaders, error) {
	body, err := readBody(req.Data)
	if err != nil {
		return nil, err
	}
	r, err := h.p.callRequest(params, body)
	if err != nil {
		return nil, err
	}
	a := h.p.forward(ctx, r)
	h.p.countAnswer("calls", a.Code)
	if a.Code != result.OK {
		return nil, answerError(a)
	}
	return &entryapi.CallServiceOKHeaders{
		FoldarchEndpoint: entryapi.NewOptString(a.Endpoint),
		Response:         entryapi.CallServiceOK{Data: bytes.NewReader(a.Body)},
	}, nil
}

func readBody(body io.Reader) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	data, err := io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, result.New(result.BodyTooLarge, "the body is over %d bytes", tooLarge.Limit)
	}
	if clientlimit.IsUnread(err) {
		return nil, result.New(result.Overloaded, "the body was not read: %v", err).WithRetryAfter(refusalRetryAfter)
	}
	if err != nil {
		return nil, result.New(result.Malformed, "the body can't be read: %v", err)
	}
	return data, nil
}

// callRequest validates a call and determines the shard that has to answer it: the home shard of
// its key or, without a key, the shard that chooseShard returns.
func (p *Process) callRequest(params entryapi.CallServiceParams, body []byte) (peer.Request, error) {
	w, layout, err := p.findWorkload(params.Service, settings.KindService)
	if err != nil {
		return peer.Request{}, err
	}
	if int64(len(body)) > w.MaxBody {
		return peer.Request{}, result.New(result.BodyTooLarge, "the body is over the %d bytes that %s takes", w.MaxBody, w.Name)
	}
	left, err := p.timeLeft(params.FoldarchDeadline, w.TimeLimit)
	if err != nil {
		return peer.Request{}, err
	}
	r := peer.Request{
		Kind: peer.Call, Service: w.Name, Caller: params.FoldarchCaller, Key: params.IdempotencyKey.Value,
		IssuedAt: issuedAt(params), TimeLeft: left, Class: classByName[params.FoldarchClass.Value],
		NotRepeatable: params.FoldarchNotRepeatable.Value, Body: body,
	}
	var ok bool
	if r.Key != "" {
		r.Shard, ok = layout.Home(r.Key)
	} else {
		r.Shard, ok = p.chooseShard(w.Name)
	}
	if !ok {
		return peer.Request{}, result.New(result.NoEndpoint, "no shard runs %s", w.Name).WithRetryAfter(refusalRetryAfter)
	}
	return r, nil
}

var classByName = map[entryapi.CallServiceFoldarchClass]routing.Class{
	"":                                      routing.Normal,
	entryapi.CallServiceFoldarchClassUrgent: routing.Urgent,
	entryapi.CallServiceFoldarchClassNormal: routing.Normal,
	entryapi.CallServiceFoldarchClassBackground: routing.Background,
}

// findWorkload returns a workload of the given kind from the settings in force, and the layout
// of the cell. It returns an error while this process has no settings or is leaving.
func (p *Process) findWorkload(name string, kind settings.Kind) (settings.Workload, cell.Layout, error) {
	_, _, tree := p.settings.current()
	if tree == nil {
		return settings.Workload{}, cell.Layout{}, result.New(result.NotReady, "%s", result.NotReady.Info().Text).WithRetryAfter(refusalRetryAfter)
	}
	if p.draining.Load() {
		return settings.Workload{}, cell.Layout{}, result.New(result.Draining, "%s", result.Draining.Info().Text).WithRetryAfter(refusalRetryAfter)
	}
	w, ok := tree.Workloads[name]
	if !ok {
		return w, tree.Layout, result.New(result.UnknownService, "the settings have no workload %q", name)
	}
	if w.Kind != kind {
		return w, tree.Layout, result.New(result.WrongKind, "%s is a %s workload", name, w.Kind)
	}
	return w, tree.Layout, nil
}

// timeLeft returns the time until the caller's deadline, at most the time limit of the workload.
func (p *Process) timeLeft(deadline entryapi.OptInt64, timeLimit time.Duration) (time.Duration, error) {
	if !deadline.Set {
		return timeLimit, nil
	}
	left := time.UnixMilli(deadline.Value).Sub(p.clk.Wall())
	if left <= 0 {
		return 0, result.New(result.DeadlinePast, "the deadline was %s ago", -left)
	}
	return min(left, timeLimit), nil
}

// issuedAt returns when the key was generated: the time that the caller states or, if the key or
// its part after the first slash is a version 7 UUID, the time in that UUID. Otherwise it returns the
// zero time.
func issuedAt(params entryapi.CallServiceParams) time.Time {
	if params.FoldarchIssuedAt.Set {
		return time.UnixMilli(params.FoldarchIssuedAt.Value)
	}
	key := params.IdempotencyKey.Value
	if _, rest, found := strings.Cut(key, "/"); found {
		key = rest
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec)
}

// countAnswer increments the metric of a result code, such as calls.overloaded.
func (p *Process) countAnswer(prefix string, code result.Code) {
	metrics.GetOrRegisterCounter(prefix+"."+code.String(), p.registry).Inc(1)
}

// answerError returns the error that an owner's answer describes.
func answerError(a peer.Answer) error {
	return result.New(a.Code, "%s", a.Message).WithRetryAfter(a.RetryAfter)
}

// NewError converts an error to the API's problem response.
func (h *handler) NewError(_ context.Context, err error) *entryapi.ProblemStatusCodeWithHeaders {
	p := result.NewProblem(err)
	out := &entryapi.ProblemStatusCodeWithHeaders{
		StatusCode: p.Status,
		Response:   entryapi.Problem{Code: int(p.Code), Name: p.Name, Message: p.Message, Ran: entryapi.ProblemRan(p.Ran)},
	}
	if p.RetryAfterMs > 0 {
		out.RetryAfter = entryapi.NewOptInt(p.RetryAfterSeconds())
		out.Response.RetryAfterMs = entryapi.NewOptInt64(p.RetryAfterMs)
	}
	return out
}
