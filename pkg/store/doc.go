// Package store is the client of the platform's key-value service and host list. It is
// the only package that knows the service's wire (api/platform.yaml), so that another
// wire can take its place.
//
// The service bears little and has outages, so the client
//
//   - holds its own rate of reads and writes below what the service gives (a waiting watch
//     counts as one read),
//   - gives every call a time limit,
//   - settles a write whose answer was lost by reading the value back: Swap returns only
//     when it is known whether the write took effect, or returns ErrUnsettled when ctx
//     ended before.
//
// For the read-back to be conclusive every value written must be unique; writers put a
// write id into it.
//
// # Usage
//
//	s, err := store.New(store.Config{...}, dialer, clock.System(), registry)
//	item, err := s.Read(ctx, "cell/settings/head")
//	revision, err := s.Swap(ctx, store.Item{Key: item.Key, Value: next}, item.Revision)
//	if errors.Is(err, store.ErrConflict) {
//		// another writer came first
//	}
package store
