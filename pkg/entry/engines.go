package entry

import (
	"context"
	"time"

	"foldarch.dev/foldarch/pkg/batch"
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/keys"
	"foldarch.dev/foldarch/pkg/ownership"
	"foldarch.dev/foldarch/pkg/shard"
	"foldarch.dev/foldarch/pkg/store"
	"github.com/cockroachdb/errors"
)

const enginesEvery = 25 * time.Millisecond

// runEngines is the duty that drives the keeper and has an engine at work for each epoch
// in which this process owns a shard.
func (p *Process) runEngines(ctx context.Context) {
	var keeperStarted bool
	ticker := time.NewTicker(enginesEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.stopEngines(nil)
			return
		case <-ticker.C:
		}
		k := p.keeper.Load()
		if k == nil {
			continue
		}
		if !keeperStarted {
			p.giveRecords(k)
			p.duties.Go(func() { k.Run(ctx) })
			keeperStarted = true
		}
		owned := k.Owned()
		p.stopEngines(owned)
		p.startEngines(ctx, k, owned)
	}
}

// giveRecords tells a new keeper the records that were seen before it was there.
func (p *Process) giveRecords(k *ownership.Keeper) {
	for id, record := range p.readRecords() {
		k.Observe(id, record.record, record.revision)
	}
	if p.storeUp() {
		k.StoreSeen()
	}
}

type storedRecord struct {
	record   ownership.Record
	revision int64
}

func (p *Process) readRecords() map[cell.ShardID]storedRecord {
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
	defer cancel()
	found := map[cell.ShardID]storedRecord{}
	_, _, tree := p.settings.current()
	for _, id := range tree.Layout.Shards() {
		if id.Hall != p.cfg.Hall {
			continue
		}
		if record, revision, err := p.readRecord(ctx, id); err == nil && revision > 0 {
			found[id] = storedRecord{record, revision}
		}
	}
	return found
}

// stopEngines stops those that owned does not name with their epoch. A stopped engine
// finishes what is in flight.
func (p *Process) stopEngines(owned map[cell.ShardID]cell.Epoch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, e := range p.engines {
		if epoch, ok := owned[id]; !ok || epoch != e.epoch {
			e.stop()
			delete(p.engines, id)
		}
	}
}

func (p *Process) startEngines(ctx context.Context, k *ownership.Keeper, owned map[cell.ShardID]cell.Epoch) {
	_, _, tree := p.settings.current()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, epoch := range owned {
		if _, ok := p.engines[id]; ok {
			continue
		}
		engineCtx, stop := context.WithCancel(ctx)
		engine := shard.New(engineCtx, p.engineConfig(id, epoch), p.engineDeps(k, id))
		p.engines[id] = &runningEngine{engine: engine, epoch: epoch, stop: stop}
		engine.SetTree(tree)
		if p.hosts != nil {
			engine.SetHosts(p.hosts)
		}
		p.duties.Go(engine.Run)
	}
}

func (p *Process) engineConfig(id cell.ShardID, epoch cell.Epoch) shard.Config {
	_, _, tree := p.settings.current()
	shards := len(tree.Layout.Shards())
	keyConfig := keys.DefaultConfig
	keyConfig.Window = time.Duration(p.cfg.Times.KeyWindow)
	return shard.Config{
		Shard: id, Epoch: epoch,
		TaskLease:      time.Duration(p.cfg.Times.TaskLease),
		ReportEvery:    time.Duration(p.cfg.Times.ReportEvery),
		DispatchFlight: dispatchFlight,
		// All shards of the cell share the store's writes evenly.
		JournalInterval: time.Duration(float64(shards) / p.cfg.Limits.CellWritesPerSecond * float64(time.Second)),
		Keys:            keyConfig,
	}
}

func (p *Process) engineDeps(k *ownership.Keeper, id cell.ShardID) shard.Deps {
	return shard.Deps{
		Clock: p.clk, Workers: p.workers, Endpoints: p.endpoints,
		Authority: func() (cell.Epoch, clock.Time, bool) { return k.Authority(id) },
		LoadBatches: func(ctx context.Context) ([]batch.Segment, error) {
			return batch.Load(ctx, p.store, id)
		},
		StoreUp: p.storeUp,
		PutSegment: func(ctx context.Context, key, value string) (int64, error) {
			return p.store.Swap(ctx, store.Item{Key: key, Value: value}, 0)
		},
		RemoveSegment: p.store.Delete,
		Delegate:      p.delegate,
		Log:           p.log.WithField("shard", id),
	}
}

func (p *Process) swapRecord(ctx context.Context, id cell.ShardID, record string, expect int64) (int64, error) {
	return p.store.Swap(ctx, store.Item{Key: ownership.KeyOf(id), Value: record}, expect)
}

func (p *Process) readRecord(ctx context.Context, id cell.ShardID) (ownership.Record, int64, error) {
	item, err := p.store.Read(ctx, ownership.KeyOf(id))
	if errors.Is(err, store.ErrAbsent) {
		return ownership.Record{}, 0, nil
	}
	if err != nil {
		return ownership.Record{}, 0, err
	}
	record, err := ownership.ParseRecord(item.Value)
	return record, item.Revision, err
}

// engine returns the engine of a shard if this process owns it.
func (p *Process) engine(id cell.ShardID) (*shard.Engine, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.engines[id]
	if !ok {
		return nil, false
	}
	return e.engine, true
}
