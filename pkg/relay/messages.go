package relay

import (
	"net/netip"

	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
)

func newOrder(kind poolpb.Order_Kind, o platform.Order, task job.TaskID, run int) *poolpb.Order {
	return &poolpb.Order{
		Kind: kind, Worker: string(o.Worker), Address: o.Address.String(), Token: o.Token, Task: task.String(), Run: int64(run),
	}
}

// parseTarget returns the worker to which an order goes, with the fencing token.
func parseTarget(o *poolpb.Order) (platform.Order, error) {
	address, err := netip.ParseAddrPort(o.Address)
	if err != nil {
		return platform.Order{}, errors.Wrap(err, "parse worker address of an order")
	}
	return platform.Order{Worker: dispatch.WorkerID(o.Worker), Address: address, Token: o.Token}, nil
}

// notSentResult is the result of an order that was not carried out and never will be.
func notSentResult(o *poolpb.Order) *poolpb.Result {
	return &poolpb.Result{Number: o.Number, Failed: true, NotSent: true}
}

func answerOf(r *poolpb.Result) dispatch.Answer {
	return dispatch.Answer{Verdict: dispatch.Verdict(r.Verdict), Clock: r.Clock}
}

func setReport(r *poolpb.Result, report dispatch.Report) {
	r.Born, r.More, r.Strange = report.IncarnationStart, report.Truncated, int64(report.UnparsableRuns)
	for _, a := range report.Active {
		r.Active = append(r.Active, &poolpb.Active{
			Task: a.Task.String(), Run: int64(a.Run), Checkpoint: a.Checkpoint, Percent: int64(a.Percent), Load: int64(a.Load),
		})
	}
	for _, f := range report.Finished {
		r.Finished = append(r.Finished, &poolpb.Finished{
			Number: f.Number, Task: f.Task.String(), Run: int64(f.Run), How: int64(f.Reason), Checkpoint: f.Checkpoint,
		})
	}
}

func parseReport(r *poolpb.Result) (report dispatch.Report, err error) {
	report.IncarnationStart, report.Truncated, report.UnparsableRuns = r.Born, r.More, int(r.Strange)
	for _, a := range r.Active {
		row := dispatch.ActiveRun{Run: int(a.Run), Checkpoint: a.Checkpoint, Percent: int(a.Percent), Load: int(a.Load)}
		if row.Task, err = job.ParseTaskID(a.Task); err != nil {
			return dispatch.Report{}, errors.Wrap(err, "parse task id of an active run")
		}
		report.Active = append(report.Active, row)
	}
	for _, f := range r.Finished {
		row := dispatch.FinishedRun{Number: f.Number, Run: int(f.Run), Reason: dispatch.EndReason(f.How), Checkpoint: f.Checkpoint}
		if row.Task, err = job.ParseTaskID(f.Task); err != nil {
			return dispatch.Report{}, errors.Wrap(err, "parse task id of an ended run")
		}
		report.Finished = append(report.Finished, row)
	}
	return report, nil
}

// packOrders puts orders into one message for a relay that keeps no specs. The starts of a step carry the same spec,
// which may be most of their bytes, so the message holds each spec once.
func packOrders(orders []*poolpb.Order) *poolpb.Orders {
	m := newKeptSpecs(0).pack(orders)
	m.FirstSpec = 0
	return m
}

// specOf returns the spec of an order in a message; ok is false if the message does not hold it.
func specOf(m *poolpb.Orders, o *poolpb.Order) (spec string, ok bool) {
	switch n := o.SpecNumber; {
	case n == 0:
		return o.Spec, true
	case n < 0 || n > int64(len(m.Specs)):
		return "", false
	default:
		return m.Specs[n-1], true
	}
}
