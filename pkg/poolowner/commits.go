package poolowner

import (
	"context"
	"fmt"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
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
			o.removeOrphanedSegments(ctx)
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

// commitChanges writes what has changed since the last commit. A job whose changes the store never takes is
// given up.
func (o *Owner) commitChanges(ctx context.Context) {
	o.mu.Lock()
	o.pool.SetSegmentSupport(o.segmentReaders.support(func(name string) bool { return o.members[name] != nil }, o.deps.Clock.Now()))
	c := o.pool.PrepareCommit()
	o.mu.Unlock()
	if c.IsEmpty() {
		return
	}
	refused, err := o.writeChanges(ctx, c.Changes)
	if err != nil {
		return // only when this owner ends
	}
	o.mu.Lock()
	for _, r := range refused {
		c.Withdraw(r.job)
		o.pool.GiveUpJob(r.job, r.reason())
	}
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
		return // this owner ends, or the store never takes the call, which is logged and tried again
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pool.ForgetOutcomes(ids)
}

// removeOrphanedSegments removes segments of jobs that have ended, at most one transaction at a time.
func (o *Owner) removeOrphanedSegments(ctx context.Context) {
	n := min(len(o.orphanedSegments), platform.MaxTxnEntries-reservedEntries)
	if n > 0 && o.commit(ctx, &o.lanes[0], platform.Txn{Remove: o.orphanedSegments[:n]}) == nil {
		o.orphanedSegments = o.orphanedSegments[n:]
	}
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
// repeated safely: if it did take effect, the repetition finds its marker in the key. A refusal that would
// not pass is returned (platform.IsPermanent); other errors only when this owner ends.
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
		if platform.IsPermanent(err) {
			return err
		}
		t.ExtraTimeout = nextExtraTimeout(t.ExtraTimeout, err)
		clock.Sleep(ctx, commitRetryDelay)
	}
	return ctx.Err()
}
