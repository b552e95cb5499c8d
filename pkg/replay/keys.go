package replay

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/keys"
	"foldarch.dev/foldarch/pkg/result"
	"github.com/cockroachdb/errors"
)

// use is one arrival of a key; times are milliseconds of the trace.
type use struct {
	Caller string `json:"caller"`
	Key    string `json:"key"`
	Body   uint64 `json:"body"`
	Issued int64  `json:"issued"` // 0 when the caller did not say
	Once   bool   `json:"once"`
	Limit  int64  `json:"limit"`
}

// errNoKey is the fault of an answer to a key that was not used.
var errNoKey = errors.New("the key is not in use")

type end struct {
	Caller string `json:"caller"`
	Key    string `json:"key"`
	Body   string `json:"body"`
}

var verdicts = [...]string{"fresh", "in_progress", "answered", "answered_no_body", "reused", "unknown", "too_early", "full"}

// wall maps the time of the trace to a time of day.
func wall(now clock.Time) time.Time {
	return time.UnixMilli(int64(now))
}

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
