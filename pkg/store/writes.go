package store

import (
	"context"
	"math/rand/v2"
	"time"

	"foldarch.dev/foldarch/pkg/store/storeapi"
	"github.com/cockroachdb/errors"
)

const (
	minRetryDelay = 50 * time.Millisecond // upper bound of the delay before the first retry
	maxRetryDelay = 2 * time.Second       // upper bound of any delay
)

// Swap writes a value if its key still has the expected revision (0: the key does not exist) and
// returns the new revision. When an answer is lost it tries again until it is known whether the write
// took effect. Errors: ErrConflict, ErrTooLarge, ErrNoLease; ErrUnavailable when the write certainly had
// no effect; ErrUnsettled when ctx ended before it was known whether the write took effect.
func (s *Store) Swap(ctx context.Context, item Item, expect int64) (int64, error) {
	return s.SwapUnderLease(ctx, item, expect, 0)
}

// SwapUnderLease is like Swap for a value that the store deletes when the lease ends.
func (s *Store) SwapUnderLease(ctx context.Context, item Item, expect int64, lease LeaseID) (int64, error) {
	if len(item.Value) > MaxValueBytes {
		return 0, errors.Wrapf(ErrTooLarge, "key %s has %d bytes", item.Key, len(item.Value))
	}
	revision, err := s.swapOnce(ctx, item, expect, lease)
	for attempt := 0; errors.Is(err, ErrUnsettled) && ctx.Err() == nil; attempt++ {
		revision, err = s.retryUnsettled(ctx, item, expect, lease, attempt)
	}
	return revision, err
}

// swapOnce makes one attempt to write a value.
func (s *Store) swapOnce(ctx context.Context, item Item, expect int64, lease LeaseID) (int64, error) {
	var revision int64
	err := s.write(ctx, func(ctx context.Context, c *storeapi.Client) error {
		body := &storeapi.Swap{Key: item.Key, Value: item.Value, Expect: expect}
		if lease != 0 {
			body.Lease = storeapi.NewOptInt64(int64(lease))
		}
		got, err := c.SwapValue(ctx, body)
		if err != nil {
			return err
		}
		revision = got.Revision
		return nil
	})
	return revision, err
}

// retryUnsettled repeats a write whose answer was lost. Reading the value alone would not show that the
// write had no effect, since the first attempt may still be on its way. Writing again with the same
// expected revision is conclusive, because only one of the two attempts can take effect.
func (s *Store) retryUnsettled(ctx context.Context, item Item, expect int64, lease LeaseID, attempt int) (int64, error) {
	if err := Backoff(ctx, attempt); err != nil {
		return 0, errors.Wrapf(ErrUnsettled, "write of %s: context ended while the outcome was unknown", item.Key)
	}
	revision, err := s.swapOnce(ctx, item, expect, lease)
	if errors.Is(err, ErrConflict) {
		return s.readBack(ctx, item)
	}
	if errors.Is(err, ErrUnavailable) {
		return 0, errors.Wrapf(ErrUnsettled, "write of %s: store became unavailable after the answer was lost", item.Key)
	}
	return revision, err
}

// readBack decides, after a conflict, whether an earlier attempt has written the value or another writer
// has changed the key.
func (s *Store) readBack(ctx context.Context, item Item) (int64, error) {
	stored, err := s.Read(ctx, item.Key)
	switch {
	case errors.Is(err, ErrAbsent):
		return 0, ErrConflict
	case err != nil:
		return 0, errors.Wrapf(ErrUnsettled, "read-back of %s failed", item.Key)
	case stored.Value == item.Value:
		return stored.Revision, nil
	}
	return 0, ErrConflict
}

// Delete deletes a key if it still has the expected revision.
func (s *Store) Delete(ctx context.Context, key string, expect int64) error {
	return s.write(ctx, func(ctx context.Context, c *storeapi.Client) error {
		_, err := c.DeleteValue(ctx, storeapi.DeleteValueParams{Key: key, Expect: expect})
		return err
	})
}

// OpenLease opens a lease, which ends when it is not renewed within its term.
func (s *Store) OpenLease(ctx context.Context, term time.Duration) (LeaseID, error) {
	var id LeaseID
	err := s.write(ctx, func(ctx context.Context, c *storeapi.Client) error {
		got, err := c.OpenLease(ctx, &storeapi.LeaseTerm{TTLMs: term.Milliseconds()})
		if err != nil {
			return err
		}
		id = LeaseID(got.ID)
		return nil
	})
	return id, err
}

// RenewLease renews a lease for its term, or returns ErrNoLease.
func (s *Store) RenewLease(ctx context.Context, id LeaseID) error {
	return s.write(ctx, func(ctx context.Context, c *storeapi.Client) error {
		_, err := c.RenewLease(ctx, storeapi.RenewLeaseParams{ID: int64(id)})
		return err
	})
}

// CloseLease ends a lease and deletes the values written under it.
func (s *Store) CloseLease(ctx context.Context, id LeaseID) error {
	return s.write(ctx, func(ctx context.Context, c *storeapi.Client) error {
		_, err := c.CloseLease(ctx, storeapi.CloseLeaseParams{ID: int64(id)})
		return err
	})
}

// Backoff waits before another attempt: exponentially longer with each attempt, with random jitter so
// that many processes do not retry at the same moment. It returns early, with an error, when ctx ends.
func Backoff(ctx context.Context, attempt int) error {
	longest := min(minRetryDelay<<min(attempt, 10), maxRetryDelay)
	t := time.NewTimer(longest/2 + rand.N(longest/2))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
