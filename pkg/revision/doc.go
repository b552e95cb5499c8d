// Package revision keeps the revisions of a cell's settings in the platform store.
//
// The files of a settings tree are stored as documents under the digests of their contents,
// and a commit lists them. A change therefore writes only the files that differ, and a reader
// fetches only those that it does not have yet. A single key, the head, names the commit in
// force. It is replaced by compare-and-swap:
//
//	cell/settings/head       {"revision":7,"write_id":"…","commit":"c41…"}
//	settings/commit/c41…     {"revision":7,"parent":"99a…","author":"…","files":{"cell.toml":"0b1…"}}
//	settings/doc/0b1…        the text of one file
//
// Revisions count up by one. A rollback is a new revision with the files of an old one. The
// write id makes every head unique, so that a write whose answer was lost can be distinguished
// from the write of another operator.
//
// # Usage
//
//	r := revision.New(store, clk)
//	head, err := r.Head(ctx)
//	next, err := r.Apply(ctx, head, docs, revision.Change{Author: "kim", Note: "more scoring"})
//	if errors.Is(err, store.ErrConflict) {
//		// the head has been replaced by another change
//	}
package revision
