package entry

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/batch"
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/dialer"
	"foldarch.dev/foldarch/pkg/keys"
	"foldarch.dev/foldarch/pkg/peer"
	"foldarch.dev/foldarch/pkg/result"
	"foldarch.dev/foldarch/pkg/settings"
	"foldarch.dev/foldarch/pkg/shard"
	"github.com/sirupsen/logrus"
)

const (
	// refusalRetryAfter is the retry delay for requests that this process refuses.
	refusalRetryAfter = 500 * time.Millisecond
	// answerTimeoutMargin is how much longer than a request's own time limit this process waits
	// for the owner's answer.
	answerTimeoutMargin = 500 * time.Millisecond
	// While a forwarded request waits for its answer, ownerCheckInterval is how often the owner
	// of its shard is checked. If the owner has changed, the previous one gets the further time
	// previousOwnerGrace to answer, and more of it while it is seen to be up. previousOwnerTimeout
	// limits that check.
	ownerCheckInterval   = 100 * time.Millisecond
	previousOwnerGrace   = 300 * time.Millisecond
	previousOwnerTimeout = 300 * time.Millisecond
	// After a lost answer, the next owner of the shard is asked every nextOwnerRetryInterval for
	// up to nextOwnerTimeout while its process does not have the shard yet.
	nextOwnerTimeout       = 500 * time.Millisecond
	nextOwnerRetryInterval = 20 * time.Millisecond
	// A request without a key is run in another hall if even the least loaded shard of the own
	// hall has a load of at least spilloverLoad and a shard of another hall has a load that is
	// lower by more than spilloverMinGain. Together the two limits keep halls from sending requests
	// back and forth.
	spilloverLoad    = 1.0
	spilloverMinGain = 0.3
)

// forward has the owner of a shard answer a request, in this process or in another one. If the
// answer is lost and the shard has another owner, a repeatable request is forwarded to that one.
// For any other request forward returns AnswerLost.
func (p *Process) forward(ctx context.Context, r peer.Request) peer.Answer {
	deadline := p.clk.Now().Add(r.TimeLeft)
	ctx, cancel := context.WithTimeout(ctx, r.TimeLeft+answerTimeoutMargin)
	defer cancel()
	a, owner, lost := p.askOwner(ctx, r)
	for lost && r.Repeatable() && ctx.Err() == nil && p.hasOtherOwner(r.Shard, owner) {
		a, owner, lost = p.askNextOwner(ctx, r, deadline)
	}
	return a
}

// askOwner has the present owner of a shard answer a request. It returns the address of the
// owner, and whether the request was sent to it and its answer was lost.
func (p *Process) askOwner(ctx context.Context, r peer.Request) (a peer.Answer, owner netip.AddrPort, lost bool) {
	if e, ok := p.engine(r.Shard); ok {
		return p.handleLocally(ctx, e, r), p.self.Address, false
	}
	owner, ok := p.ownerAddress(r.Shard)
	if !ok || owner == p.self.Address {
		return newRefusal(result.NoOwner, "no owner of "+r.Shard.String()+" is known"), owner, false
	}
	a, err := p.forwardTo(ctx, owner, r)
	if err == nil {
		return a, owner, false
	}
	if dialer.NotSent(err) {
		return newRefusal(result.HomeUnreachable, "the owner of "+r.Shard.String()+" can't be reached"), owner, false
	}
	p.log.WithFields(logrus.Fields{
		"shard": r.Shard, "service": r.Service, "caller": r.Caller, "key": r.Key, "owner": owner, "error": err,
	}).Warn("forward_lost")
	return peer.Answer{Code: result.AnswerLost, Message: "the answer of the owner of " + r.Shard.String() + " was lost"}, owner, true
}

// hasOtherOwner reports whether a shard has a known owner whose address is not the given one.
func (p *Process) hasOtherOwner(id cell.ShardID, owner netip.AddrPort) bool {
	present, known := p.ownerAddress(id)
	return known && present != owner
}

