package clientlimit

import "github.com/cockroachdb/errors"

// errHeadTooLong ends a connection whose request has too many lines.
var errHeadTooLong = errors.New("the request's head has too many lines")

// headLines counts the lines of a head up to the empty line at its end. It takes the text in parts. A line takes many
// times its text once it is in an http.Header.
type headLines struct {
	count  int
	inLine bool // the present line is not empty
	ended  bool
}

func (h *headLines) add(part []byte) {
	for _, b := range part {
		switch {
		case h.ended:
			return
		case b == '\n':
			h.ended = !h.inLine
			h.count++
			h.inLine = false
		case b != '\r':
			h.inLine = true
		}
	}
}

func (h *headLines) tooMany() bool {
	return h.count > maxHeadLines
}
