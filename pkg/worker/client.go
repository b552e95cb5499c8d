package worker

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/dialer"
	"foldarch.dev/foldarch/pkg/worker/workerapi"
	"github.com/cockroachdb/errors"
)

// The failures of a command.
var (
	// ErrStale means that the worker refused: nothing was carried out.
	ErrStale = errors.New("the worker refused a stale command")
	// ErrUnreachable means that nothing reached the worker.
	ErrUnreachable = errors.New("the worker can't be reached")
	// ErrLost means that the commands may have been carried out.
	ErrLost = errors.New("the answer of the worker was lost")
)

// State says how far a task is.
type State string

// The states of a task at its worker.
const (
	Running  State = "running"
	Draining State = "draining"
	Done     State = "done"
	Failed   State = "failed"
)

// ResultStopped is the result of a failed task that was stopped by a command.
const ResultStopped = "stopped"

// Task is a task as it is sent to a worker.
type Task struct {
	ID        string
	Workload  string
	Service   bool
	Resources cell.Resources
	Payload   string
	Slots     int
}

// Report is what a worker says of one task.
type Report struct {
	ID        string
	Workload  string
	Service   bool
	Resources cell.Resources
	State     State
	Endpoint  netip.AddrPort // of a running service task
	Slots     int
	Result    string
}

// Status is what a worker says of itself.
type Status struct {
	Worker      string
	Incarnation string
	Hall        cell.Hall
	Rack        string
	Labels      []string
	Capacity    cell.Resources
	Draining    bool
	Tasks       []Report

	clockMillis int64      // the worker's clock when it answered
	received    clock.Time // our clock when the answer arrived
}

// Commands are carried out together by one worker.
type Commands struct {
	Shard    cell.ShardID
	Epoch    cell.Epoch
	Sequence int64
	// ValidUntil is when the authority of the sender ends, on the sender's clock.
	ValidUntil clock.Time
	// Known is the last status of the worker.
	Known Status
	Lease time.Duration
	Start []Task
	Renew []string
	Drain []string
	// Stop names tasks to stop at once, after a checkpoint where a task has one.
	Stop []string
	// Forget names ended tasks whose result is kept elsewhere.
	Forget []string
}

// Client talks to workers. It is safe for concurrent use.
type Client struct {
	http *http.Client
	clk  clock.Clock

	mu   sync.Mutex
	apis map[netip.AddrPort]*workerapi.Client
}

// New returns a client.
func New(d *dialer.Dialer, clk clock.Clock) *Client {
	return &Client{
		http: &http.Client{Transport: d.Transport(1)}, clk: clk,
		apis: map[netip.AddrPort]*workerapi.Client{},
	}
}

func (c *Client) api(address netip.AddrPort) (*workerapi.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if api, ok := c.apis[address]; ok {
		return api, nil
	}
	api, err := workerapi.NewClient(fmt.Sprintf("http://%s", address), workerapi.WithClient(c.http))
	if err != nil {
		return nil, errors.Wrapf(err, "worker address %s", address)
	}
	c.apis[address] = api
	return api, nil
}

// Status asks a worker what it runs.
func (c *Client) Status(ctx context.Context, address netip.AddrPort) (Status, error) {
	api, err := c.api(address)
	if err != nil {
		return Status{}, err
	}
	got, err := api.ReadStatus(ctx)
	if err != nil {
		return Status{}, errors.Mark(err, ErrUnreachable)
	}
	return c.statusOf(got)
}

// Command has a worker carry out commands and returns its status after them.
func (c *Client) Command(ctx context.Context, address netip.AddrPort, cmds Commands) (Status, error) {
	api, err := c.api(address)
	if err != nil {
		return Status{}, err
	}
	res, err := api.SendCommands(ctx, wireCommands(cmds))
	if err != nil {
		if dialer.NotSent(err) {
			return Status{}, errors.Mark(err, ErrUnreachable)
		}
		return Status{}, errors.Mark(err, ErrLost)
	}
	switch res := res.(type) {
	case *workerapi.Status:
		return c.statusOf(res)
	case *workerapi.Stale:
		return Status{}, errors.Wrapf(ErrStale, "worker knows epoch %d", res.Epoch)
	}
	return Status{}, errors.Newf("worker answered %T", res)
}

func (c *Client) statusOf(s *workerapi.Status) (Status, error) {
	status := Status{
		Worker: s.Worker, Incarnation: s.Incarnation, Hall: cell.Hall(s.Hall), Rack: s.Rack,
		Labels: s.Labels, Capacity: resourcesOf(s.Capacity), Draining: s.Draining,
		clockMillis: s.ClockMs, received: c.clk.Now(),
	}
	for _, t := range s.Tasks {
		report, err := reportOf(t)
		if err != nil {
			return Status{}, errors.Wrapf(err, "worker %s", s.Worker)
		}
		status.Tasks = append(status.Tasks, report)
	}
	return status, nil
}

func reportOf(t workerapi.Task) (Report, error) {
	r := Report{
		ID: t.ID, Workload: t.Workload, Service: t.Kind == workerapi.TaskKindService,
		Resources: resourcesOf(t.Resources), State: State(t.State), Slots: t.Slots.Value, Result: t.Result.Value,
	}
	if !t.Endpoint.Set {
		return r, nil
	}
	address, err := netip.ParseAddrPort(t.Endpoint.Value)
	if err != nil {
		return Report{}, errors.Wrapf(err, "task %s", t.ID)
	}
	r.Endpoint = address
	return r, nil
}

// wireCommands converts the end of validity to the worker's clock. The worker's clock
// read clockMillis before the status arrived here, so the sum is never too late.
func wireCommands(c Commands) *workerapi.Commands {
	w := &workerapi.Commands{
		Shard: c.Shard.String(), Epoch: int64(c.Epoch), Sequence: c.Sequence,
		NotAfterMs: c.Known.clockMillis + c.ValidUntil.Sub(c.Known.received).Milliseconds(),
		LeaseMs:    c.Lease.Milliseconds(),
		Start:      []workerapi.TaskSpec{},
		Renew:      append([]string{}, c.Renew...),
		Drain:      append([]string{}, c.Drain...),
		Stop:       append([]string{}, c.Stop...),
		Forget:     append([]string{}, c.Forget...),
	}
	for _, t := range c.Start {
		w.Start = append(w.Start, wireTask(t, c.Lease))
	}
	return w
}

func wireTask(t Task, lease time.Duration) workerapi.TaskSpec {
	kind := workerapi.TaskSpecKindBatch
	if t.Service {
		kind = workerapi.TaskSpecKindService
	}
	return workerapi.TaskSpec{
		ID: t.ID, Workload: t.Workload, Kind: kind, Payload: t.Payload,
		LeaseMs: lease.Milliseconds(), Slots: t.Slots,
		Resources: workerapi.Resources{
			CPUMillis: t.Resources.CPUMillis, MemoryMB: t.Resources.MemoryMB,
			Accelerators: t.Resources.Accelerators,
		},
	}
}

func resourcesOf(r workerapi.Resources) cell.Resources {
	return cell.Resources{CPUMillis: r.CPUMillis, MemoryMB: r.MemoryMB, Accelerators: r.Accelerators}
}
