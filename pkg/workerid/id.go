package workerid

import (
	"strconv"
	"strings"
)

// ID names one life of a worker: the worker's name, which it keeps when it starts again, and when that life began, such as
// "i-058fd8d354@1767225600000". So whatever is kept by it is of one life: the next one is another worker. The beginning is by the
// worker's own time of day, which may have been stepped; two are compared for being the same only. Where the
// platform does not tell it, an ID is the name, and a worker that starts again has another name.
type ID string

const incarnationSeparator = "@"

// New returns the ID of the life of a worker that began at a time, in Unix ms; 0 when that is not told.
func New(name string, born int64) ID {
	if born == 0 {
		return ID(name)
	}
	return ID(name + incarnationSeparator + strconv.FormatInt(born, 10))
}

// Name is the worker's name.
func (id ID) Name() string {
	name, _ := id.split()
	return name
}

// StartedAt is when the life began, in Unix ms; 0 when that is not told.
func (id ID) StartedAt() int64 {
	_, born := id.split()
	return born
}

func (id ID) split() (name string, born int64) {
	at := strings.LastIndex(string(id), incarnationSeparator)
	if at < 0 {
		return string(id), 0
	}
	born, err := strconv.ParseInt(string(id[at+1:]), 10, 64)
	if err != nil {
		return string(id), 0 // a name with a sign like the separator
	}
	return string(id[:at]), born
}
