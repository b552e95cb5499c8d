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
	// commitInterval is the time between two commits.
	commitInterval = 40 * time.Millisecond
	// minCommitPause is the least time between two commits while starts wait until the store records
	// their workers.
	minCommitPause = 10 * time.Millisecond
	// outcomeRemovalInterval is the time between two removals of old outcomes.
	outcomeRemovalInterval = 200 * time.Millisecond
	// commitRetryDelay is the pause before a failed commit is repeated.
	commitRetryDelay = 50 * time.Millisecond
	// A write that got no answer is repeated with a longer time limit each time: the first repetition
	// has firstExtraTimeout more than usual, later ones up to maxExtraWriteTimeout. Otherwise, while its
	// bytes still wait on a slow link, copies of the same write would queue up behind it.
	firstExtraTimeout    = 400 * time.Millisecond
	maxExtraWriteTimeout = 3200 * time.Millisecond
	// reservedEntries is the number of entries of a transaction that commit itself may need.
	reservedEntries = 2
)

// runCommits writes the decisions of the pool to the store.
func (o *Owner) runCommits(ctx context.Context) {
	lastRemoval := o.deps.Clock.Now()
	t := time.NewTicker(commitInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-o.commitSignal:
		}
		if now := o.deps.Clock.Now(); now.Sub(lastRemoval) >= outcomeRemovalInterval {
			lastRemoval = now
			o.removeOldOutcomes(ctx)
		}
		o.commitChanges(ctx)
		clock.Sleep(ctx, minCommitPause)
	}
}

// requestCommit requests a commit without waiting for the commit interval.
func (o *Owner) requestCommit() {
	select {
	case o.commitSignal <- struct{}{}:
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
		o.requestPlan()
	}
}

// removeOldOutcomes removes outcomes from the store whose retention time is over. It runs between
// commits and uses the first commit lane.
func (o *Owner) removeOldOutcomes(ctx context.Context) {
	o.mu.Lock()
	ids := o.pool.ExpiredOutcomes(o.deps.Bounds.OutcomeRetention, platform.MaxTxnEntries-reservedEntries, o.deps.Clock.Now())
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

// commitLane is a sequence of commits, each on condition of the one before it. Lanes are independent of
// each other.
type commitLane struct {
	key      string
	revision int64 // of the last commit
	number   int64 // of the last commit
}

func newLanes(claim Claim) (lanes [jobstore.MaxParallelCommits]commitLane) {
	for n := range lanes {
		lanes[n] = commitLane{key: jobstore.CommitKey(n), revision: claim.Revision}
	}
	return lanes
}

// writeChanges writes changes to the store and repeats failed writes; it returns an error only when this
// owner ends. Changes that do not fit into one transaction are spread over the lanes, so that a slow
// store gets several transactions at the same time. They are of different jobs and may be written in any
// order.
func (o *Owner) writeChanges(ctx context.Context, changes []dispatch.JobChange) error {
	txns, err := packChanges(changes)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	lanes := len(o.lanes)
	if o.deps.Disabled.Contains(dispatch.ParallelCommits) {
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

// packChanges packs changes into as few transactions as possible.
func packChanges(changes []dispatch.JobChange) ([]platform.Txn, error) {
	const maxEntries = platform.MaxTxnEntries - reservedEntries
	var txns []platform.Txn
	var current platform.Txn
	for _, c := range changes {
		entries, err := changeEntries(c)
		if err != nil {
			return nil, err
		}
		if entryCount(current)+entryCount(entries) > maxEntries {
			txns = append(txns, current)
			current = platform.Txn{}
		}
		current.Put = append(current.Put, entries.Put...)
		current.Remove = append(current.Remove, entries.Remove...)
	}
	if entryCount(current) > 0 {
		txns = append(txns, current)
	}
	return txns, nil
}

func entryCount(t platform.Txn) int {
	return len(t.Put) + len(t.Remove)
}

// changeEntries returns what one change writes and removes.
func changeEntries(c dispatch.JobChange) (t platform.Txn, err error) {
	if c.Outcome == "" {
		data, err := c.Progress.Encode()
		t.Put = []platform.Put{{Key: jobstore.ProgressKey(c.Job), Value: data}}
		return t, err
	}
	data, err := job.Record{Outcome: c.Outcome, Customer: customer.Customer{Name: c.Customer}, RemainingUse: c.RemainingUse, LastLateStart: c.LastLateStart}.Encode()
	t.Put = []platform.Put{{Key: jobstore.JobKey(c.Job), Value: data}}
	if c.HasProgress {
		t.Remove = append(t.Remove, jobstore.ProgressKey(c.Job))
	}
	if c.Outcome == job.Cancelled {
		t.Remove = append(t.Remove, jobstore.CancelKey(c.Job))
	}
	return t, err
}

// nextExtraTimeout returns the extra time for the next attempt at a write, from that of the failed
// attempt.
func nextExtraTimeout(previous time.Duration, err error) time.Duration {
	if !errors.Is(err, platform.ErrOutcomeUnknown) {
		return previous // the write was refused or was not sent
	}
	return min(max(2*previous, firstExtraTimeout), maxExtraWriteTimeout)
}

// commit writes one transaction exactly once, repeating it until the store answers. Each commit of a
// lane replaces the lane's key on condition that nobody else has. So an attempt without an answer is
// repeated safely: if it did take effect, the repetition finds its marker in the key.
func (o *Owner) commit(ctx context.Context, lane *commitLane, t platform.Txn) error {
	lane.number++
	marker := fmt.Appendf(nil, "%d/%d", o.claim.Term, lane.number)
	t.Conditions = []platform.Condition{{Key: lane.key, Revision: lane.revision}}
	t.Put = append(t.Put, platform.Put{Key: lane.key, Value: marker})
	for ctx.Err() == nil {
		revision, found, err := o.deps.Store.Commit(ctx, t)
		if err == nil {
			o.commitFailures.recordSuccess()
			lane.revision = revision
			return nil
		}
		if errors.Is(err, platform.ErrConflict) {
			if len(found) == 1 && string(found[0].Value) == string(marker) {
				lane.revision = found[0].Revision
				return nil
			}
			o.depose("commit")
			return ErrDeposed
		}
		o.commitFailures.recordFailure(err)
		t.ExtraTimeout = nextExtraTimeout(t.ExtraTimeout, err)
		clock.Sleep(ctx, commitRetryDelay)
	}
	return ctx.Err()
}
