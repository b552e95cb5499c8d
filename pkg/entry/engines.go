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

const engineCheckInterval = 25 * time.Millisecond

// runEngines starts the ownership controller as soon as it exists. From then on it starts an
// engine for each shard and epoch that this process owns, and stops the engines of those that it
// owns no longer.
func (p *Process) runEngines(ctx context.Context) {
	var controllerStarted bool
	ticker := time.NewTicker(engineCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.stopEngines(nil)
			return
		case <-ticker.C:
		}
		c := p.controller.Load()
		if c == nil {
			continue
		}
		if !controllerStarted {
			p.observeStoredRecords(c)
			p.background.Go(func() { c.Run(ctx) })
			controllerStarted = true
		}
		owned := c.Owned()
		p.stopEngines(owned)
		p.startEngines(ctx, c, owned)
	}
}

// observeStoredRecords passes the records of the hall's shards to a new controller, which did
// not exist when the watch on the store reported them.
func (p *Process) observeStoredRecords(c *ownership.Controller) {
	for id, record := range p.readRecords() {
		c.Observe(id, record.record, record.revision)
	}
	if p.storeUp() {
		c.MarkStoreRead()
	}
}

type storedRecord struct {
	record   ownership.Record
	revision int64
}

// readRecords reads the records of the hall's shards from the store. Absent and unreadable
// records are left out.
func (p *Process) readRecords() map[cell.ShardID]storedRecord {
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
	defer cancel()
	records := map[cell.ShardID]storedRecord{}
	_, _, tree := p.settings.current()
	for _, id := range tree.Layout.Shards() {
		if id.Hall != p.cfg.Hall {
			continue
		}
		if record, revision, err := p.readRecord(ctx, id); err == nil && revision > 0 {
			records[id] = storedRecord{record, revision}
		}
	}
	return records
}

// stopEngines stops the engines whose shard and epoch are not in owned. A stopped engine lets
// the requests that were sent to endpoints finish.
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

// startEngines starts an engine for each shard in owned that does not have one.
func (p *Process) startEngines(ctx context.Context, c *ownership.Controller, owned map[cell.ShardID]cell.Epoch) {
	_, _, tree := p.settings.current()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, epoch := range owned {
		if _, ok := p.engines[id]; ok {
			continue
		}
		engineCtx, stop := context.WithCancel(ctx)
		engine := shard.New(engineCtx, p.engineConfig(id, epoch), p.engineDeps(c, id))
		p.engines[id] = &runningEngine{engine: engine, epoch: epoch, stop: stop}
		engine.SetTree(tree)
		if p.hosts != nil {
			engine.SetHosts(p.hosts)
		}
		p.background.Go(engine.Run)
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
		MaxTransitTime: maxTransitTime,
		// Each shard gets an equal share of the cell's write rate.
		JournalInterval: time.Duration(float64(shards) / p.cfg.Limits.CellWritesPerSecond * float64(time.Second)),
		Keys:            keyConfig,
	}
}

func (p *Process) engineDeps(c *ownership.Controller, id cell.ShardID) shard.Deps {
	return shard.Deps{
		Clock: p.clk, Workers: p.workers, Endpoints: p.endpoints,
		Authority: func() (cell.Epoch, clock.Time, bool) { return c.Authority(id) },
		LoadBatches: func(ctx context.Context) ([]batch.Segment, error) {
			return batch.Load(ctx, p.store, id)
		},
		StoreAvailable: p.storeUp,
		PutSegment: func(ctx context.Context, key, value string) (int64, error) {
			return p.store.Swap(ctx, store.Item{Key: key, Value: value}, 0)
		},
		RemoveSegment: p.store.Delete,
		Delegate:      p.delegate,
		Log:           p.log.WithField("shard", id),
	}
}

func (p *Process) swapRecord(ctx context.Context, id cell.ShardID, record string, expectedRevision int64) (int64, error) {
	return p.store.Swap(ctx, store.Item{Key: ownership.RecordKey(id), Value: record}, expectedRevision)
}

// readRecord reads the ownership record of a shard; the revision is 0 if there is none.
func (p *Process) readRecord(ctx context.Context, id cell.ShardID) (ownership.Record, int64, error) {
	item, err := p.store.Read(ctx, ownership.RecordKey(id))
	if errors.Is(err, store.ErrAbsent) {
		return ownership.Record{}, 0, nil
	}
	if err != nil {
		return ownership.Record{}, 0, err
	}
	record, err := ownership.ParseRecord(item.Value)
	return record, item.Revision, err
}

// engine returns the engine of a shard if this process runs one.
func (p *Process) engine(id cell.ShardID) (*shard.Engine, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.engines[id]
	if !ok {
		return nil, false
	}
	return e.engine, true
}
