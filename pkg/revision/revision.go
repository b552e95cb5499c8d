package revision

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/store"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// HeadKey is the store key of the head.
const HeadKey = "cell/settings/head"

const (
	commitPrefix = "settings/commit/"
	docPrefix    = "settings/doc/"
)

// Digest is the first half of a SHA-256 hash in hexadecimal form.
type Digest string

// Head names the commit in force.
type Head struct {
	Revision int64  `json:"revision"`
	WriteID  string `json:"write_id"`
	Commit   Digest `json:"commit"`

	// storeRevision is the store's revision of HeadKey; 0 if there is no head.
	storeRevision int64
}

// Commit is one revision of the settings: its files and its origin.
type Commit struct {
	Revision int64             `json:"revision"`
	Parent   Digest            `json:"parent"`
	Author   string            `json:"author"`
	Note     string            `json:"note"`
	At       time.Time         `json:"at"`
	Files    map[string]Digest `json:"files"`
}

// Change names the author of a new revision and the reason for it.
type Change struct {
	Author string
	Note   string
}

// Repository reads and writes the settings of one cell.
type Repository struct {
	store *store.Store
	clk   clock.Clock
}

// New returns the repository of the cell whose store is given.
func New(s *store.Store, clk clock.Clock) *Repository {
	return &Repository{store: s, clk: clk}
}

// DigestOf returns the digest under which a text is stored.
func DigestOf(text string) Digest {
	sum := sha256.Sum256([]byte(text))
	return Digest(hex.EncodeToString(sum[:16]))
}

// ParseHead decodes the head from its item in the store.
func ParseHead(item store.Item) (Head, error) {
	var h Head
	if err := json.Unmarshal([]byte(item.Value), &h); err != nil {
		return Head{}, errors.Wrap(err, "settings head")
	}
	h.storeRevision = item.Revision
	return h, nil
}

// Apply makes docs the settings in force, provided that head is still the current head.
// Otherwise it returns store.ErrConflict. If a document is too large for the store, it returns
// store.ErrTooLarge with the name of the file. In both cases the settings in force stay as they
// are.
func (r *Repository) Apply(ctx context.Context, head Head, docs map[string]string, change Change) (Head, error) {
	files, err := r.writeDocuments(ctx, head, docs)
	if err != nil {
		return Head{}, err
	}
	commit := Commit{
		Revision: head.Revision + 1, Parent: head.Commit, Files: files,
		Author: change.Author, Note: change.Note, At: r.clk.Wall().UTC(),
	}
	text, err := json.Marshal(commit)
	if err != nil {
		return Head{}, errors.Wrap(err, "encode commit")
	}
	digest := DigestOf(string(text))
	if err := r.writeIfAbsent(ctx, commitPrefix+string(digest), string(text)); err != nil {
		return Head{}, errors.Wrap(err, "write commit")
	}
	return r.moveHead(ctx, head, Head{Revision: commit.Revision, WriteID: uuid.NewString(), Commit: digest})
}

// moveHead replaces the head from by the head to, provided that from is still the current one.
func (r *Repository) moveHead(ctx context.Context, from, to Head) (Head, error) {
	text, err := json.Marshal(to)
	if err != nil {
		return Head{}, errors.Wrap(err, "encode head")
	}
	to.storeRevision, err = r.store.Swap(ctx, store.Item{Key: HeadKey, Value: string(text)}, from.storeRevision)
	if err != nil {
		return Head{}, errors.Wrap(err, "move settings head")
	}
	return to, nil
}

// writeDocuments writes the documents that the commit of head does not contain, and returns the
// digests of all documents by file name.
func (r *Repository) writeDocuments(ctx context.Context, head Head, docs map[string]string) (map[string]Digest, error) {
	stored, err := r.storedDigests(ctx, head)
	if err != nil {
		return nil, err
	}
	files := make(map[string]Digest, len(docs))
	for file, text := range docs {
		digest := DigestOf(text)
		files[file] = digest
		if stored[digest] {
			continue
		}
		if err := r.writeIfAbsent(ctx, docPrefix+string(digest), text); err != nil {
			return nil, errors.Wrapf(err, "write document %s", file)
		}
		stored[digest] = true
	}
	return files, nil
}

// storedDigests returns the digests of the documents that the commit of head contains.
func (r *Repository) storedDigests(ctx context.Context, head Head) (map[Digest]bool, error) {
	stored := map[Digest]bool{}
	if head.Revision == 0 {
		return stored, nil
	}
	commit, err := r.Commit(ctx, head.Commit)
	if err != nil {
		return nil, err
	}
	for _, digest := range commit.Files {
		stored[digest] = true
	}
	return stored, nil
}

// writeIfAbsent writes a text under a key that contains its digest. A value that exists already
// has the same digest and thus the same text.
func (r *Repository) writeIfAbsent(ctx context.Context, key, text string) error {
	_, err := r.store.Swap(ctx, store.Item{Key: key, Value: text}, 0)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}
