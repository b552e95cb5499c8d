package entry

import (
	"context"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/entry/entryapi"
	"foldarch.dev/foldarch/pkg/peer"
	"foldarch.dev/foldarch/pkg/result"
)

// Drain drains a worker, or begins the planned stop of this entry host.
func (h *handler) Drain(ctx context.Context, req *entryapi.DrainTarget) (*entryapi.DrainTarget, error) {
	p := h.p
	if req.Kind == entryapi.DrainTargetKindEntry {
		if req.ID != p.cfg.ID {
			return nil, result.New(result.UnknownTarget, "this is %s; send the command to %s itself", p.cfg.ID, req.ID)
		}
		p.requestStop()
		return req, nil
	}
	id, err := p.shardOfWorker(req.ID)
	if err != nil {
		return nil, err
	}
	a := p.forward(ctx, peer.Request{Kind: peer.Drain, Shard: id, ID: req.ID, TimeLeft: storeCallTimeout})
	if a.Code != result.OK {
		return nil, answerError(a)
	}
	return req, nil
}

// shardOfWorker returns the shard that a worker of the host list belongs to.
func (p *Process) shardOfWorker(worker string) (cell.ShardID, error) {
	_, _, tree := p.settings.current()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, host := range p.hosts {
		if host.Worker && host.ID == worker && tree != nil {
			if id, ok := tree.Layout.ShardOf(host.Hall, host.ID); ok {
				return id, nil
			}
		}
	}
	return cell.ShardID{}, result.New(result.UnknownTarget, "the host list has no worker %s", worker)
}
