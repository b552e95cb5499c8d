package poolowner

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

const (
	// rosterEvery is the time between two looks for workers that came or went.
	rosterEvery = 20 * time.Millisecond
	// rosterBatch is how many records one transaction writes: each takes a condition and a put, and the owner's record one more condition.
	rosterBatch = (platform.MaxTxnEntries - 1) / 2
	// rosterWrites is how many of these transactions are on their way at once.
	rosterWrites = 4
)

// rosterRecord is what the store tells a later owner of a worker.
type rosterRecord struct {
	revision int64 // 0 when there is none
	workers  []dispatch.WorkerInfo
}

// alikeForLater says that a record tells a later owner the same of two lives.
func alikeForLater(a, b dispatch.WorkerInfo) bool {
	return a.ID == b.ID && a.Crashed == b.Crashed && a.Retired == b.Retired
}

// listRoster reads the workers that former owners have used, since the entry of one may be gone while it runs on.
func (o *Owner) listRoster(ctx context.Context) ([]platform.Item, error) {
	items, _, err := o.deps.Store.List(ctx, jobstore.RosterPrefix)
	return items, errors.Wrap(err, "roster")
}

// takeRoster takes in what listRoster has read. The workers' entries are known by then.
func (o *Owner) takeRoster(items []platform.Item) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := map[dispatch.WorkerID]bool{}
	for _, w := range o.pool.Workers() {
		known[w.ID] = true
	}
	for _, i := range items {
		name := jobstore.ParseRosterKey(i.Key)
		r := rosterRecord{revision: i.Revision}
		if err := json.Unmarshal(i.Value, &r.workers); err != nil {
			o.pool.RecordUnreadableWorker()
			o.deps.Log.WithFields(logrus.Fields{"worker": name, "error": err}).Error("roster_unreadable")
		}
		o.roster[name] = r
		for _, w := range r.workers {
			o.takeRostered(w, known)
		}
	}
}

// takeRostered takes in a life that the roster names. The caller holds o.mu.
func (o *Owner) takeRostered(w dispatch.WorkerInfo, known map[dispatch.WorkerID]bool) {
	if w.Crashed {
		o.pool.RecordUncountedCrash(w)
		return
	}
	if !known[w.ID] {
		o.pool.UpsertWorker(w, false, o.deps.Clock.Now())
	}
	o.pool.MarkInRoster([]dispatch.WorkerID{w.ID})
	o.pool.LoadRetired(w)
}

// rosterChange is a record that differs from what the store has.
type rosterChange struct {
	name    string
	workers []dispatch.WorkerInfo
}

// writeRoster writes the records of the workers that came or went since the last call.
func (o *Owner) writeRoster(ctx context.Context) {
	changes := o.rosterChanges()
	if len(changes) == 0 {
		return
	}
	var group errgroup.Group
	group.SetLimit(rosterWrites)
	for _, w := range o.rosterBatches(changes) {
		group.Go(func() error {
			o.takeWritten(w.changes, o.putRoster(ctx, w))
			o.wake() // these workers may be used now
			return nil
		})
	}
	_ = group.Wait() // no write returns an error
}

// rosterWrite is a transaction of changes to records, with what the store has of them.
type rosterWrite struct {
	changes []rosterChange
	before  []rosterRecord
}

// rosterBatches spreads changes over transactions.
func (o *Owner) rosterBatches(changes []rosterChange) []rosterWrite {
	var out []rosterWrite
	for batch := range slices.Chunk(changes, rosterBatch) {
		w := rosterWrite{changes: batch}
		for _, c := range batch {
			w.before = append(w.before, o.roster[c.name])
		}
		out = append(out, w)
	}
	return out
}

// rosterChanges lists the records that differ from what the store has. Lives on a record that is as it should be may be used at once.
func (o *Owner) rosterChanges() []rosterChange {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []rosterChange
	for _, name := range o.pool.TakeRosterChanges() {
		workers := o.pool.RosterEntries(name)
		if slices.EqualFunc(workers, o.roster[name].workers, alikeForLater) {
			o.pool.MarkInRoster(idsOf(workers))
			continue
		}
		out = append(out, rosterChange{name, workers})
	}
	return out
}

func idsOf(workers []dispatch.WorkerInfo) []dispatch.WorkerID {
	ids := make([]dispatch.WorkerID, 0, len(workers))
	for _, w := range workers {
		ids = append(ids, w.ID)
	}
	return ids
}

// takeWritten takes in the records that are written, so that their workers may be used; none when this owner ends.
func (o *Owner) takeWritten(changes []rosterChange, records []rosterRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for n, r := range records {
		if r.revision == 0 {
			delete(o.roster, changes[n].name)
			continue
		}
		o.roster[changes[n].name] = r
		o.pool.MarkInRoster(idsOf(r.workers))
	}
}

// putRoster writes records, whatever it takes, and returns them; none when this owner ends. A write without an answer may be carried out after
// later ones. So each record is on condition of what it replaces: otherwise lives that came since would be off it.
func (o *Owner) putRoster(ctx context.Context, w rosterWrite) []rosterRecord {
	patience := time.Duration(0)
	for ctx.Err() == nil {
		t, err := o.rosterTxn(w)
		if err != nil {
			o.deps.Log.WithField("error", err).Error("roster_not_written")
			return nil
		}
		t.Patience = patience
		revision, found, err := o.deps.Store.Commit(ctx, t)
		switch {
		case err == nil:
			o.rosterFailures.succeeded()
			return writtenAt(w.changes, revision)
		case errors.Is(err, platform.ErrConflict) && o.rosterReplaced(w, found):
			continue // by a try of this owner that got no answer
		case errors.Is(err, platform.ErrConflict):
			o.depose("roster")
			return nil
		}
		o.rosterFailures.failed(err)
		patience = morePatience(patience, err)
		clock.Sleep(ctx, storeRetry)
	}
	return nil
}

// rosterTxn is the transaction that makes changes to records.
func (o *Owner) rosterTxn(w rosterWrite) (platform.Txn, error) {
	t := platform.Txn{Conditions: []platform.Condition{{Key: jobstore.HolderKey, Revision: o.claim.Revision}}}
	for n, c := range w.changes {
		key := jobstore.RosterKey(c.name)
		t.Conditions = append(t.Conditions, platform.Condition{Key: key, Revision: w.before[n].revision})
		if len(c.workers) == 0 {
			if w.before[n].revision != 0 {
				t.Remove = append(t.Remove, key)
			}
			continue
		}
		text, err := json.Marshal(c.workers)
		if err != nil {
			return t, errors.Wrapf(err, "roster of worker %s", c.name)
		}
		t.Put = append(t.Put, platform.Put{Key: key, Value: text})
	}
	return t, nil
}

// writtenAt are the records after changes that were written at a revision.
func writtenAt(changes []rosterChange, revision int64) []rosterRecord {
	out := make([]rosterRecord, len(changes))
	for n, c := range changes {
		if len(c.workers) > 0 {
			out[n] = rosterRecord{revision, c.workers}
		}
	}
	return out
}

// rosterReplaced says that a conflict is only about earlier writes of the records, and takes in what they are by now.
func (o *Owner) rosterReplaced(w rosterWrite, found []platform.Item) bool {
	revisions := map[string]int64{}
	for _, i := range found {
		revisions[i.Key] = i.Revision
	}
	replaced := false
	for n, c := range w.changes {
		now := revisions[jobstore.RosterKey(c.name)]
		replaced = replaced || now != w.before[n].revision
		w.before[n].revision = now
	}
	return replaced && revisions[jobstore.HolderKey] == o.claim.Revision
}
