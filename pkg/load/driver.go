package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"foldarch.dev/foldarch/pkg/entry/entryapi"
	"foldarch.dev/foldarch/pkg/result"
	"foldarch.dev/foldarch/pkg/trace"
)

const (
	maxIdleConnsPerHost = 256
	callTimeout         = 30 * time.Second

	// The state of a batch request is polled at intervals that grow from initialPollInterval to
	// maxPollInterval.
	initialPollInterval = 20 * time.Millisecond
	maxPollInterval     = 500 * time.Millisecond

	maxSubmitAttempts = 20
	resubmitInterval  = 250 * time.Millisecond
)

// Target is the cell that requests are sent to.
type Target struct {
	// Entries are the callers' addresses of the entry hosts. Each request goes to a random one.
	Entries []netip.AddrPort
}

// Options control how Run sends the events.
type Options struct {
	// Speed divides the recorded times: 10 sends in one second what was recorded in 10 s. 0 means 1.
	Speed float64
	// KeepRecordedWork leaves the work duration of each request as recorded. Otherwise it is divided by Speed
	// too.
	KeepRecordedWork bool
	// BatchGrace is how long, in addition to its work duration, an accepted batch request may take before it
	// is recorded as batch_open.
	BatchGrace time.Duration
}

// driver is the state of one call of Run.
type driver struct {
	target    Target
	opt       Options
	http      *http.Client
	startTime time.Time

	mu     sync.Mutex
	result *Result
}

// Run sends the events, waits for their outcomes and returns the result. When ctx ends, it sends no further
// events.
func Run(ctx context.Context, target Target, events []trace.Event, opt Options) *Result {
	if opt.Speed <= 0 {
		opt.Speed = 1
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true}
	defer transport.CloseIdleConnections()
	d := &driver{
		target: target, opt: opt, startTime: time.Now(), result: newResult(),
		http: &http.Client{Transport: transport, Timeout: callTimeout},
	}
	var senders sync.WaitGroup
	for _, e := range events {
		at := time.Duration(float64(e.At()) / opt.Speed)
		if !waitUntil(ctx, d.startTime.Add(at)) {
			break
		}
		senders.Go(func() { d.send(ctx, e, d.startTime.Add(at)) })
	}
	senders.Wait()
	d.result.Seconds = time.Since(d.startTime).Seconds()
	return d.result
}

// waitUntil reports whether the time came before ctx ended.
func waitUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (d *driver) randomEntry() netip.AddrPort {
	return d.target.Entries[rand.IntN(len(d.target.Entries))]
}

func (d *driver) send(ctx context.Context, e trace.Event, due time.Time) {
	if !d.opt.KeepRecordedWork {
		e.WorkMS = max(int64(float64(e.WorkMS)/d.opt.Speed), 1)
	}
	if e.Batch {
		d.runBatch(ctx, e, due)
		return
	}
	d.sendCall(ctx, e, due)
}

func (d *driver) sendCall(ctx context.Context, e trace.Event, due time.Time) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		fmt.Sprintf("http://%s/v1/services/%s/calls", d.randomEntry(), e.Workload), strings.NewReader(e.Body()))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	req.Header.Set("Foldarch-Caller", e.Caller)
	setNonEmptyHeader(req, "Idempotency-Key", e.Key)
	setNonEmptyHeader(req, "Foldarch-Class", e.Class)
	if e.Key != "" {
		req.Header.Set("Foldarch-Issued-At", strconv.FormatInt(time.Now().UnixMilli(), 10))
	}
	if e.LimitMS > 0 {
		req.Header.Set("Foldarch-Deadline", strconv.FormatInt(time.Now().UnixMilli()+e.LimitMS, 10))
	}
	if e.NotRepeatable {
		req.Header.Set("Foldarch-Not-Repeatable", "true")
	}
	status, body, err := d.roundTrip(req)
	work := time.Duration(e.WorkMS) * time.Millisecond
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err != nil:
		d.result.add(e, outcome{name: "connection_lost"})
	case status != http.StatusOK:
		d.result.add(e, outcome{name: problemName(body)})
	case !strings.HasSuffix(body, e.Body()):
		d.result.add(e, outcome{name: "wrong_answer"})
	default:
		took := time.Since(due)
		d.result.add(e, outcome{name: result.OK.String(), took: took, wait: max(took-work, 0), endedAt: time.Since(d.startTime)})
	}
}

