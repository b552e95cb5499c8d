// Package revision keeps settings trees in the platform store.
//
// A tree is stored as documents under their content's digest and a commit that lists
// them, so that a change writes only what changed, and a reader fetches only what it does
// not have yet. One key, the head, names the commit in force; it is moved by
// compare-and-swap:
//
//	cell/settings/head       {"revision":7,"write_id":"…","commit":"c41…"}
//	settings/commit/c41…     {"revision":7,"parent":"99a…","author":"…","files":{"cell.toml":"0b1…"}}
//	settings/doc/0b1…        the text of one file
//
// Revisions count up by one; a rollback is a new revision with the files of an old one.
// The write id in the head makes every head unique, so that a write whose answer was
// lost can be told from another operator's.
//
// # Usage
//
//	book := revision.New(store, clk)
//	head, err := book.Head(ctx)
//	next, err := book.Apply(ctx, head, docs, revision.Change{Author: "kim", Note: "more scoring"})
//	if errors.Is(err, store.ErrConflict) {
//		// someone else moved the head
//	}
package revision
