package endpoint

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/dialer"
	"github.com/cockroachdb/errors"
)

// Paths, headers and header values of the HTTP protocol between an owner and an endpoint.
const (
	CallPath   = "/"
	HealthPath = "/health"

	KeyHeader           = "Foldarch-Key"
	ShardHeader         = "Foldarch-Shard"
	EpochHeader         = "Foldarch-Epoch"
	NotRepeatableHeader = "Foldarch-Not-Repeatable"

	// RefusedHeader in an answer says that the request did not run, and why. The HTTP status
	// does not show this: a service may answer 503 after it has run half of a request.
	RefusedHeader  = "Foldarch-Refused"
	RefusedLeaving = "leaving" // the endpoint accepts no new requests
	RefusedStale   = "stale"   // the endpoint has seen a higher epoch
)

// maxIdleConns bounds the unused connections that are kept to one endpoint. It is somewhat
// above the usual number of slots.
const maxIdleConns = 16

// Outcome says what is known of a request after a call.
type Outcome int

// The outcomes of a call.
const (
	Done     Outcome = iota // it ran, and the answer is complete
	Failed                  // it ran, or may have, but the answer is an error or too large
	NotRun                  // it certainly did not run
	Leaving                 // it did not run, and the endpoint accepts no new requests
	NoAnswer                // it may have been sent, and no complete answer arrived
)

// Request is a request to an endpoint.
type Request struct {
	Key           string
	Shard         cell.ShardID
	Epoch         cell.Epoch
	NotRepeatable bool
	Body          []byte
	// Authorized is called immediately before the request is written to the connection. If
	// it returns false, the request is not sent. It may be nil.
	Authorized func() bool
}

// String returns the outcome's name for logs.
func (o Outcome) String() string {
	return [...]string{"done", "failed", "not_run", "leaving", "lost"}[o]
}

// Answer is the result of a call.
type Answer struct {
	Outcome Outcome
	Body    []byte
	Err     error // set for every outcome but Done
}

// Health is the state that an endpoint may report at HealthPath.
type Health struct {
	InUse   int  `json:"in_use"`  // running requests
	Leaving bool `json:"leaving"` // the endpoint accepts no new requests
}

// Client calls endpoints. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	maxBody int64
}

// New returns a client that accepts answers of up to maxBody bytes.
func New(d *dialer.Dialer, maxBody int64) *Client {
	return &Client{http: &http.Client{Transport: d.Transport(maxIdleConns)}, maxBody: maxBody}
}

// ErrNoAuthority is the error of a request that was not sent because Authorized returned false.
var ErrNoAuthority = errors.New("authority ended before the request was sent")

// Call sends a request to an endpoint and waits for its complete answer until ctx ends.
func (c *Client) Call(ctx context.Context, address netip.AddrPort, r Request) Answer {
	body := &guardedBody{data: r.Body, authorized: r.Authorized}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s%s", address, CallPath), body)
	if err != nil {
		return Answer{Outcome: NotRun, Err: errors.Wrap(err, "endpoint request")}
	}
	req.ContentLength = int64(len(r.Body))
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/octet-stream")
	req.Header.Set(KeyHeader, r.Key)
	req.Header.Set(ShardHeader, r.Shard.String())
	req.Header.Set(EpochHeader, strconv.FormatInt(int64(r.Epoch), 10))
	req.Header.Set(NotRepeatableHeader, strconv.FormatBool(r.NotRepeatable))
	if r.Authorized != nil && !r.Authorized() {
		return Answer{Outcome: NotRun, Err: ErrNoAuthority}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return classifySendError(err, body)
	}
	defer resp.Body.Close()
	return c.readAnswer(resp)
}

// classifySendError decides whether the endpoint may have received the complete request.
func classifySendError(err error, body *guardedBody) Answer {
	if body.preventRead() || dialer.NotSent(err) {
		return Answer{Outcome: NotRun, Err: errors.Wrap(err, "send to endpoint")}
	}
	return Answer{Outcome: NoAnswer, Err: errors.Wrap(err, "answer of endpoint")}
}

// readAnswer reads the response of an endpoint and determines the outcome of the request.
func (c *Client) readAnswer(resp *http.Response) Answer {
	switch resp.Header.Get(RefusedHeader) {
	case RefusedLeaving:
		return Answer{Outcome: Leaving, Err: errors.New("the endpoint is leaving")}
	case RefusedStale:
		return Answer{Outcome: NotRun, Err: errors.New("the endpoint has seen a higher epoch")}
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, c.maxBody+1))
	if err != nil {
		return Answer{Outcome: NoAnswer, Err: errors.Wrap(err, "answer of endpoint")}
	}
	if int64(len(data)) > c.maxBody {
		return Answer{Outcome: Failed, Err: errors.Newf("the answer is over %d bytes", c.maxBody)}
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return Answer{Outcome: Failed, Body: data, Err: errors.Newf("endpoint answered %s", resp.Status)}
	}
	return Answer{Outcome: Done, Body: data}
}

// Health asks an endpoint how many requests it runs and whether it is leaving. ok is false if
// the endpoint does not report this.
func (c *Client) Health(ctx context.Context, address netip.AddrPort, timeout time.Duration) (h Health, ok bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s", address, HealthPath), nil)
	if err != nil {
		return Health{}, false, errors.Wrap(err, "health request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Health{}, false, errors.Wrap(err, "health of endpoint")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Health{}, false, nil
	}
	if err := json.NewDecoder(resp.Body).Decode(&h); err != nil {
		return Health{}, false, nil
	}
	return h, true, nil
}
