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
	// rosterInterval is the time between two checks for workers that joined or left.
	rosterInterval = 20 * time.Millisecond
	// maxRosterBatch is the maximum number of records that one transaction writes: each takes a
	// condition and a put, and the owner's record takes one more condition.
	maxRosterBatch = (platform.MaxTxnEntries - 1) / 2
	// maxConcurrentRosterWrites is the maximum number of these transactions that are written at the same
	// time.
	maxConcurrentRosterWrites = 4
)

// rosterRecord is what the store tells a later owner about the incarnations of a worker name.
type rosterRecord struct {
	revision int64 // 0 when the store has no record
	workers  []dispatch.WorkerInfo
}

// sameRosterEntry reports whether a and b tell a later owner the same about an incarnation.
func sameRosterEntry(a, b dispatch.WorkerInfo) bool {
	return a.ID == b.ID && a.Crashed == b.Crashed && a.Retired == b.Retired
}

// readRoster reads the roster, which names the workers that previous owners have used. The entry of such
// a worker may be gone while it still runs tasks. After an error, the next call goes on with the page that failed.
func (o *Owner) readRoster(ctx context.Context) ([]platform.Item, error) {
	items, _, err := o.listings.roster.Read(ctx)
	return items, errors.Wrap(err, "list roster")
}

// loadRoster applies what readRoster has read. The workers' entries have been applied before.
func (o *Owner) loadRoster(items []platform.Item) {
	o.mu.Lock()
	defer o.mu.Unlock()
	hasEntry := map[dispatch.WorkerID]bool{}
	for _, w := range o.pool.Workers() {
		hasEntry[w.ID] = true
	}
	for _, i := range items {
		name := jobstore.ParseRosterKey(i.Key)
		workers, err := decodeRosterRecord(name, i.Value)
		if err != nil {
			o.pool.RecordUnreadableWorker()
			o.deps.Log.WithFields(logrus.Fields{"worker": name, "error": err}).Error("roster_unreadable")
		}
		r := rosterRecord{revision: i.Revision, workers: workers}
		o.roster[name] = r
		for _, w := range r.workers {
			o.loadRosterWorker(w, hasEntry)
		}
	}
}

// decodeRosterRecord decodes the incarnations of a worker name. It leaves out those that can't be used, and
// returns an error for them.
func decodeRosterRecord(name string, text []byte) ([]dispatch.WorkerInfo, error) {
	var rows []json.RawMessage
	if err := json.Unmarshal(text, &rows); err != nil {
		return nil, err
	}
	var workers []dispatch.WorkerInfo
	var unusable error
	for n, row := range rows {
		w, err := decodeRosterWorker(name, row)
		if err != nil {
			unusable = errors.CombineErrors(unusable, errors.Wrapf(err, "incarnation %d", n))
			continue
		}
		workers = append(workers, w)
	}
	return workers, unusable
}

func decodeRosterWorker(name string, text []byte) (dispatch.WorkerInfo, error) {
	var w dispatch.WorkerInfo
	if err := json.Unmarshal(text, &w); err != nil {
		return w, err
	}
	switch {
	case w.ID.Name() != name:
		return w, errors.Newf("%q is not an incarnation of the worker", w.ID)
	case !w.Address.IsValid():
		return w, errors.New("the address is missing")
	}
	return w, w.Capacity.Validate()
}

// loadRosterWorker applies one incarnation of the roster. hasEntry holds the workers that have an entry.
// The caller holds o.mu.
func (o *Owner) loadRosterWorker(w dispatch.WorkerInfo, hasEntry map[dispatch.WorkerID]bool) {
	if w.Crashed {
		o.pool.RecordUncountedCrash(w)
		return
	}
	if !hasEntry[w.ID] {
		o.pool.UpsertWorker(w, false, o.deps.Clock.Now())
	}
	o.pool.MarkInRoster([]dispatch.WorkerID{w.ID})
	o.pool.LoadRetired(w)
}

// rosterChange is the new content of a record that differs from the stored one.
type rosterChange struct {
	name    string
	workers []dispatch.WorkerInfo
}

// writeRoster writes the records of the workers that joined or left since the last call.
func (o *Owner) writeRoster(ctx context.Context) {
	changes := o.rosterChanges()
	if len(changes) == 0 {
		return
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentRosterWrites)
	for _, u := range o.rosterBatches(changes) {
		group.Go(func() error {
			o.applyWritten(u.changes, o.commitRoster(ctx, u))
			o.requestPlan() // written workers may be used now
			return nil
		})
	}
	_ = group.Wait() // no function of the group returns an error
}

// rosterUpdate is one transaction of changed records; stored are the records that it replaces.
type rosterUpdate struct {
	changes []rosterChange
	stored  []rosterRecord
}

// rosterBatches splits changes into transactions.
func (o *Owner) rosterBatches(changes []rosterChange) []rosterUpdate {
	var out []rosterUpdate
	for batch := range slices.Chunk(changes, maxRosterBatch) {
		u := rosterUpdate{changes: batch}
		for _, c := range batch {
			u.stored = append(u.stored, o.roster[c.name])
		}
		out = append(out, u)
	}
	return out
}

