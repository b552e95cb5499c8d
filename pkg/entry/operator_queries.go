package entry

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/entry/entryapi"
	"foldarch.dev/foldarch/pkg/members"
	"foldarch.dev/foldarch/pkg/peer"
	"foldarch.dev/foldarch/pkg/result"
	"foldarch.dev/foldarch/pkg/shard"
)

// ReadCellStatus returns the state of this process, of the shards of its hall and of the other
// processes in its table of members.
func (h *handler) ReadCellStatus(context.Context) (*entryapi.ProcessStatus, error) {
	p := h.p
	revision, _, _ := p.settings.current()
	s := &entryapi.ProcessStatus{
		ID: p.cfg.ID, Hall: string(p.cfg.Hall), Revision: revision, Draining: p.draining.Load(),
		Store: entryapi.ProcessStatusStoreDown, Shards: p.ShardStatuses(), Peers: p.peerStatuses(),
	}
	if p.storeUp() {
		s.Store = entryapi.ProcessStatusStoreUp
	}
	return s, nil
}

// ShardStatuses returns the states of the shards of this process's hall, sorted by shard. The
// fields that come from a shard's engine are set for the shards that this process owns.
func (p *Process) ShardStatuses() []entryapi.ShardStatus {
	list := []entryapi.ShardStatus{}
	c := p.controller.Load()
	if c == nil {
		return list
	}
	records := c.Records()
	ids := slices.SortedFunc(maps.Keys(records), func(a, b cell.ShardID) int {
		return strings.Compare(a.String(), b.String())
	})
	for _, id := range ids {
		record := records[id]
		s := entryapi.ShardStatus{
			Shard: id.String(), Owner: record.Owner.ID, Successor: record.Successor.ID, Epoch: int64(record.Epoch),
		}
		if e, ok := p.engine(id); ok {
			setEngineStatus(&s, e.Status())
		}
		list = append(list, s)
	}
	return list
}

func setEngineStatus(s *entryapi.ShardStatus, engine shard.Status) {
	s.Authority = engine.Authority
	s.Workers, s.Tasks, s.Endpoints, s.Queued = engine.Usage.Workers, engine.Usage.Placed, engine.Endpoints, engine.Queued
	s.Waiting = entryapi.NewOptInt(engine.Usage.Waiting)
	if engine.Usage.Total.CPUMillis > 0 {
		s.CPUUsedPct = entryapi.NewOptInt(int(100 * engine.Usage.Used.CPUMillis / engine.Usage.Total.CPUMillis))
	}
}

func (p *Process) peerStatuses() []entryapi.PeerStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []entryapi.PeerStatus{}
	for _, m := range p.memberTable.All() {
		list = append(list, p.newPeerStatus(m))
	}
	return list
}

func (p *Process) newPeerStatus(m members.Member) entryapi.PeerStatus {
	return entryapi.PeerStatus{
		ID: m.ID, Hall: string(m.Hall), Address: m.CallersAddress.String(), Revision: m.Revision,
		AgeMs: p.clk.Now().Sub(m.LastHeard).Milliseconds(),
	}
}

// ExplainWorkload returns each rule of a workload with the level of the settings that it comes
// from, and for each task its place or the reason why it waits.
func (h *handler) ExplainWorkload(ctx context.Context, params entryapi.ExplainWorkloadParams) (*entryapi.Explanation, error) {
	p := h.p
	revision, _, tree := p.settings.current()
	if tree == nil {
		return nil, result.New(result.NotReady, "%s", result.NotReady.Info().Text).WithRetryAfter(refusalRetryAfter)
	}
	w, ok := tree.Workloads[params.Workload]
	if !ok {
		return nil, result.New(result.UnknownService, "the settings have no workload %q", params.Workload)
	}
	e := &entryapi.Explanation{Workload: w.Name, Revision: revision, Tasks: []entryapi.ExplainTask{}}
	for _, kv := range w.Values() {
		level, set := w.SourceFiles[kv.Key]
		if !set {
			level = "default"
			if !strings.HasPrefix(kv.Key, "rules.") {
				level = w.File
			}
		}
		e.Rules = append(e.Rules, entryapi.ExplainRule{Key: kv.Key, Value: kv.Value, Level: level})
	}
	for _, id := range tree.Layout.Shards() {
		e.Tasks = append(e.Tasks, p.explainShard(ctx, id, w.Name, tree.Layout, w.Place.AllowsHall)...)
	}
	return e, nil
}

// explainShard asks the owner of a shard where the tasks of a workload are or why they wait. If
// the place rule excludes the shard's hall, or if the owner can't answer, the result is a single
// entry that says so.
func (p *Process) explainShard(ctx context.Context, id cell.ShardID, workload string, layout cell.Layout,
	allows func(cell.HallLayout) (bool, string)) []entryapi.ExplainTask {
	hall, _ := layout.Hall(id.Hall)
	if ok, reason := allows(hall); !ok {
		return []entryapi.ExplainTask{{Task: "-", Shard: id.String(), Decision: "hall turned down: " + reason}}
	}
	a := p.forward(ctx, peer.Request{Kind: peer.Explain, Shard: id, Service: workload, TimeLeft: storeCallTimeout})
	if a.Code != result.OK {
		return []entryapi.ExplainTask{{Task: "-", Shard: id.String(), Decision: a.Code.String() + ": " + a.Message}}
	}
	var decisions []shard.TaskDecision
	if err := json.Unmarshal(a.Body, &decisions); err != nil {
		return nil
	}
	list := make([]entryapi.ExplainTask, 0, len(decisions))
	for _, d := range decisions {
		list = append(list, entryapi.ExplainTask{Task: d.Task, Shard: id.String(), Decision: d.Decision})
	}
	return list
}

// encodeDecisions returns the answer to an Explain request, which explainShard decodes.
func encodeDecisions(decisions []shard.TaskDecision) peer.Answer {
	text, err := json.Marshal(decisions)
	if err != nil {
		return peer.Answer{Code: result.Internal, Message: err.Error()}
	}
	return peer.Answer{Code: result.OK, Body: text}
}