// askNextOwner is askOwner for a request that a previous owner may have run. It gives the next
// owner time to start. A refusal of the next owner says nothing about the previous one, so it
// becomes AnswerLost, unless the request only reads.
func (p *Process) askNextOwner(ctx context.Context, r peer.Request, deadline clock.Time) (a peer.Answer, owner netip.AddrPort, lost bool) {
	startCtx, cancel := context.WithTimeout(ctx, nextOwnerTimeout)
	defer cancel()
	for {
		r.TimeLeft = deadline.Sub(p.clk.Now())
		a, owner, lost = p.askOwner(ctx, r)
		if (a.Code != result.NoOwner && a.Code != result.HomeUnreachable) || startCtx.Err() != nil {
			break
		}
		clock.Sleep(startCtx, nextOwnerRetryInterval)
	}
	if a.Code.Info().Ran != result.RanNo || r.ReadOnly() {
		return a, owner, lost
	}
	text := "the answer of a previous owner of " + r.Shard.String() + " was lost, and the present one refuses: " + a.Message
	return peer.Answer{Code: result.AnswerLost, Message: text}, owner, false
}

// forwardTo forwards a request to the process at an address, and cancels the call when that
// process no longer owns the shard and is not seen to be up.
func (p *Process) forwardTo(ctx context.Context, address netip.AddrPort, r peer.Request) (peer.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Most calls end before the timer fires, and then need no goroutine for the check.
	ownerCheck := time.AfterFunc(ownerCheckInterval, func() { p.cancelWhenOwnerChanges(ctx, cancel, address, r.Shard) })
	defer ownerCheck.Stop()
	return p.peers.Forward(ctx, address, r)
}

// cancelWhenOwnerChanges cancels a call to the owner of a shard once another process has been
// the owner for previousOwnerGrace, unless the previous owner is up: it finishes what it has sent.
func (p *Process) cancelWhenOwnerChanges(ctx context.Context, cancel context.CancelFunc, address netip.AddrPort, id cell.ShardID) {
	p.mu.Lock()
	incarnation, _ := p.memberTable.Incarnation(address)
	p.mu.Unlock()
	clock.Every(ctx, ownerCheckInterval, func() {
		if !p.hasOtherOwner(id, address) {
			return
		}
		clock.Sleep(ctx, previousOwnerGrace)
		if !p.isPeerUp(ctx, address, incarnation) {
			cancel()
		}
	})
}

// isPeerUp reports whether the process to which a connection is open is up, or has closed the
// connection: it answers, or its host refuses new connections. The latter is the case during a
// planned stop, and after the end of the process, when the host also closes the open connections.
// The incarnation of the process is empty if it is not known.
func (p *Process) isPeerUp(ctx context.Context, address netip.AddrPort, incarnation string) bool {
	ctx, cancel := context.WithTimeout(ctx, previousOwnerTimeout)
	defer cancel()
	m, err := p.peers.Heartbeat(ctx, address, p.describeSelf())
	if err != nil {
		return dialer.ConnectionRefused(err)
	}
	return incarnation == "" || m.Incarnation == incarnation
}

// newRefusal returns an answer that refuses a request and asks the caller to retry.
func newRefusal(code result.Code, message string) peer.Answer {
	return peer.Answer{Code: code, Message: message, RetryAfter: refusalRetryAfter}
}

// handleForward answers a request that a peer has forwarded.
func (p *Process) handleForward(ctx context.Context, r peer.Request) peer.Answer {
	p.forwards.Add(1)
	e, ok := p.engine(r.Shard)
	if !ok {
		return newRefusal(result.NoOwner, p.cfg.ID+" does not own "+r.Shard.String())
	}
	return p.handleLocally(ctx, e, r)
}

// handleLocally passes a request to the engine of its shard in this process.
func (p *Process) handleLocally(ctx context.Context, e *shard.Engine, r peer.Request) peer.Answer {
	switch r.Kind {
	case peer.Call:
		return newCallAnswer(e.Call(ctx, p.newCall(r)))
	case peer.BatchSubmit:
		record, err := e.SubmitBatch(ctx, shard.Submission{
			Caller: r.Caller, Key: r.Key, Workload: r.Service, Payload: string(r.Body),
		})
		return newBatchAnswer(record, err)
	case peer.BatchRead:
		record, err := e.ReadBatch(r.Caller, batch.ID(r.ID))
		return newBatchAnswer(record, err)
	case peer.Drain:
		if !e.DrainWorker(r.ID) {
			return peer.Answer{Code: result.UnknownTarget, Message: "no worker " + r.ID + " in " + r.Shard.String()}
		}
		return peer.Answer{Code: result.OK}
	case peer.Explain:
		return encodeDecisions(e.Explain(r.Service))
	}
	return peer.Answer{Code: result.Malformed, Message: "unknown kind of request"}
}

