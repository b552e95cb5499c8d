package entry

import (
	"context"
	"strings"

	"foldarch.dev/foldarch/pkg/batch"
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/entry/entryapi"
	"foldarch.dev/foldarch/pkg/peer"
	"foldarch.dev/foldarch/pkg/result"
	"foldarch.dev/foldarch/pkg/settings"
	"github.com/cespare/xxhash/v2"
)

// SubmitBatch passes a batch request to the owner of its home shard, which stores and runs it.
func (h *handler) SubmitBatch(ctx context.Context, req *entryapi.BatchRequest, params entryapi.SubmitBatchParams) (*entryapi.BatchStatus, error) {
	w, layout, err := h.p.findWorkload(req.Workload, settings.KindBatch)
	if err != nil {
		return nil, err
	}
	home, ok := batchHomeShard(w, layout, params.FoldarchCaller, params.IdempotencyKey)
	if !ok {
		return nil, result.New(result.NoEndpoint, "no hall satisfies the place rule of %s", w.Name)
	}
	a := h.p.forward(ctx, peer.Request{
		Kind: peer.BatchSubmit, Shard: home, Service: w.Name, Caller: params.FoldarchCaller,
		Key: params.IdempotencyKey, TimeLeft: w.TimeLimit, Body: []byte(req.Payload),
	})
	h.p.countAnswer("batches", a.Code)
	return newBatchStatus(a)
}

// batchHomeShard returns the shard that stores and runs a batch request. A key of the form
// "hall/rest" selects a shard of that hall, if the workload's place rule allows it. Other keys are
// distributed over all shards of the allowed halls.
func batchHomeShard(w settings.Workload, layout cell.Layout, caller, key string) (cell.ShardID, bool) {
	var allowed []cell.ShardID
	prefix, _, _ := strings.Cut(key, "/")
	for _, id := range layout.Shards() {
		h, _ := layout.Hall(id.Hall)
		if ok, _ := w.Place.AllowsHall(h); !ok {
			continue
		}
		if string(id.Hall) == prefix {
			return layout.ShardOf(id.Hall, caller+"/"+key)
		}
		allowed = append(allowed, id)
	}
	if len(allowed) == 0 {
		return cell.ShardID{}, false
	}
	return allowed[xxhash.Sum64String(caller+"/"+key)%uint64(len(allowed))], true
}

// ReadBatch returns the state of a batch request and, once it has one, its result.
func (h *handler) ReadBatch(ctx context.Context, params entryapi.ReadBatchParams) (*entryapi.BatchStatus, error) {
	home, err := parseBatchShard(params.ID)
	if err != nil {
		return nil, err
	}
	return newBatchStatus(h.p.forward(ctx, peer.Request{
		Kind: peer.BatchRead, Shard: home, Caller: params.FoldarchCaller, ID: params.ID, TimeLeft: storeCallTimeout,
	}))
}

// newBatchStatus converts the owner's answer to a batch request for the API.
func newBatchStatus(a peer.Answer) (*entryapi.BatchStatus, error) {
	if a.Code != result.OK {
		return nil, answerError(a)
	}
	s := &entryapi.BatchStatus{ID: a.ID, State: entryapi.BatchStatusState(a.State)}
	if a.Worker != "" {
		s.Worker = entryapi.NewOptString(a.Worker)
	}
	if len(a.Body) > 0 {
		s.Result = entryapi.NewOptString(string(a.Body))
	}
	return s, nil
}

// parseBatchShard returns the home shard of a batch request, which its id contains.
func parseBatchShard(id string) (cell.ShardID, error) {
	home, err := batch.ID(id).Shard()
	if err != nil {
		return cell.ShardID{}, result.New(result.UnknownBatch, "%v", err)
	}
	return home, nil
}
