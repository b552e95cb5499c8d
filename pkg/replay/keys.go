package replay

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/keys"
	"foldarch.dev/foldarch/pkg/result"
	"github.com/cockroachdb/errors"
)

// beginKey is the event that a request with an idempotency key arrives. Times are milliseconds of the trace.
type use struct {
	Caller string `json:"caller"`
	Key    string `json:"key"`
	Body   uint64 `json:"body"`   // digest of the request's body
	Issued int64  `json:"issued"` // 0 if the caller did not send the time
	Once   bool   `json:"once"`
	Limit  int64  `json:"limit"`
}

// errNoKeysInUse is returned for the event "answer" if the key table is empty.
var errNoKey = errors.New("no key is in use")

// keyCompletion is the event that the request with a key was answered, or that it did not run.
type end struct {
	Caller string `json:"caller"`
	Key    string `json:"key"`
	Body   string `json:"body"`
}

// keyVerdictNames are the names of the verdicts, indexed by keys.Verdict.Kind.
var verdicts = [...]string{"fresh", "in_progress", "answered", "answered_no_body", "reused", "unknown", "too_early", "full"}

// toWallTime converts a time of the trace to a wall-clock time: 0 is the Unix epoch.
func wall(now clock.Time) time.Time {
	return time.UnixMilli(int64(now))
}

// applyKeyEvent applies an event of package keys. It returns known = false if e is another event.
func (p *player) playKeys(e event, now clock.Time) (known bool, err error) {
	switch {
	case e.Takeover:
		p.memory = keys.New(keys.DefaultConfig, wall(now))
	case e.Use != nil:
		p.use(*e.Use, now)
	case e.Answer != nil:
		if p.memory.Len() == 0 {
			return true, errNoKey
		}
		p.memory.Finish(keys.Key{Caller: e.Answer.Caller, Text: e.Answer.Key}, keys.Answer{Code: result.OK, Body: []byte(e.Answer.Body)})
	case e.NotRun != nil:
		p.memory.Forget(keys.Key{Caller: e.NotRun.Caller, Text: e.NotRun.Key})
	default:
		return false, nil
	}
	return true, nil
}

// beginKey looks up a key on the arrival of its request and prints the verdict.
func (p *player) use(u use, now clock.Time) {
	k := keys.Use{
		Key: keys.Key{Caller: u.Caller, Text: u.Key}, Digest: u.Body, NotRepeatable: u.Once,
		TimeLimit: time.Duration(u.Limit) * time.Millisecond,
	}
	if u.Issued != 0 {
		k.IssuedAt = wall(clock.Time(u.Issued))
	}
	v := p.memory.Begin(k, wall(now))
	text := ""
	if len(v.Answer.Body) > 0 {
		text = " answer=" + string(v.Answer.Body)
	}
	p.print(now, "key=%s/%s verdict=%s%s", u.Caller, u.Key, verdicts[v.Kind], text)
}
