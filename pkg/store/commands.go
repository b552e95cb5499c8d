package store

import (
	"context"
	"math/rand/v2"
	"time"

	"foldarch.dev/foldarch/pkg/store/storeapi"
	"github.com/cockroachdb/errors"
)

const (
	retryFirst = 50 * time.Millisecond
	retryMost  = 2 * time.Second
)

// Swap writes a value if its key still has the expected revision (0: absent) and returns
// the new revision. When an answer is lost it reads the value back and, if nothing was
// written, tries again. Errors: ErrConflict, ErrTooLarge, ErrNoLease; ErrDown when the
// write certainly had no effect; ErrUnsettled when ctx ended before that was known.
func (s *Store) Swap(ctx context.Context, item Item, expect int64) (int64, error) {
	return s.SwapUnderLease(ctx, item, expect, 0)
}

// SwapUnderLease is Swap for a value that the store deletes when a lease ends.
func (s *Store) SwapUnderLease(ctx context.Context, item Item, expect int64, lease LeaseID) (int64, error) {
	if len(item.Value) > MaxValueBytes {
		return 0, errors.Wrapf(ErrTooLarge, "key %s has %d bytes", item.Key, len(item.Value))
	}
	revision, err := s.swapOnce(ctx, item, expect, lease)
	for attempt := 0; errors.Is(err, ErrUnsettled) && ctx.Err() == nil; attempt++ {
		revision, err = s.settle(ctx, item, expect, lease, attempt)
	}
	return revision, err
}

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

// settle finds out what became of a write whose answer was lost. The write may still be
// on its way, so a value that is not there is no proof; writing again with the same
// expected revision is, since only one of the two can take effect.
func (s *Store) settle(ctx context.Context, item Item, expect int64, lease LeaseID, attempt int) (int64, error) {
	if err := Pause(ctx, attempt); err != nil {
		return 0, errors.Wrapf(ErrUnsettled, "write of %s", item.Key)
	}
	revision, err := s.swapOnce(ctx, item, expect, lease)
	if errors.Is(err, ErrConflict) {
		return s.readBack(ctx, item)
	}
	if errors.Is(err, ErrDown) {
		return 0, errors.Wrapf(ErrUnsettled, "write of %s", item.Key)
	}
	return revision, err
}

func (s *Store) readBack(ctx context.Context, item Item) (int64, error) {
	stored, err := s.Read(ctx, item.Key)
	switch {
	case errors.Is(err, ErrAbsent):
		return 0, ErrConflict
	case err != nil:
		return 0, errors.Wrapf(ErrUnsettled, "read back of %s", item.Key)
	case stored.Value == item.Value:
		return stored.Revision, nil
	}
	return 0, ErrConflict
}

// Delete removes a key if it still has the expected revision.
func (s *Store) Delete(ctx context.Context, key string, expect int64) error {
	return s.write(ctx, func(ctx context.Context, c *storeapi.Client) error {
		_, err := c.DeleteValue(ctx, storeapi.DeleteValueParams{Key: key, Expect: expect})
		return err
	})
}

// OpenLease opens a lease that ends when it is not renewed within its term.
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

// Pause waits before a further attempt, longer with each, by a random part so that many
// processes do not come back at the same moment. It returns early when ctx ends.
func Pause(ctx context.Context, attempt int) error {
	most := min(retryFirst<<min(attempt, 10), retryMost)
	t := time.NewTimer(most/2 + rand.N(most/2))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
