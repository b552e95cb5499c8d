package store

import (
	"context"
	"net/netip"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/store/storeapi"
	"github.com/cockroachdb/errors"
)

// Read returns the item of a key, or ErrAbsent when the key does not exist.
func (s *Store) Read(ctx context.Context, key string) (Item, error) {
	var item Item
	err := s.read(ctx, s.cfg.CallTimeout, func(ctx context.Context, c *storeapi.Client) error {
		got, err := c.ReadValue(ctx, storeapi.ReadValueParams{Key: key})
		if err != nil {
			return err
		}
		item = convertItem(*got)
		return nil
	})
	return item, readError(err)
}

// List returns the items under a prefix and the store's revision at the time of the reading.
func (s *Store) List(ctx context.Context, prefix string) ([]Item, int64, error) {
	return s.Watch(ctx, prefix, 0, 0)
}

// Watch returns the items under a prefix that changed after a revision, including deleted ones, which
// are marked, and the revision to continue from. If nothing has changed it waits for a change, at most
// for the given time, and returns no items when there was none.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error) {
	var items []Item
	var revision int64
	err := s.read(ctx, s.cfg.CallTimeout+wait, func(ctx context.Context, c *storeapi.Client) error {
		got, err := c.ListValues(ctx, storeapi.ListValuesParams{
			Prefix: prefix,
			After:  storeapi.NewOptInt64(after),
			WaitMs: storeapi.NewOptInt64(wait.Milliseconds()),
		})
		if err != nil {
			return err
		}
		revision = got.Revision
		for _, item := range got.Items {
			items = append(items, convertItem(item))
		}
		return nil
	})
	return items, revision, readError(err)
}

// readError turns ErrUnsettled into ErrUnavailable: a read has no effect, so nothing about it can be unknown.
func readError(err error) error {
	if errors.Is(err, ErrUnsettled) {
		return errors.Mark(errors.Newf("read failed: %v", err), ErrUnavailable)
	}
	return err
}

// HostState is the state of a host as the platform reports it. It is reported with a delay.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
	HostGone    HostState = "gone"
)

// Host is one row of the platform's host list.
type Host struct {
	ID      string
	Worker  bool // false for an entry host
	Hall    cell.Hall
	Rack    string
	Address netip.AddrPort
	State   HostState
}

// Hosts returns the platform's host list.
func (s *Store) Hosts(ctx context.Context) ([]Host, error) {
	var hosts []Host
	err := s.read(ctx, s.cfg.CallTimeout, func(ctx context.Context, c *storeapi.Client) error {
		got, err := c.ListHosts(ctx)
		if err != nil {
			return err
		}
		for _, h := range got.Hosts {
			address, err := netip.ParseAddrPort(h.Address)
			if err != nil {
				return errors.Wrapf(err, "host list: host %s", h.ID)
			}
			hosts = append(hosts, Host{
				ID: h.ID, Worker: h.Kind == storeapi.HostKindWorker, Hall: cell.Hall(h.Hall),
				Rack: h.Rack.Value, Address: address, State: HostState(h.State),
			})
		}
		return nil
	})
	return hosts, readError(err)
}

// convertItem converts an item from its form in the protocol.
func convertItem(i storeapi.Item) Item {
	return Item{Key: i.Key, Value: i.Value, Revision: i.Revision, Deleted: i.Deleted.Value}
}
