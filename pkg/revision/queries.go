package revision

import (
	"context"
	"encoding/json"

	"foldarch.dev/foldarch/pkg/store"
	"github.com/cockroachdb/errors"
)

// Head returns the current head. In a cell without settings its Revision is 0.
func (r *Repository) Head(ctx context.Context) (Head, error) {
	item, err := r.store.Read(ctx, HeadKey)
	if errors.Is(err, store.ErrAbsent) {
		return Head{}, nil
	}
	if err != nil {
		return Head{}, errors.Wrap(err, "read settings head")
	}
	return ParseHead(item)
}

// Commit reads the commit with the given digest.
func (r *Repository) Commit(ctx context.Context, digest Digest) (Commit, error) {
	item, err := r.store.Read(ctx, commitPrefix+string(digest))
	if err != nil {
		return Commit{}, errors.Wrapf(err, "read settings commit %s", digest)
	}
	var c Commit
	if err := json.Unmarshal([]byte(item.Value), &c); err != nil {
		return Commit{}, errors.Wrapf(err, "settings commit %s", digest)
	}
	return c, nil
}

// Documents returns the texts of a commit by file name. It reads only those texts from the store
// that known, which holds texts by digest, does not contain.
func (r *Repository) Documents(ctx context.Context, c Commit, known map[Digest]string) (map[string]string, error) {
	docs := make(map[string]string, len(c.Files))
	for file, digest := range c.Files {
		text, ok := known[digest]
		if !ok {
			item, err := r.store.Read(ctx, docPrefix+string(digest))
			if err != nil {
				return nil, errors.Wrapf(err, "read settings document %s", file)
			}
			text = item.Value
		}
		docs[file] = text
	}
	return docs, nil
}

// History returns up to n commits, newest first.
func (r *Repository) History(ctx context.Context, n int) ([]Commit, error) {
	head, err := r.Head(ctx)
	if err != nil {
		return nil, err
	}
	var commits []Commit
	for next := head.Commit; next != "" && len(commits) < n; {
		c, err := r.Commit(ctx, next)
		if err != nil {
			return nil, err
		}
		commits = append(commits, c)
		next = c.Parent
	}
	return commits, nil
}
