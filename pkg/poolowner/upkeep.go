package poolowner

import (
	"context"
	"maps"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/pkg/upkeep"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// upkeepInterval is the time between two checks of the machines while there is a wave.
const upkeepInterval = 500 * time.Millisecond

// maxMachineListAge is how old a list of machines may be when an order is sent. A machine may have started
// again since, with a worker that has not been vacated.
const maxMachineListAge = time.Second

// PutWave adds an upkeep wave that the operator has requested, or replaces an earlier request of its number.
func (o *Owner) PutWave(w upkeep.Wave) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newWaves[w.Number] = w
	o.deps.Log.WithFields(logrus.Fields{
		"wave": w.Number, "revision": w.Revision, "machines": len(w.Machines), "at_once": w.MaxUnavailable,
	}).Info("wave_known")
}

// RemoveWave removes an upkeep wave that the operator has withdrawn.
func (o *Owner) RemoveWave(number int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.upkeep.RemoveWave(number)
	delete(o.newWaves, number)
	o.deps.Log.WithField("wave", number).Info("wave_withdrawn")
}

// runUpkeep carries out the upkeep waves.
func (o *Owner) runUpkeep(ctx context.Context) {
	if o.deps.Machines == nil {
		return
	}
	// Orders of two owners for one machine must be at least MachineLease apart.
	clock.Sleep(ctx, o.deps.Bounds.MachineLease)
	clock.Every(ctx, upkeepInterval, func() { o.advanceUpkeep(ctx) })
}

// advanceUpkeep lists the machines, orders the next upkeeps and writes the states of the waves. It does
// nothing while there is no wave to carry out.
func (o *Owner) advanceUpkeep(ctx context.Context) {
	o.admitWaves(ctx)
	if !o.hasActiveWave() {
		return
	}
	machines, err := o.deps.Machines.List(ctx)
	if err != nil {
		o.deps.Log.WithField("error", err).Warn("machines_not_listed")
		return
	}
	listedAt := o.deps.Clock.Now()
	o.mu.Lock()
	o.upkeep.SetMachines(machines)
	plan := o.upkeep.Plan(o.deps.Clock.Now())
	o.cordon(plan.CloseWorkers)
	o.mu.Unlock()
	for _, order := range plan.Orders {
		if o.deps.Clock.Now().Sub(listedAt) > maxMachineListAge {
			break // the next plan repeats the remaining orders
		}
		o.startUpkeep(ctx, order)
	}
	for _, s := range plan.StateUpdates {
		o.writeWaveState(ctx, s)
	}
}

// hasActiveWave reports whether there is a wave to carry out. If there is none, it opens all workers.
func (o *Owner) hasActiveWave() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	active := o.upkeep.HasActiveWave()
	if !active {
		o.cordon(nil)
	}
	return active
}

// cordon closes exactly the named workers for new tasks. The caller holds the lock.
func (o *Owner) cordon(workers []string) {
	if len(workers) == 0 && !o.hasCordons {
		return
	}
	names := make(map[string]bool, len(workers))
	for _, name := range workers {
		names[name] = true
	}
	o.pool.SetCordoned(names)
	o.hasCordons = len(names) > 0
}

// admitWaves reads the stored states of new requests and passes the requests to the planner.
func (o *Owner) admitWaves(ctx context.Context) {
	o.mu.Lock()
	waves := maps.Clone(o.newWaves)
	o.mu.Unlock()
	for _, number := range slices.Sorted(maps.Keys(waves)) {
		o.admitWave(ctx, waves[number])
	}
}

// admitWave passes a request to the planner, as completed if a previous owner has completed it since it was
// made. If the stored state can't be read, the request waits.
func (o *Owner) admitWave(ctx context.Context, w upkeep.Wave) {
	item, err := o.deps.Store.Read(ctx, platform.WaveStatusKey(w.Number))
	if err != nil && !errors.Is(err, platform.ErrAbsent) {
		o.deps.Log.WithFields(logrus.Fields{"wave": w.Number, "error": err}).Warn("wave_state_unread")
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if latest, ok := o.newWaves[w.Number]; !ok || latest.Revision != w.Revision {
		return // withdrawn or written again meanwhile
	}
	delete(o.newWaves, w.Number)
	o.upkeep.PutWave(w)
	if platform.ParseWaveStatus(item.Value) == upkeep.WaveCompleted && item.Revision > w.Revision {
		o.upkeep.RecordState(upkeep.StateUpdate{Wave: w.Number, Revision: w.Revision, State: upkeep.WaveCompleted})
	}
}

// startUpkeep starts the upkeep of a machine once its worker has been vacated.
func (o *Owner) startUpkeep(ctx context.Context, order upkeep.Order) {
	o.mu.Lock()
	ready := o.pool.VacateWorker(order.Machine.Worker, order.Force)
	authority := o.hasAuthority(o.deps.Clock.Now())
	o.mu.Unlock()
	o.requestPlan()
	if !ready || !authority {
		return
	}
	err := o.deps.Machines.StartUpkeep(ctx, o.deps.Name, o.claim.Revision, order.Machine.ID, order.Wave)
	o.deps.Log.WithFields(logrus.Fields{"machine": order.Machine.ID, "wave": order.Wave, "error": err}).Info("upkeep_ordered")
	if errors.Is(err, platform.ErrBusy) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if errors.Is(err, platform.ErrNotInWave) {
		o.upkeep.RecordNotInWave(order, o.deps.Clock.Now())
		return
	}
	o.upkeep.RecordOrder(order, err == nil, o.deps.Clock.Now())
}

// writeWaveState writes the state of a wave. The write has no effect if the operator has written the request
// again, or if another host has become the owner.
func (o *Owner) writeWaveState(ctx context.Context, s upkeep.StateUpdate) {
	_, _, err := o.deps.Store.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{
			{Key: jobstore.OwnerRecordKey, Revision: o.claim.Revision},
			{Key: platform.WaveKey(s.Wave), Revision: s.Revision},
		},
		Put: []platform.Put{{Key: platform.WaveStatusKey(s.Wave), Value: platform.WaveStatus(s.State)}},
	})
	if err != nil {
		o.deps.Log.WithFields(logrus.Fields{"wave": s.Wave, "state": s.State, "error": err}).Warn("wave_not_shown")
		return
	}
	o.deps.Log.WithFields(logrus.Fields{"wave": s.Wave, "state": s.State}).Info("wave_shown")
	o.mu.Lock()
	defer o.mu.Unlock()
	o.upkeep.RecordState(s)
}