func setNonEmptyHeader(req *http.Request, header, value string) {
	if value != "" {
		req.Header.Set(header, value)
	}
}

func (d *driver) roundTrip(req *http.Request) (int, string, error) {
	resp, err := d.http.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// problemName returns the name of the problem in the body of an error response.
func problemName(body string) string {
	var p entryapi.Problem
	if err := p.UnmarshalJSON([]byte(body)); err != nil {
		return "unreadable"
	}
	return p.Name
}

// runBatch submits a batch request, polls its state until it has ended, and records the outcome.
func (d *driver) runBatch(ctx context.Context, e trace.Event, due time.Time) {
	id, name := d.submitBatch(ctx, e)
	if id == "" {
		d.recordOutcome(e, outcome{name: name})
		return
	}
	pause := initialPollInterval
	deadline := time.Now().Add(d.opt.BatchGrace + time.Duration(e.WorkMS)*time.Millisecond)
	for time.Now().Before(deadline) && waitUntil(ctx, time.Now().Add(pause)) {
		pause = min(pause*3/2, maxPollInterval)
		s, err := d.readBatch(ctx, e, id)
		if err != nil {
			continue
		}
		if s.State == entryapi.BatchStatusStateWaiting || s.State == entryapi.BatchStatusStateRunning {
			continue
		}
		took := time.Since(due)
		o := outcome{name: "batch_" + string(s.State), took: took, endedAt: time.Since(d.startTime)}
		o.wait = max(took-time.Duration(e.WorkMS)*time.Millisecond, 0)
		o.missedWindow = e.WindowMS > 0 && took > time.Duration(float64(e.WindowMS)/d.opt.Speed)*time.Millisecond
		d.recordOutcome(e, o)
		return
	}
	d.recordOutcome(e, outcome{name: "batch_open"})
}

func (d *driver) recordOutcome(e trace.Event, o outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.result.add(e, o)
}

// submitBatch tries to submit a batch request until it is accepted, at most maxSubmitAttempts times. It
// returns the id of the accepted request, or the name of the last problem.
func (d *driver) submitBatch(ctx context.Context, e trace.Event) (id, name string) {
	text, err := json.Marshal(map[string]string{"workload": e.Workload, "payload": e.Body()})
	if err != nil {
		return "", err.Error()
	}
	for range maxSubmitAttempts {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/batches", d.randomEntry()), bytes.NewReader(text))
		if err != nil {
			return "", err.Error()
		}
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("Foldarch-Caller", e.Caller)
		req.Header.Set("Idempotency-Key", e.Key)
		status, body, err := d.roundTrip(req)
		var s entryapi.BatchStatus
		if err == nil && status == http.StatusAccepted && s.UnmarshalJSON([]byte(body)) == nil {
			return s.ID, ""
		}
		name = "connection_lost"
		if err == nil {
			name = problemName(body)
		}
		if !waitUntil(ctx, time.Now().Add(resubmitInterval)) {
			break
		}
	}
	return "", name
}

func (d *driver) readBatch(ctx context.Context, e trace.Event, id string) (entryapi.BatchStatus, error) {
	var s entryapi.BatchStatus
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/batches/%s", d.randomEntry(), id), nil)
	if err != nil {
		return s, err
	}
	req.Header.Set("Foldarch-Caller", e.Caller)
	_, body, err := d.roundTrip(req)
	if err != nil {
		return s, err
	}
	return s, s.UnmarshalJSON([]byte(body))
}
