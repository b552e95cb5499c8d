package revision

import (
	"context"
	"encoding/json"

	"foldarch.dev/foldarch/pkg/store"
	"github.com/cockroachdb/errors"
)

// Head returns the head in force; in a cell without settings its Revision is 0.
func (b *Book) Head(ctx context.Context) (Head, error) {
	item, err := b.store.Read(ctx, HeadKey)
	if errors.Is(err, store.ErrAbsent) {
		return Head{}, nil
	}
	if err != nil {
		return Head{}, errors.Wrap(err, "read settings head")
	}
	return ParseHead(item)
}

// Commit returns one commit.
func (b *Book) Commit(ctx context.Context, digest Digest) (Commit, error) {
	item, err := b.store.Read(ctx, commitPrefix+string(digest))
	if err != nil {
		return Commit{}, errors.Wrapf(err, "read settings commit %s", digest)
	}
	var c Commit
	if err := json.Unmarshal([]byte(item.Value), &c); err != nil {
		return Commit{}, errors.Wrapf(err, "settings commit %s", digest)
	}
	return c, nil
}

// Documents returns the texts of a commit. It asks the store only for those that are not
// among the known texts, which are given by digest.
func (b *Book) Documents(ctx context.Context, c Commit, known map[Digest]string) (map[string]string, error) {
	docs := make(map[string]string, len(c.Files))
	for file, digest := range c.Files {
		text, ok := known[digest]
		if !ok {
			item, err := b.store.Read(ctx, docPrefix+string(digest))
			if err != nil {
				return nil, errors.Wrapf(err, "read settings document %s", file)
			}
			text = item.Value
		}
		docs[file] = text
	}
	return docs, nil
}

// History returns up to n commits, the one in force first.
func (b *Book) History(ctx context.Context, n int) ([]Commit, error) {
	head, err := b.Head(ctx)
	if err != nil {
		return nil, err
	}
	var commits []Commit
	for next := head.Commit; next != "" && len(commits) < n; {
		c, err := b.Commit(ctx, next)
		if err != nil {
			return nil, err
		}
		commits = append(commits, c)
		next = c.Parent
	}
	return commits, nil
}
