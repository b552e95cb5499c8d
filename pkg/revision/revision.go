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

// HeadKey is the key of the store that names the commit in force.
const HeadKey = "cell/settings/head"

const (
	commitPrefix = "settings/commit/"
	docPrefix    = "settings/doc/"
)

// Digest is the hex form of the first half of a SHA-256.
type Digest string

// Head names the commit in force.
type Head struct {
	Revision int64  `json:"revision"`
	WriteID  string `json:"write_id"`
	Commit   Digest `json:"commit"`

	// stored is the revision of the head's key in the store, 0 when there is no head.
	stored int64
}

// Commit is one set of documents and where it came from.
type Commit struct {
	Revision int64             `json:"revision"`
	Parent   Digest            `json:"parent"`
	Author   string            `json:"author"`
	Note     string            `json:"note"`
	At       time.Time         `json:"at"`
	Files    map[string]Digest `json:"files"`
}

// Change says who changes the settings and why.
type Change struct {
	Author string
	Note   string
}

// Book reads and writes the settings of one cell.
type Book struct {
	store *store.Store
	clk   clock.Clock
}

// New returns the book of the cell whose store is given.
func New(s *store.Store, clk clock.Clock) *Book {
	return &Book{store: s, clk: clk}
}

// DigestOf returns the digest under which a text is stored.
func DigestOf(text string) Digest {
	sum := sha256.Sum256([]byte(text))
	return Digest(hex.EncodeToString(sum[:16]))
}

// ParseHead reads a head as it stands in the store.
func ParseHead(item store.Item) (Head, error) {
	var h Head
	if err := json.Unmarshal([]byte(item.Value), &h); err != nil {
		return Head{}, errors.Wrap(err, "settings head")
	}
	h.stored = item.Revision
	return h, nil
}

// Apply makes docs the settings in force, provided that head is still in force. The
// error is store.ErrConflict when it is not, and store.ErrTooLarge, with the file's name,
// when a document does not fit; in both cases nothing is changed.
func (b *Book) Apply(ctx context.Context, head Head, docs map[string]string, change Change) (Head, error) {
	files, err := b.writeDocuments(ctx, head, docs)
	if err != nil {
		return Head{}, err
	}
	commit := Commit{
		Revision: head.Revision + 1, Parent: head.Commit, Files: files,
		Author: change.Author, Note: change.Note, At: b.clk.Wall().UTC(),
	}
	text, err := json.Marshal(commit)
	if err != nil {
		return Head{}, errors.Wrap(err, "encode commit")
	}
	digest := DigestOf(string(text))
	if err := b.writeOnce(ctx, commitPrefix+string(digest), string(text)); err != nil {
		return Head{}, errors.Wrap(err, "write commit")
	}
	return b.moveHead(ctx, head, Head{Revision: commit.Revision, WriteID: uuid.NewString(), Commit: digest})
}

func (b *Book) moveHead(ctx context.Context, from, to Head) (Head, error) {
	text, err := json.Marshal(to)
	if err != nil {
		return Head{}, errors.Wrap(err, "encode head")
	}
	to.stored, err = b.store.Swap(ctx, store.Item{Key: HeadKey, Value: string(text)}, from.stored)
	if err != nil {
		return Head{}, errors.Wrap(err, "move settings head")
	}
	return to, nil
}

// writeDocuments writes the documents that the commit in force does not have.
func (b *Book) writeDocuments(ctx context.Context, head Head, docs map[string]string) (map[string]Digest, error) {
	stored, err := b.storedDigests(ctx, head)
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
		if err := b.writeOnce(ctx, docPrefix+string(digest), text); err != nil {
			return nil, errors.Wrapf(err, "write document %s", file)
		}
		stored[digest] = true
	}
	return files, nil
}

func (b *Book) storedDigests(ctx context.Context, head Head) (map[Digest]bool, error) {
	stored := map[Digest]bool{}
	if head.Revision == 0 {
		return stored, nil
	}
	commit, err := b.Commit(ctx, head.Commit)
	if err != nil {
		return nil, err
	}
	for _, digest := range commit.Files {
		stored[digest] = true
	}
	return stored, nil
}

// writeOnce writes a value under its digest; one that is there already is the same.
func (b *Book) writeOnce(ctx context.Context, key, text string) error {
	_, err := b.store.Swap(ctx, store.Item{Key: key, Value: text}, 0)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}
