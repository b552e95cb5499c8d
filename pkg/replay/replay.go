package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/keys"
	"foldarch.dev/foldarch/pkg/placement"
	"foldarch.dev/foldarch/pkg/routing"
	"github.com/cockroachdb/errors"
)

// event is one line of a trace. Exactly one field besides AtMs is set.
type event struct {
	AtMs int64 `json:"at"`

	PutService    *putService     `json:"put_service"`
	PutEndpoint   *putEndpoint    `json:"put_endpoint"`
	MarkLeaving   string          `json:"leaving"`
	UpdateOrphans *updateOrphans  `json:"foreign"`
	Arrive        *routeRequest   `json:"arrive"`
	Release       *releaseRequest `json:"release"`
	Expire        bool            `json:"expire"`

	PutWorker    *putWorker  `json:"put_worker"`
	CloseWorker  string      `json:"close_worker"`
	RemoveWorker string      `json:"remove_worker"`
	Submit       *submitTask `json:"submit"`
	End          string      `json:"end"`
	SetQuota     *setQuota   `json:"quota"`
	Next         int         `json:"next"`

	Takeover bool           `json:"takeover"`
	Use      *beginKey      `json:"use"`
	Answer   *keyCompletion `json:"answer"`
	NotRun   *keyCompletion `json:"not_run"`
}

// replayer is the state of one call of Run.
type replayer struct {
	out      io.Writer
	router   *routing.Router
	placer   *placement.Placer
	keyTable *keys.Table
	requests map[string]*request
}

// request is a routing request with its id in the trace, and its endpoint once it was sent to one.
type request struct {
	id       string
	request  routing.Request
	endpoint *routing.Endpoint
}

// Run replays a trace and writes the decisions. An error names the line of the trace.
func Run(in io.Reader, out io.Writer) error {
	w := bufio.NewWriter(out)
	p := &replayer{
		out: w, router: routing.New(), placer: placement.New(placement.DefaultConfig),
		keyTable: keys.New(keys.DefaultConfig, time.Time{}), requests: map[string]*request{},
	}
	scanner := bufio.NewScanner(in)
	for line := 1; scanner.Scan(); line++ {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		decoder := json.NewDecoder(bytes.NewReader(scanner.Bytes()))
		decoder.DisallowUnknownFields()
		var e event
		if err := decoder.Decode(&e); err != nil {
			return errors.Wrapf(err, "line %d", line)
		}
		if err := p.applyEvent(e, clock.Time(e.AtMs)); err != nil {
			return errors.Wrapf(err, "line %d", line)
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "read trace")
	}
	return errors.Wrap(w.Flush(), "write decisions")
}

// applyEvent passes an event to the package that it belongs to.
func (p *replayer) applyEvent(e event, now clock.Time) error {
	for _, apply := range []func(event, clock.Time) (bool, error){p.applyRoutingEvent, p.applyPlacementEvent, p.applyKeyEvent} {
		if known, err := apply(e, now); known || err != nil {
			return err
		}
	}
	return errors.New("the line has no event")
}

func (p *replayer) printDecision(now clock.Time, format string, args ...any) {
	fmt.Fprintf(p.out, "at=%d %s\n", now, fmt.Sprintf(format, args...))
}
