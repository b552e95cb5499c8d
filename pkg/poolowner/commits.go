package poolowner

import (
	"context"
	"fmt"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/customer"
	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// commitEvery is the time between two commits.
	commitEvery = 40 * time.Millisecond
	// namesPause is the least time between two commits when starts wait for names to be stored.
	namesPause = 10 * time.Millisecond
	// dropEvery is the time between two removals of outcomes that have been kept long enough.
	dropEvery = 200 * time.Millisecond
	// commitRetry is the pause before a commit that failed is tried again.
	commitRetry = 50 * time.Millisecond
	// A write without an answer is given more time with each try, from firstPatience to mostWritePatience: one whose bytes still wait on the link
	// would be followed by its own copies.
	firstPatience     = 400 * time.Millisecond
	mostWritePatience = 3200 * time.Millisecond
	// ownEntries is how many entries of a transaction each commit needs for itself.
	ownEntries = 2
)

// runCommits is the duty that writes what the pool has decided.
func (o *Owner) runCommits(ctx context.Context) {
	dropped := o.deps.Clock.Now()
	t := time.NewTicker(commitEvery)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-o.names:
		}
		if now := o.deps.Clock.Now(); now.Sub(dropped) >= dropEvery {
			dropped = now
			o.dropOutcomes(ctx)
		}
		o.commitChanges(ctx)
		clock.Sleep(ctx, namesPause)
	}
}

// commitSoon has names be stored without waiting for the next commit.
func (o *Owner) commitSoon() {
	select {
	case o.names <- struct{}{}:
	default:
	}
}

// commitChanges writes what has changed since the last commit.
func (o *Owner) commitChanges(ctx context.Context) {
	o.mu.Lock()
	c := o.pool.PrepareCommit()
	o.mu.Unlock()
	if c.IsEmpty() {
		return
	}
	if err := o.writeChanges(ctx, c.Changes); err != nil {
		return // only when this owner ends
	}
	o.mu.Lock()
	o.pool.ApplyCommit(c)
	close(o.committed)
	o.committed = make(chan struct{})
	o.mu.Unlock()
	if c.HasStarts() {
		o.wake()
	}
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
	if o.commit(ctx, &o.lanes[0], t) != nil {
		return // only when this owner ends
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pool.ForgetOutcomes(ids)
}

// commitLane is one series of commits, each on condition of the one before it.
type commitLane struct {
	key      string
	revision int64 // of the last commit
	number   int64 // of the last commit
}

func newLanes(claim Claim) (lanes [jobstore.CommitLanes]commitLane) {
	for n := range lanes {
		lanes[n] = commitLane{key: jobstore.CommitKey(n), revision: claim.Revision}
	}
	return lanes
}

// writeChanges puts changes into the store, whatever it takes; an error says that the owner
// ends. What does not fit into one transaction is spread over the lanes, so that a slow store
// gets several at once; they are of different jobs and may be done in any order.
func (o *Owner) writeChanges(ctx context.Context, changes []dispatch.JobChange) error {
	txns, err := packChanges(changes)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	lanes := len(o.lanes)
	if o.deps.Without.Contains(dispatch.ParallelCommits) {
		lanes = 1
	}
	for n := range min(lanes, len(txns)) {
		group.Go(func() error {
			for at := n; at < len(txns); at += lanes {
				if err := o.commit(ctx, &o.lanes[n], txns[at]); err != nil {
					return err
				}
			}
			return nil
		})
	}
	return group.Wait()
}

// packChanges makes transactions of changes, as few as hold them.
func packChanges(changes []dispatch.JobChange) ([]platform.Txn, error) {
	const most = platform.MaxTxnEntries - ownEntries
	var txns []platform.Txn
	var last platform.Txn
	for _, c := range changes {
		entries, err := entriesOf(c)
		if err != nil {
			return nil, err
		}
		if size(last)+size(entries) > most {
			txns = append(txns, last)
			last = platform.Txn{}
		}
		last.Put = append(last.Put, entries.Put...)
		last.Remove = append(last.Remove, entries.Remove...)
	}
	if size(last) > 0 {
		txns = append(txns, last)
	}
	return txns, nil
}

func size(t platform.Txn) int {
	return len(t.Put) + len(t.Remove)
}

// entriesOf returns what one change writes and removes.
func entriesOf(c dispatch.JobChange) (t platform.Txn, err error) {
	if c.Outcome == "" {
		text, err := c.Progress.Encode()
		t.Put = []platform.Put{{Key: jobstore.ProgressKey(c.Job), Value: text}}
		return t, err
	}
	text, err := job.Record{Outcome: c.Outcome, Customer: customer.Customer{Name: c.Customer}, Unended: c.RemainingUse, LateStart: c.LastLateStart}.Encode()
	t.Put = []platform.Put{{Key: jobstore.JobKey(c.Job), Value: text}}
	if c.HasProgress {
		t.Remove = append(t.Remove, jobstore.ProgressKey(c.Job))
	}
	if c.Outcome == job.Cancelled {
		t.Remove = append(t.Remove, jobstore.CancelKey(c.Job))
	}
	return t, err
}

// morePatience is how much longer than usual the next try of a write may take, after one that failed.
func morePatience(p time.Duration, err error) time.Duration {
	if !errors.Is(err, platform.ErrUnsettled) {
		return p // it was refused, or nothing was sent
	}
	return min(max(2*p, firstPatience), mostWritePatience)
}

// commit carries out one transaction exactly once. All commits of a lane replace one key under
// the condition that nobody else has, so a lost answer is settled by trying again: whichever
// try comes second finds the key replaced.
func (o *Owner) commit(ctx context.Context, lane *commitLane, t platform.Txn) error {
	lane.number++
	mark := fmt.Appendf(nil, "%d/%d", o.claim.Term, lane.number)
	t.Conditions = []platform.Condition{{Key: lane.key, Revision: lane.revision}}
	t.Put = append(t.Put, platform.Put{Key: lane.key, Value: mark})
	for ctx.Err() == nil {
		revision, found, err := o.deps.Store.Commit(ctx, t)
		if err == nil {
			o.commitFailures.succeeded()
			lane.revision = revision
			return nil
		}
		if errors.Is(err, platform.ErrConflict) {
			if len(found) == 1 && string(found[0].Value) == string(mark) {
				lane.revision = found[0].Revision
				return nil
			}
			o.depose("commit")
			return ErrDeposed
		}
		o.commitFailures.failed(err)
		t.Patience = morePatience(t.Patience, err)
		clock.Sleep(ctx, commitRetry)
	}
	return ctx.Err()
}
