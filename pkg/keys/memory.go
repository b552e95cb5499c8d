package keys

import (
	"time"

	"foldarch.dev/foldarch/pkg/result"
)

// Key is a caller's key; two callers may use the same text.
type Key struct {
	Caller string
	Text   string
}

// Use is one arrival of a key.
type Use struct {
	Key
	// Digest tells bodies apart: a key stands for one body.
	Digest        uint64
	IssuedAt      time.Time // when the caller made the key; zero when it did not say
	NotRepeatable bool
	TimeLimit     time.Duration // longest time that the request may run
}

// Answer is what a request came to.
type Answer struct {
	Code     result.Code
	Message  string
	Body     []byte
	Endpoint string
}

// Kind says what to do with a use.
type Kind int

// The kinds of verdict.
const (
	Fresh          Kind = iota // run it; the key is now in progress
	InProgress                 // it is running, or may still be
	Answered                   // it ran; the answer is given
	AnsweredNoBody             // it ran; its answer was too old or large to keep
	Reused                     // the key stands for another body
	Unknown                    // it may have run before the takeover or the window
	TooEarly                   // the key was made in the future
	Full                       // no room to remember the key: not run
)

// Verdict is the answer to a use.
type Verdict struct {
	Kind   Kind
	Answer Answer
	// RetryAfter is when a use in progress may have its answer.
	RetryAfter time.Duration
}

// Config bounds a memory.
type Config struct {
	Window     time.Duration // how long a key is remembered
	MaxSkew    time.Duration // how far the clocks of entry hosts may be apart
	MaxKeys    int
	MaxBytes   int           // of answers that are kept
	RetryAfter time.Duration // told with InProgress
}

// DefaultConfig fits the memory of an entry host; docs/CAPACITY.md has the reckoning.
var DefaultConfig = Config{
	Window: 2 * time.Minute, MaxSkew: 500 * time.Millisecond,
	MaxKeys: 1 << 15, MaxBytes: 2 << 20, RetryAfter: 100 * time.Millisecond,
}

// Memory remembers keys. It is not safe for concurrent use.
type Memory struct {
	cfg Config
	// takenOver is when this owner's epoch began, zero when there was no owner before.
	takenOver time.Time
	entries   map[Key]*entry
	order     []expiry // by time
	bytes     int
	uses      int
}

type entry struct {
	digest uint64
	ended  bool
	kept   bool
	answer Answer
	use    int // tells two uses of one key after a Forget apart
}

type expiry struct {
	key Key
	at  time.Time
	use int
}

// New returns an empty memory of an owner who took over at the given time, or of the
// first owner of all when the time is zero.
func New(cfg Config, takenOver time.Time) *Memory {
	return &Memory{cfg: cfg, takenOver: takenOver, entries: map[Key]*entry{}}
}

// Len returns how many keys are remembered.
func (m *Memory) Len() int {
	return len(m.entries)
}

// Begin says what to do with a use. After Fresh the caller owes Finish or Forget.
func (m *Memory) Begin(u Use, now time.Time) Verdict {
	m.expire(now)
	if e, ok := m.entries[u.Key]; ok {
		return m.repeated(e, u)
	}
	if v := m.beforeMemory(u, now); v.Kind != Fresh {
		return v
	}
	if len(m.entries) >= m.cfg.MaxKeys {
		return Verdict{Kind: Full, RetryAfter: m.cfg.RetryAfter}
	}
	m.remember(u, now)
	return Verdict{Kind: Fresh}
}

func (m *Memory) remember(u Use, now time.Time) {
	m.uses++
	m.entries[u.Key] = &entry{digest: u.Digest, use: m.uses}
	m.order = append(m.order, expiry{u.Key, now.Add(m.cfg.Window), m.uses})
}

func (m *Memory) repeated(e *entry, u Use) Verdict {
	switch {
	case e.digest != u.Digest:
		return Verdict{Kind: Reused}
	case !e.ended:
		return Verdict{Kind: InProgress, RetryAfter: m.cfg.RetryAfter}
	case !e.kept:
		return Verdict{Kind: AnsweredNoBody, Answer: e.answer}
	}
	return Verdict{Kind: Answered, Answer: e.answer}
}

// beforeMemory judges a key that is not remembered: can it have been used before?
func (m *Memory) beforeMemory(u Use, now time.Time) Verdict {
	if !u.IssuedAt.IsZero() {
		if u.IssuedAt.After(now.Add(m.cfg.MaxSkew)) {
			return Verdict{Kind: TooEarly}
		}
		if now.Sub(u.IssuedAt) > m.cfg.Window-2*m.cfg.MaxSkew {
			return Verdict{Kind: Unknown}
		}
	}
	if m.takenOver.IsZero() || m.madeAfterTakeover(u) {
		return Verdict{Kind: Fresh}
	}
	since := now.Sub(m.takenOver)
	if u.NotRepeatable {
		if since > m.cfg.Window {
			return Verdict{Kind: Fresh}
		}
		return Verdict{Kind: Unknown}
	}
	if over := u.TimeLimit + m.cfg.MaxSkew; since < over {
		return Verdict{Kind: InProgress, RetryAfter: over - since}
	}
	return Verdict{Kind: Fresh}
}

// madeAfterTakeover is sure even when the caller's clock is wrong: the former owner took
// no key that was made later than MaxSkew after its own time, and its time and ours
// differ by MaxSkew at the most.
func (m *Memory) madeAfterTakeover(u Use) bool {
	return !u.IssuedAt.IsZero() && u.IssuedAt.After(m.takenOver.Add(2*m.cfg.MaxSkew))
}

// Finish records what a request came to.
func (m *Memory) Finish(k Key, a Answer) {
	e, ok := m.entries[k]
	if !ok {
		return
	}
	e.ended, e.kept = true, true
	if m.bytes+len(a.Body) > m.cfg.MaxBytes {
		a.Body, e.kept = nil, len(a.Body) == 0
	}
	m.bytes += len(a.Body)
	e.answer = a
}

// Forget takes back a use that is known not to have run, so that the key can be used.
func (m *Memory) Forget(k Key) {
	if e, ok := m.entries[k]; ok && !e.ended {
		delete(m.entries, k)
	}
}

// expire forgets the keys whose window is over. One that is still in progress stays.
func (m *Memory) expire(now time.Time) {
	n := 0
	for n < len(m.order) && now.After(m.order[n].at) {
		x := m.order[n]
		n++
		e, ok := m.entries[x.key]
		if !ok || e.use != x.use {
			continue
		}
		if !e.ended {
			m.order = append(m.order, expiry{x.key, now.Add(m.cfg.Window), x.use})
			continue
		}
		m.bytes -= len(e.answer.Body)
		delete(m.entries, x.key)
	}
	m.order = m.order[n:]
}
