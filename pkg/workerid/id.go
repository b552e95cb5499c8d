package workerid

import (
	"strconv"
	"strings"
)

// ID identifies one incarnation of a worker by the worker's name, which stays the same when its process
// starts again, and the time at which this incarnation started, such as "i-058fd8d354@1767225600000". So
// whatever is stored under an ID belongs to one incarnation: the next one counts as another worker. The
// time is read from the worker's own wall clock, which may have been stepped, so two IDs may only be
// compared for equality. On a platform that does not report this time, the ID is the name alone, and a
// worker that starts again has another name.
type ID string

const incarnationSeparator = "@"

// New returns the ID of the incarnation of a worker that started at startedAt, in Unix ms; 0 when that
// time is not known.
func New(name string, startedAt int64) ID {
	if startedAt == 0 {
		return ID(name)
	}
	return ID(name + incarnationSeparator + strconv.FormatInt(startedAt, 10))
}

// Name returns the worker's name, which all its incarnations share.
func (id ID) Name() string {
	name, _ := id.split()
	return name
}

// StartedAt returns when the incarnation started, in Unix ms; 0 when that is not known.
func (id ID) StartedAt() int64 {
	_, startedAt := id.split()
	return startedAt
}

func (id ID) split() (name string, startedAt int64) {
	at := strings.LastIndex(string(id), incarnationSeparator)
	if at < 0 {
		return string(id), 0
	}
	startedAt, err := strconv.ParseInt(string(id[at+1:]), 10, 64)
	if err != nil {
		return string(id), 0 // the name itself contains the separator
	}
	return string(id[:at]), startedAt
}
