package poolowner

import (
	"context"
	"fmt"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
)

const (
	// commitEvery is the time between two commits.
	commitEvery = 40 * time.Millisecond
	// dropEvery is the time between two removals of outcomes that have been kept long enough.
	dropEvery = 200 * time.Millisecond
	// commitRetry is the pause before a commit that failed is tried again.
	commitRetry = 50 * time.Millisecond
	// entriesPerChange is how many entries of a transaction a job may need, and
	// ownEntries what each commit needs besides.
	entriesPerChange = 3
	ownEntries       = 2
)

// runCommits is the duty that writes what the pool has decided.
func (o *Owner) runCommits(ctx context.Context) {
	dropped := o.deps.Clock.Now()
	clock.Every(ctx, commitEvery, func() {
		if now := o.deps.Clock.Now(); now.Sub(dropped) >= dropEvery {
			dropped = now
			o.dropOutcomes(ctx)
		}
		o.mu.Lock()
		c := o.pool.TakeCommit()
		o.mu.Unlock()
		if c.Empty() {
			return
		}
		if err := o.writeChanges(ctx, c.Changes); err != nil {
			return // only when this owner ends
		}
		o.mu.Lock()
		o.pool.Committed(c)
		close(o.committed)
		o.committed = make(chan struct{})
		o.mu.Unlock()
	})
}

// dropOutcomes removes outcomes from the store that have been kept long enough. It runs
// between commits, in the same series.
func (o *Owner) dropOutcomes(ctx context.Context) {
	o.mu.Lock()
	ids := o.pool.ExpiredOutcomes(o.deps.Bounds.KeepOutcomes, platform.MaxTxnEntries-ownEntries, o.deps.Clock.Now())
	o.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	var t platform.Txn
	for _, id := range ids {
		t.Remove = append(t.Remove, jobstore.JobKey(id))
	}
	if o.commit(ctx, t) != nil {
		return // only when this owner ends
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pool.ForgetOutcomes(ids)
}

// writeChanges puts changes into the store, whatever it takes; an error says that the owner ends.
func (o *Owner) writeChanges(ctx context.Context, changes []dispatch.Change) error {
	const most = (platform.MaxTxnEntries - ownEntries) / entriesPerChange
	for len(changes) > 0 {
		n := min(most, len(changes))
		t, err := o.txnOf(changes[:n])
		if err != nil {
			return err
		}
		if err := o.commit(ctx, t); err != nil {
			return err
		}
		changes = changes[n:]
	}
	return nil
}

func (o *Owner) txnOf(changes []dispatch.Change) (platform.Txn, error) {
	var t platform.Txn
	for _, c := range changes {
		if c.Outcome == "" {
			text, err := c.Progress.Encode()
			if err != nil {
				return t, err
			}
			t.Put = append(t.Put, platform.Put{Key: jobstore.ProgressKey(c.Job), Value: text})
			continue
		}
		text, err := job.Record{Outcome: c.Outcome}.Encode()
		if err != nil {
			return t, err
		}
		t.Put = append(t.Put, platform.Put{Key: jobstore.JobKey(c.Job), Value: text})
		if c.Stored {
			t.Remove = append(t.Remove, jobstore.ProgressKey(c.Job))
		}
		if c.Outcome == job.Cancelled {
			t.Remove = append(t.Remove, jobstore.CancelKey(c.Job))
		}
	}
	return t, nil
}

// commit carries out one transaction exactly once. All commits replace one key under the
// condition that nobody else has, so a lost answer is settled by trying again: whichever
// try comes second finds the key replaced.
func (o *Owner) commit(ctx context.Context, t platform.Txn) error {
	o.commitNumber++
	mark := fmt.Appendf(nil, "%d/%d", o.claim.Term, o.commitNumber)
	t.Conditions = []platform.Condition{{Key: jobstore.CommitKey, Revision: o.commitRevision}}
	t.Put = append(t.Put, platform.Put{Key: jobstore.CommitKey, Value: mark})
	for ctx.Err() == nil {
		revision, found, err := o.deps.Store.Commit(ctx, t)
		if err == nil {
			o.commitRevision = revision
			return nil
		}
		if errors.Is(err, platform.ErrConflict) {
			if len(found) == 1 && string(found[0].Value) == string(mark) {
				o.commitRevision = found[0].Revision
				return nil
			}
			o.depose("commit")
			return ErrDeposed
		}
		clock.Sleep(ctx, commitRetry)
	}
	return ctx.Err()
}
