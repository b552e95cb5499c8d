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

// upkeepEvery is the time between two looks at the machines while there is a wave.
const upkeepEvery = 500 * time.Millisecond

// PutWave takes in a wave of upkeep that the operator asks for.
func (o *Owner) PutWave(w upkeep.Wave) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.upkeep.PutWave(w, o.deps.Clock.Now())
	o.deps.Log.WithFields(logrus.Fields{"wave": w.Number, "machines": len(w.Machines), "at_once": w.AtOnce}).Info("wave_known")
}

// runUpkeep is the duty that carries out waves of upkeep.
func (o *Owner) runUpkeep(ctx context.Context) {
	if o.deps.Machines == nil {
		return
	}
	// Orders of two owners must not come in turns.
	clock.Sleep(ctx, o.deps.Bounds.MachineLease)
	known := map[int64]bool{}
	clock.Every(ctx, upkeepEvery, func() {
		o.mu.Lock()
		active := o.upkeep.Active()
		o.mu.Unlock()
		if active {
			o.upkeepOnce(ctx, known)
		}
	})
}

func (o *Owner) upkeepOnce(ctx context.Context, known map[int64]bool) {
	machines, err := o.deps.Machines.List(ctx)
	if err != nil {
		o.deps.Log.WithField("error", err).Warn("machines_not_listed")
		return
	}
	o.mu.Lock()
	o.upkeep.SetMachines(machines)
	plan := o.upkeep.Plan(o.deps.Clock.Now())
	closed := make(map[string]bool, len(plan.Close))
	for _, name := range plan.Close {
		closed[name] = true
	}
	o.pool.SetCordoned(closed)
	o.mu.Unlock()
	for _, order := range plan.Orders {
		o.sendUpkeep(ctx, order)
	}
	for _, s := range plan.Shows {
		o.showWave(ctx, s, known)
	}
}

// sendUpkeep sends a machine into upkeep once nothing runs there that has to be spared.
func (o *Owner) sendUpkeep(ctx context.Context, order upkeep.Order) {
	o.mu.Lock()
	ready := o.pool.VacateWorker(order.Machine.Worker, order.Force)
	authority := o.authority(o.deps.Clock.Now())
	o.mu.Unlock()
	o.wake()
	if !ready || !authority {
		return
	}
	err := o.deps.Machines.Upkeep(ctx, o.deps.Name, o.claim.Revision, order.Machine.ID, order.Wave)
	o.deps.Log.WithFields(logrus.Fields{"machine": order.Machine.ID, "wave": order.Wave, "error": err}).Info("upkeep_ordered")
	if errors.Is(err, platform.ErrBusy) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.upkeep.Ordered(order, err == nil, o.deps.Clock.Now())
}

// showWave writes a wave's state, unless a former owner has shown it as completed.
func (o *Owner) showWave(ctx context.Context, s upkeep.Show, known map[int64]bool) {
	if !known[s.Wave] {
		item, err := o.deps.Store.Read(ctx, platform.WaveStatusKey(s.Wave))
		if err != nil && !errors.Is(err, platform.ErrAbsent) {
			return
		}
		known[s.Wave] = true
		if platform.ParseWaveStatus(item.Value) == upkeep.Completed {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.upkeep.Finish(s.Wave)
			return
		}
	}
	_, _, err := o.deps.Store.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: jobstore.HolderKey, Revision: o.claim.Revision}},
		Put:        []platform.Put{{Key: platform.WaveStatusKey(s.Wave), Value: platform.WaveStatus(s.State)}},
	})
	if err != nil {
		return
	}
	o.deps.Log.WithFields(logrus.Fields{"wave": s.Wave, "state": s.State}).Info("wave_shown")
	o.mu.Lock()
	defer o.mu.Unlock()
	o.upkeep.Shown(s)
}