// rosterChanges returns the records that differ from the stored ones. Workers whose record is up to date
// may be used at once.
func (o *Owner) rosterChanges() []rosterChange {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []rosterChange
	for _, name := range o.pool.TakeRosterChanges() {
		workers := o.pool.RosterEntries(name)
		if slices.EqualFunc(workers, o.roster[name].workers, sameRosterEntry) {
			o.pool.MarkInRoster(workerIDs(workers))
			continue
		}
		out = append(out, rosterChange{name, workers})
	}
	return out
}

func workerIDs(workers []dispatch.WorkerInfo) []dispatch.WorkerID {
	ids := make([]dispatch.WorkerID, 0, len(workers))
	for _, w := range workers {
		ids = append(ids, w.ID)
	}
	return ids
}

// applyWritten applies the records that were written, so that their workers may be used. There are none
// when this owner has ended.
func (o *Owner) applyWritten(changes []rosterChange, records []rosterRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for n, r := range records {
		if r.revision == 0 {
			delete(o.roster, changes[n].name)
			continue
		}
		o.roster[changes[n].name] = r
		o.pool.MarkInRoster(workerIDs(r.workers))
	}
}

// commitRoster writes records until the store accepts them, and returns them, or the stored ones in place of
// those that the store never takes; it returns fewer when this owner ends. A write that got no answer may take effect after later writes. So each record is written
// on condition that it replaces the stored one: otherwise the late write would drop workers that were
// added since.
func (o *Owner) commitRoster(ctx context.Context, u rosterUpdate) []rosterRecord {
	extraTimeout := time.Duration(0)
	for ctx.Err() == nil {
		t, err := o.rosterTxn(u)
		if err != nil {
			o.deps.Log.WithField("error", err).Error("roster_not_written")
			return nil
		}
		t.ExtraTimeout = extraTimeout
		revision, found, err := o.deps.Store.Commit(ctx, t)
		switch {
		case err == nil:
			o.rosterFailures.recordSuccess()
			return recordsAt(u.changes, revision)
		case errors.Is(err, platform.ErrConflict) && o.refreshReplaced(u, found):
			continue // an earlier attempt of this owner that got no answer took effect
		case errors.Is(err, platform.ErrConflict):
			o.depose("roster")
			return nil
		case platform.IsPermanent(err):
			return o.handleRefusedRoster(ctx, u, t, err)
		}
		o.rosterFailures.recordFailure(err)
		extraTimeout = nextExtraTimeout(extraTimeout, err)
		clock.Sleep(ctx, storeRetryDelay)
	}
	return nil
}

// handleRefusedRoster handles an update that the store never takes: it writes the halves of it, down to the
// records that are the cause. Their new incarnations are not used until the record changes. It returns the
// records that the store has then.
func (o *Owner) handleRefusedRoster(ctx context.Context, u rosterUpdate, t platform.Txn, err error) []rosterRecord {
	if n := len(u.changes); n > 1 {
		first := o.commitRoster(ctx, rosterUpdate{u.changes[:n/2], u.stored[:n/2]})
		second := o.commitRoster(ctx, rosterUpdate{u.changes[n/2:], u.stored[n/2:]})
		if len(first) < n/2 {
			return first // this owner ends
		}
		return append(first, second...)
	}
	for _, p := range t.Put {
		o.recordOversize("value_refused", p.Key, len(p.Value))
	}
	o.deps.Log.WithFields(logrus.Fields{"worker": u.changes[0].name, "error": err}).Error("roster_not_written")
	return u.stored
}

// rosterTxn returns the transaction that writes an update.
func (o *Owner) rosterTxn(u rosterUpdate) (platform.Txn, error) {
	t := platform.Txn{Conditions: []platform.Condition{{Key: jobstore.OwnerRecordKey, Revision: o.claim.Revision}}}
	for n, c := range u.changes {
		key := jobstore.RosterKey(c.name)
		t.Conditions = append(t.Conditions, platform.Condition{Key: key, Revision: u.stored[n].revision})
		if len(c.workers) == 0 {
			if u.stored[n].revision != 0 {
				t.Remove = append(t.Remove, key)
			}
			continue
		}
		data, err := json.Marshal(c.workers)
		if err != nil {
			return t, errors.Wrapf(err, "encode roster of worker %s", c.name)
		}
		t.Put = append(t.Put, platform.Put{Key: key, Value: data})
	}
	return t, nil
}

// recordsAt returns the records that changes have written at a revision.
func recordsAt(changes []rosterChange, revision int64) []rosterRecord {
	out := make([]rosterRecord, len(changes))
	for n, c := range changes {
		if len(c.workers) > 0 {
			out[n] = rosterRecord{revision, c.workers}
		}
	}
	return out
}

// refreshReplaced handles a conflict: it updates u to the stored revisions of its records. It reports
// whether the conflict was only due to earlier writes of these records, so that u can be tried again.
func (o *Owner) refreshReplaced(u rosterUpdate, found []platform.Item) bool {
	revisions := map[string]int64{}
	for _, i := range found {
		revisions[i.Key] = i.Revision
	}
	replaced := false
	for n, c := range u.changes {
		current := revisions[jobstore.RosterKey(c.name)]
		replaced = replaced || current != u.stored[n].revision
		u.stored[n].revision = current
	}
	return replaced && revisions[jobstore.OwnerRecordKey] == o.claim.Revision
}
