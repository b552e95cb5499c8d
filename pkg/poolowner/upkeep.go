package poolowner

import (
	"context"
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

// PutWave adds an upkeep wave that the operator has requested, or replaces an earlier request of its number.
func (o *Owner) PutWave(w upkeep.Wave) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.upkeep.PutWave(w)
	o.deps.Log.WithFields(logrus.Fields{
		"wave": w.Number, "revision": w.Revision, "machines": len(w.Machines), "at_once": w.MaxUnavailable,
	}).Info("wave_known")
}

// RemoveWave removes an upkeep wave that the operator has withdrawn.
func (o *Owner) RemoveWave(number int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.upkeep.RemoveWave(number)
	o.deps.Log.WithField("wave", number).Info("wave_withdrawn")
}

// runUpkeep carries out the upkeep waves.
func (o *Owner) runUpkeep(ctx context.Context) {
	if o.deps.Machines == nil {
		return
	}
	// Orders of two owners for one machine must be at least MachineLease apart.
	clock.Sleep(ctx, o.deps.Bounds.MachineLease)
	checked := map[int64]bool{}
	clock.Every(ctx, upkeepInterval, func() {
		o.mu.Lock()
		active := o.upkeep.HasActiveWave()
		o.mu.Unlock()
		if active {
			o.advanceUpkeep(ctx, checked)
		}
	})
}

// advanceUpkeep lists the machines, orders the next upkeeps and writes the states of the waves. checked
// holds the waves whose stored state has been read (writeWaveState).
func (o *Owner) advanceUpkeep(ctx context.Context, checked map[int64]bool) {
	machines, err := o.deps.Machines.List(ctx)
	if err != nil {
		o.deps.Log.WithField("error", err).Warn("machines_not_listed")
		return
	}
	o.mu.Lock()
	o.upkeep.SetMachines(machines)
	plan := o.upkeep.Plan(o.deps.Clock.Now())
	cordoned := make(map[string]bool, len(plan.CloseWorkers))
	for _, name := range plan.CloseWorkers {
		cordoned[name] = true
	}
	o.pool.SetCordoned(cordoned)
	o.mu.Unlock()
	for _, order := range plan.Orders {
		o.startUpkeep(ctx, order)
	}
	for _, s := range plan.StateUpdates {
		o.writeWaveState(ctx, s, checked)
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

// writeWaveState writes the state of a wave, unless a previous owner has written it as completed since the
// wave was requested. The write has no effect if the operator has written the request again. Before the first
// write to a wave it reads the stored state; checked holds the waves for which it has.
func (o *Owner) writeWaveState(ctx context.Context, s upkeep.StateUpdate, checked map[int64]bool) {
	if !checked[s.Wave] {
		item, err := o.deps.Store.Read(ctx, platform.WaveStatusKey(s.Wave))
		if err != nil && !errors.Is(err, platform.ErrAbsent) {
			return
		}
		checked[s.Wave] = true
		if platform.ParseWaveStatus(item.Value) == upkeep.WaveCompleted && item.Revision > s.Revision {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.upkeep.RecordState(upkeep.StateUpdate{Wave: s.Wave, Revision: s.Revision, State: upkeep.WaveCompleted})
			return
		}
	}
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
