package replay

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/keys"
	"foldarch.dev/foldarch/pkg/result"
	"github.com/cockroachdb/errors"
)

// beginKey is the event that a request with an idempotency key arrives. Times are milliseconds of the trace.
type beginKey struct {
	Caller      string `json:"caller"`
	Key         string `json:"key"`
	Body        uint64 `json:"body"`   // digest of the request's body
	IssuedAtMs  int64  `json:"issued"` // 0 if the caller did not send the time
	AtMostOnce  bool   `json:"once"`
	TimeLimitMs int64  `json:"limit"`
}

// errNoKeysInUse is returned for the event "answer" if the key table is empty.
var errNoKeysInUse = errors.New("no key is in use")

// keyCompletion is the event that the request with a key was answered, or that it did not run.
type keyCompletion struct {
	Caller string `json:"caller"`
	Key    string `json:"key"`
	Body   string `json:"body"`
}

// keyVerdictNames are the names of the verdicts, indexed by keys.Verdict.Kind.
var keyVerdictNames = [...]string{"fresh", "in_progress", "answered", "answered_no_body", "reused", "unknown", "too_early", "full"}

// toWallTime converts a time of the trace to a wall-clock time: 0 is the Unix epoch.
func toWallTime(now clock.Time) time.Time {
	return time.UnixMilli(int64(now))
}

// applyKeyEvent applies an event of package keys. It returns known = false if e is another event.
func (p *replayer) applyKeyEvent(e event, now clock.Time) (known bool, err error) {
	switch {
	case e.Takeover:
		p.keyTable = keys.New(keys.DefaultConfig, toWallTime(now))
	case e.Use != nil:
		p.beginKey(*e.Use, now)
	case e.Answer != nil:
		if p.keyTable.Len() == 0 {
			return true, errNoKeysInUse
		}
		p.keyTable.Finish(keys.Key{Caller: e.Answer.Caller, Text: e.Answer.Key}, keys.Answer{Code: result.OK, Body: []byte(e.Answer.Body)})
	case e.NotRun != nil:
		p.keyTable.Abort(keys.Key{Caller: e.NotRun.Caller, Text: e.NotRun.Key})
	default:
		return false, nil
	}
	return true, nil
}

// beginKey looks up a key on the arrival of its request and prints the verdict.
func (p *replayer) beginKey(u beginKey, now clock.Time) {
	k := keys.Request{
		Key: keys.Key{Caller: u.Caller, Text: u.Key}, Digest: u.Body, NotRepeatable: u.AtMostOnce,
		TimeLimit: time.Duration(u.TimeLimitMs) * time.Millisecond,
	}
	if u.IssuedAtMs != 0 {
		k.IssuedAt = toWallTime(clock.Time(u.IssuedAtMs))
	}
	v := p.keyTable.Begin(k, toWallTime(now))
	text := ""
	if len(v.Answer.Body) > 0 {
		text = " answer=" + string(v.Answer.Body)
	}
	p.printDecision(now, "key=%s/%s verdict=%s%s", u.Caller, u.Key, keyVerdictNames[v.Kind], text)
}
