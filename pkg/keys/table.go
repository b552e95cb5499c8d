package keys

import (
	"time"

	"foldarch.dev/foldarch/pkg/result"
)

// Key identifies a request. The caller is part of it because two callers may use the same text.
type Key struct {
	Caller string
	Text   string
}

// Request is one arrival of a request with a key.
type Request struct {
	Key
	// Digest is a hash of the request; a key may be reused only with the same digest.
	Digest        uint64
	IssuedAt      time.Time // when the caller issued the key; zero when the caller gave no time
	NotRepeatable bool
	TimeLimit     time.Duration // longest time that the request may run
}

// Answer is the final result of a request.
type Answer struct {
	Code     result.Code
	Message  string
	Body     []byte
	Endpoint string
}

// Kind says what to do with a request.
type Kind int

// The kinds of verdict.
const (
	Fresh          Kind = iota // run it; the key is now in progress
	InProgress                 // it is running, or may still be
	Answered                   // it ran; Verdict.Answer is its answer
	AnsweredNoBody             // it ran; the body of its answer was not kept, to stay within MaxBytes
	Reused                     // the key was used before with another digest
	Unknown                    // it may have run before the takeover, or before the window
	TooEarly                   // the issue time lies in the future
	Full                       // the table has no room for the key: not run
)

// Verdict is the table's decision about a request.
type Verdict struct {
	Kind   Kind
	Answer Answer
	// RetryAfter is how long the caller should wait before a retry, for InProgress and Full.
	RetryAfter time.Duration
}

// Config sets the limits of a table.
type Config struct {
	Window     time.Duration // how long a key is kept
	MaxSkew    time.Duration // largest difference between the clocks of entry hosts
	MaxKeys    int
	MaxBytes   int           // total size of the answer bodies that are kept
	RetryAfter time.Duration // Verdict.RetryAfter of requests that this owner still runs, and of Full
}

// DefaultConfig is sized for the memory of an entry host; docs/CAPACITY.md has the calculation.
var DefaultConfig = Config{
	Window: 2 * time.Minute, MaxSkew: 500 * time.Millisecond,
	MaxKeys: 1 << 15, MaxBytes: 2 << 20, RetryAfter: 100 * time.Millisecond,
}

// Table holds the keys of recent requests and their answers. It is not safe for concurrent use.
type Table struct {
	cfg Config
	// takeoverTime is when this owner's epoch began, zero when there was no owner before.
	takeoverTime time.Time
	entries      map[Key]*entry
	expiries     []expiry // in order of time
	bodyBytes    int
	lastUseID    int
}

type entry struct {
	digest   uint64
	finished bool
	bodyKept bool
	answer   Answer
	useID    int // distinguishes this entry from an earlier one of the same key that Abort removed
}

type expiry struct {
	key   Key
	at    time.Time
	useID int
}

// New returns an empty table for an owner that took the shard over at the given time, or
// for the first owner of the shard when the time is zero.
func New(cfg Config, takeoverTime time.Time) *Table {
	return &Table{cfg: cfg, takeoverTime: takeoverTime, entries: map[Key]*entry{}}
}

// Len returns the number of keys in the table.
func (t *Table) Len() int {
	return len(t.entries)
}

// Begin says what to do with a request. After Fresh the caller must call Finish or Abort.
func (t *Table) Begin(req Request, now time.Time) Verdict {
	t.expire(now)
	if e, ok := t.entries[req.Key]; ok {
		return t.checkKnownKey(e, req)
	}
	if v := t.checkUnknownKey(req, now); v.Kind != Fresh {
		return v
	}
	if len(t.entries) >= t.cfg.MaxKeys {
		return Verdict{Kind: Full, RetryAfter: t.cfg.RetryAfter}
	}
	t.insert(req, now)
	return Verdict{Kind: Fresh}
}

func (t *Table) insert(req Request, now time.Time) {
	t.lastUseID++
	t.entries[req.Key] = &entry{digest: req.Digest, useID: t.lastUseID}
	t.expiries = append(t.expiries, expiry{req.Key, now.Add(t.cfg.Window), t.lastUseID})
}

func (t *Table) checkKnownKey(e *entry, req Request) Verdict {
	switch {
	case e.digest != req.Digest:
		return Verdict{Kind: Reused}
	case !e.finished:
		return Verdict{Kind: InProgress, RetryAfter: t.cfg.RetryAfter}
	case !e.bodyKept:
		return Verdict{Kind: AnsweredNoBody, Answer: e.answer}
	}
	return Verdict{Kind: Answered, Answer: e.answer}
}

// checkUnknownKey decides about a request whose key is not in the table. The key may have
// been used before this owner took over, or so long ago that its entry has expired.
func (t *Table) checkUnknownKey(req Request, now time.Time) Verdict {
	if !req.IssuedAt.IsZero() {
		if req.IssuedAt.After(now.Add(t.cfg.MaxSkew)) {
			return Verdict{Kind: TooEarly}
		}
		if now.Sub(req.IssuedAt) > t.cfg.Window-2*t.cfg.MaxSkew {
			return Verdict{Kind: Unknown}
		}
	}
	if t.takeoverTime.IsZero() || t.issuedAfterTakeover(req) {
		return Verdict{Kind: Fresh}
	}
	sinceTakeover := now.Sub(t.takeoverTime)
	if req.NotRepeatable {
		if sinceTakeover > t.cfg.Window {
			return Verdict{Kind: Fresh}
		}
		return Verdict{Kind: Unknown}
	}
	if longest := req.TimeLimit + t.cfg.MaxSkew; sinceTakeover < longest {
		return Verdict{Kind: InProgress, RetryAfter: longest - sinceTakeover}
	}
	return Verdict{Kind: Fresh}
}

// issuedAfterTakeover reports whether the previous owner can't have accepted the key. This
// holds even when the caller's clock is wrong: the previous owner refused keys issued more
// than MaxSkew after its own time, and its clock differs from ours by at most MaxSkew.
func (t *Table) issuedAfterTakeover(req Request) bool {
	return !req.IssuedAt.IsZero() && req.IssuedAt.After(t.takeoverTime.Add(2*t.cfg.MaxSkew))
}

// Finish records the answer of a request. The body is dropped when MaxBytes would be exceeded.
func (t *Table) Finish(k Key, a Answer) {
	e, ok := t.entries[k]
	if !ok {
		return
	}
	e.finished, e.bodyKept = true, true
	if t.bodyBytes+len(a.Body) > t.cfg.MaxBytes {
		a.Body, e.bodyKept = nil, len(a.Body) == 0
	}
	t.bodyBytes += len(a.Body)
	e.answer = a
}

// Abort removes the key of a request that certainly did not run, so that it can be used again.
func (t *Table) Abort(k Key) {
	if e, ok := t.entries[k]; ok && !e.finished {
		delete(t.entries, k)
	}
}

// expire removes the keys whose window has passed. A key in progress stays for another window.
func (t *Table) expire(now time.Time) {
	n := 0
	for n < len(t.expiries) && now.After(t.expiries[n].at) {
		next := t.expiries[n]
		n++
		e, ok := t.entries[next.key]
		if !ok || e.useID != next.useID {
			continue
		}
		if !e.finished {
			t.expiries = append(t.expiries, expiry{next.key, now.Add(t.cfg.Window), next.useID})
			continue
		}
		t.bodyBytes -= len(e.answer.Body)
		delete(t.entries, next.key)
	}
	t.expiries = t.expiries[n:]
}
