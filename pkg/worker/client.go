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

// Errors of a command.
var (
	// ErrStale means that the worker refused the commands and carried out none of them.
	ErrStale = errors.New("worker refused a stale command")
	// ErrRestarted is the case of ErrStale in which the commands were for an earlier incarnation of the worker.
	ErrRestarted = errors.Wrap(ErrStale, "worker has restarted")
	// ErrUnreachable means that the commands were not sent, or that a status could not be read.
	ErrUnreachable = errors.New("worker is unreachable")
	// ErrAnswerLost means that the commands may have been carried out.
	ErrAnswerLost = errors.New("no answer from the worker: the commands may have been carried out")
)

// State is the state of a task on its worker.
type State string

// States of a task.
const (
	Running  State = "running"
	Draining State = "draining"
	Done     State = "done"
	Failed   State = "failed"
)

// ResultStopped is the result of a task that failed because a command stopped it.
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

// Report is what a worker reports about one of its tasks.
type Report struct {
	ID        string
	Workload  string
	Service   bool
	Resources cell.Resources
	State     State
	Endpoint  netip.AddrPort // only for a service task that runs
	Slots     int
	Result    string
}

// Status is what a worker reports about itself.
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
	received    clock.Time // this process's clock when the answer arrived
}

// Commands is a set of commands that one worker carries out together.
type Commands struct {
	Shard    cell.ShardID
	Epoch    cell.Epoch
	Sequence int64
	// ValidUntil is when the sender's authority ends, on the sender's clock.
	ValidUntil clock.Time
	// LastStatus is the last status received from the worker. The commands are for the incarnation that
	// sent it, whose clock it contains.
	LastStatus Status
	Lease      time.Duration
	Start      []Task
	Renew      []string
	Drain      []string
	// Stop lists tasks to stop at once, after a checkpoint if the task makes checkpoints.
	Stop []string
	// Forget lists ended tasks that the worker may drop, since their results are stored elsewhere.
	Forget []string
}

// Client talks to workers. It is safe for concurrent use.
type Client struct {
	http *http.Client
	clk  clock.Clock

	mu   sync.Mutex
	apis map[netip.AddrPort]*workerapi.Client
}

// New returns a client that connects through d and takes the time from clk.
func New(d *dialer.Dialer, clk clock.Clock) *Client {
	return &Client{
		http: &http.Client{Transport: d.Transport(1)}, clk: clk,
		apis: map[netip.AddrPort]*workerapi.Client{},
	}
}

// api returns the generated client for an address, which it creates at first use.
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

// Status reads the status of a worker.
func (c *Client) Status(ctx context.Context, address netip.AddrPort) (Status, error) {
	api, err := c.api(address)
	if err != nil {
		return Status{}, err
	}
	got, err := api.ReadStatus(ctx)
	if err != nil {
		return Status{}, errors.Mark(err, ErrUnreachable)
	}
	return c.convertStatus(got)
}

// Command sends commands to a worker and returns the worker's status after they were carried out.
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
		return Status{}, errors.Mark(err, ErrAnswerLost)
	}
	switch res := res.(type) {
	case *workerapi.Status:
		return c.convertStatus(res)
	case *workerapi.Stale:
		return Status{}, staleError(res, cmds)
	}
	return Status{}, errors.Newf("unexpected answer from worker: %T", res)
}

func staleError(got *workerapi.Stale, cmds Commands) error {
	if named := cmds.LastStatus.Incarnation; got.Incarnation != named {
		return errors.Wrapf(ErrRestarted, "commands for incarnation %s reached incarnation %s", named, got.Incarnation)
	}
	return errors.Wrapf(ErrStale, "worker has epoch %d and clock %d ms", got.Epoch, got.ClockMs)
}

func (c *Client) convertStatus(s *workerapi.Status) (Status, error) {
	status := Status{
		Worker: s.Worker, Incarnation: s.Incarnation, Hall: cell.Hall(s.Hall), Rack: s.Rack,
		Labels: s.Labels, Capacity: convertResources(s.Capacity), Draining: s.Draining,
		clockMillis: s.ClockMs, received: c.clk.Now(),
	}
	for _, t := range s.Tasks {
		report, err := convertReport(t)
		if err != nil {
			return Status{}, errors.Wrapf(err, "worker %s", s.Worker)
		}
		status.Tasks = append(status.Tasks, report)
	}
	return status, nil
}

func convertReport(t workerapi.Task) (Report, error) {
	r := Report{
		ID: t.ID, Workload: t.Workload, Service: t.Kind == workerapi.TaskKindService,
		Resources: convertResources(t.Resources), State: State(t.State), Slots: t.Slots.Value, Result: t.Result.Value,
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

// wireCommands converts commands to their form in the protocol, with the end of their validity on the
// worker's clock. The worker read its clock before the status arrived here, so the converted time is
// never after the end of the sender's authority. The next incarnation of the worker has another clock, by which
// that time may be far in the future, so the commands name the incarnation.
func wireCommands(c Commands) *workerapi.Commands {
	w := &workerapi.Commands{
		Shard: c.Shard.String(), Epoch: int64(c.Epoch), Sequence: c.Sequence,
		Incarnation: c.LastStatus.Incarnation,
		NotAfterMs:  c.LastStatus.clockMillis + c.ValidUntil.Sub(c.LastStatus.received).Milliseconds(),
		LeaseMs:     c.Lease.Milliseconds(),
		Start:       []workerapi.TaskSpec{},
		Renew:       append([]string{}, c.Renew...),
		Drain:       append([]string{}, c.Drain...),
		Stop:        append([]string{}, c.Stop...),
		Forget:      append([]string{}, c.Forget...),
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

func convertResources(r workerapi.Resources) cell.Resources {
	return cell.Resources{CPUMillis: r.CPUMillis, MemoryMB: r.MemoryMB, Accelerators: r.Accelerators}
}