// newCall converts a request to a call of an engine. The time left becomes a deadline on this
// process's clock.
func (p *Process) newCall(r peer.Request) shard.Call {
	return shard.Call{
		Service: r.Service, Caller: r.Caller, Key: r.Key, IssuedAt: r.IssuedAt, Class: r.Class,
		Deadline: p.clk.Now().Add(r.TimeLeft), NotRepeatable: r.NotRepeatable, Delegated: r.Delegated, Body: r.Body,
	}
}

func newCallAnswer(a shard.Answer) peer.Answer {
	return peer.Answer{Code: a.Code, Message: a.Message, RetryAfter: a.RetryAfter, Body: a.Body, Endpoint: a.Endpoint}
}

func newBatchAnswer(r batch.Record, err error) peer.Answer {
	if err != nil {
		e := result.From(err)
		return peer.Answer{Code: e.Code, Message: e.Message, RetryAfter: e.RetryAfter}
	}
	return peer.Answer{Code: result.OK, ID: string(r.ID), State: string(r.State), Worker: r.Worker, Body: []byte(r.Result)}
}

// delegate runs a call in another shard because its home shard has no endpoint of the service.
func (p *Process) delegate(home cell.ShardID, c shard.Call) shard.Answer {
	target, ok := p.chooseShard(c.Service, home)
	if !ok {
		return shard.Answer{Answer: keys.Answer{Code: result.NoEndpoint, Message: "no shard runs " + c.Service}, RetryAfter: refusalRetryAfter}
	}
	a := p.forward(context.Background(), peer.Request{
		Kind: peer.Call, Shard: target, Service: c.Service, Caller: c.Caller, Key: c.Key, Class: c.Class,
		TimeLeft: c.Deadline.Sub(p.clk.Now()), NotRepeatable: c.NotRepeatable, Delegated: true, Body: c.Body,
	})
	return shard.Answer{
		Answer:     keys.Answer{Code: a.Code, Message: a.Message, Body: a.Body, Endpoint: a.Endpoint},
		RetryAfter: a.RetryAfter,
	}
}

// chooseShard returns the shard that should run a request which has no home shard, or whose home
// shard can't run it: the least loaded shard of the own hall or, under the conditions stated at
// spilloverLoad, the least loaded shard of the other halls. Shards in except are left out.
func (p *Process) chooseShard(service string, except ...cell.ShardID) (cell.ShardID, bool) {
	_, _, tree := p.settings.current()
	w, ok := tree.Workloads[service]
	if !ok {
		return cell.ShardID{}, false
	}
	own, ownLoad := p.leastLoaded(w, tree.Layout, true, except)
	if ownLoad < spilloverLoad {
		return own, true
	}
	other, otherLoad := p.leastLoaded(w, tree.Layout, false, except)
	if otherLoad+spilloverMinGain < ownLoad {
		return other, true
	}
	return own, !math.IsInf(ownLoad, 1)
}

// leastLoaded returns the least loaded of the shards that run instances of a service, either in
// the own hall or in the other halls, and its load. The load is infinite if there is no such shard.
func (p *Process) leastLoaded(w settings.Workload, layout cell.Layout, inOwnHall bool, except []cell.ShardID) (cell.ShardID, float64) {
	best, bestLoad := cell.ShardID{}, math.Inf(1)
	for _, i := range settings.DistributeInstances(w, layout) {
		if (i.Shard.Hall == p.cfg.Hall) != inOwnHall || slices.Contains(except, i.Shard) {
			continue
		}
		if load := p.shardLoad(i.Shard, w.Name); load < bestLoad {
			best, bestLoad = i.Shard, load
		}
	}
	return best, bestLoad
}

// shardLoad returns the load of a service in a shard: its running and waiting requests as a
// ratio of its slots. A shard whose load is not known counts as nearly full, so that shards with
// a known load are preferred unless they are full.
func (p *Process) shardLoad(id cell.ShardID, service string) float64 {
	const unknownLoad = 0.95
	if e, ok := p.engine(id); ok {
		l := e.Loads()[service]
		return loadRatio(l.InUse+l.Queued, l.Slots)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.memberTable.LoadOf(id, service)
	if !ok {
		return unknownLoad
	}
	return loadRatio(l.InUse+l.Queued, l.Slots)
}

func loadRatio(used, slots int) float64 {
	if slots == 0 {
		return math.MaxFloat64
	}
	return float64(used) / float64(slots)
}
