// Package store is the client of the platform's key-value service and host list. It is the only
// package that depends on the service's protocol (api/platform.yaml), so that the protocol can be
// replaced.
//
// The service has little capacity and has outages, so the client
//
//   - limits its own rates of reads and writes to the configured ones (a waiting watch counts as
//     one read),
//   - gives every call a time limit,
//   - finds out by further attempts and by reading the value back whether a write took effect whose
//     answer was lost: Swap returns when that is known, or with ErrUnsettled when ctx ends before.
//
// Reading back is conclusive only if every written value is unique, so writers include a unique write
// id in each value.
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
