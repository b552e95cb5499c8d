package crowds_test

import (
	"bytes"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"

	"foldarch.dev/foldarch/platform/emulator"
)

const (
	headPieceBytes    = 4 << 10
	oversizedHead     = 2 << 20 // larger than the heads that net/http takes by default
	largeBodyBytes    = 200 << 10
	largestBodyBytes  = 256 << 10 // that the host takes
	bodyPieceBytes    = 16 << 10
	missingBytes      = 16       // by which a client stops short of the end of its body
	smallChunkedBytes = 64 << 10 // of a body in chunks of one byte
	chunksAtOnce      = 4 << 10
)

// requestLine is what the requests of a crowd begin with.
type requestLine struct {
	method string
	path   func() string
	lines  []string // further ones of the head
}

// newJobs are requests to submit a new job each.
var newJobs = requestLine{"POST", newJobPath, []string{"Host: " + emulator.QueueHost, "Content-Type: application/json"}}

// requestsTo returns requests to a path of a host of the platform.
func requestsTo(method, path string) requestLine {
	return requestLine{method, func() string { return path }, newJobs.lines}
}

// head returns the head of a request with the given further lines.
func (l requestLine) head(lines ...string) []byte {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\n", l.method, l.path())
	for _, further := range slices.Concat(l.lines, lines) {
		text += further + "\r\n"
	}
	return []byte(text + "\r\n")
}

func contentLength(n int) string {
	return fmt.Sprintf("Content-Length: %d", n)
}

// unusableBody returns a body of the given size that no queue takes, since its job has no steps.
func unusableBody(size int) []byte {
	empty := []byte(`{"spec":"","steps":[]}`)
	return append(empty, bytes.Repeat([]byte(" "), size-len(empty))...)
}

// bodyOfEmptySteps returns a body of the given size whose decoded form is many times as large.
func bodyOfEmptySteps(size int) []byte {
	const begin, step, end = `{"spec":"","steps":[{}`, `,{}`, `]}`
	text := begin + strings.Repeat(step, (size-len(begin)-len(end))/len(step)) + end
	return append([]byte(text), bytes.Repeat([]byte(" "), size-len(text))...)
}

// sendOversizedHead sends a head that is longer than any server takes.
func (l requestLine) sendOversizedHead(c net.Conn, _ int) {
	text := l.head("X-Pad: " + strings.Repeat("a", oversizedHead))
	for len(text) > 0 {
		n := min(headPieceBytes, len(text))
		if _, err := c.Write(text[:n]); err != nil {
			return
		}
		text = text[n:]
	}
}

// sendEndlessHead sends lines of a head until its connection is closed.
func (l requestLine) sendEndlessHead(c net.Conn, _ int) {
	text := l.head()
	if !sendPieces(c, text[:len(text)-len("\r\n")], len(text)) {
		return
	}
	for n := 0; sendPieces(c, fmt.Appendf(nil, "X-Pad-%d: %s\r\n", n, strings.Repeat("a", headPieceBytes)), 2*headPieceBytes); n++ {
	}
}

// sendEmptyLines sends empty lines until its connection is closed.
func sendEmptyLines(c net.Conn, _ int) {
	lines := bytes.Repeat([]byte("\r\n"), headPieceBytes/2)
	for sendPieces(c, lines, len(lines)) {
	}
}

// sendNothing leaves its connection as it is.
func sendNothing(net.Conn, int) {}

// wholeBody returns a script that sends a request with the body at once.
func (l requestLine) wholeBody(body []byte) script {
	return func(c net.Conn, _ int) {
		_, _ = c.Write(append(l.head(contentLength(len(body))), body...))
	}
}

// sendUnfinishedBody sends a request in pieces and stops short of the end of its body, except for some clients.
func (l requestLine) sendUnfinishedBody(c net.Conn, client int) {
	body := unusableBody(largeBodyBytes)
	if !sendPieces(c, l.head(contentLength(len(body))), headPieceBytes) {
		return
	}
	if !isFinisher(client) {
		body = body[:len(body)-missingBytes]
	}
	sendPieces(c, body, bodyPieceBytes)
}

// isFinisher reports whether a client of a crowd that stops short of the end sends its request whole.
func isFinisher(client int) bool {
	const finishers = 8 // one of so many
	return client%finishers == 0
}

// sendLargeChunk sends a chunked body of one chunk and stops short of the end of the chunk.
func (l requestLine) sendLargeChunk(c net.Conn, client int) {
	body := unusableBody(largeBodyBytes)
	text := fmt.Appendf(l.head("Transfer-Encoding: chunked"), "%x\r\n%s", len(body), body)
	if isFinisher(client) {
		text = append(text, "\r\n0\r\n\r\n"...)
	} else {
		text = text[:len(text)-missingBytes]
	}
	sendPieces(c, text, bodyPieceBytes)
}

// sendSmallChunks sends a chunked body in chunks of one byte and stops short of the last chunk.
func (l requestLine) sendSmallChunks(c net.Conn, client int) {
	var chunks []byte
	for _, b := range unusableBody(smallChunkedBytes) {
		chunks = append(chunks, '1', '\r', '\n', b, '\r', '\n')
	}
	if isFinisher(client) {
		chunks = append(chunks, "0\r\n\r\n"...)
	}
	if sendPieces(c, l.head("Transfer-Encoding: chunked"), headPieceBytes) {
		sendPieces(c, chunks, chunksAtOnce)
	}
}

// Guards against memory or descriptors used up by heads that are too long.
func TestCrowdOfOversizedHeads(t *testing.T) {
	h := newHost(t)
	h.withstand(crowdSize, h.callers, newJobs.sendOversizedHead)
}

// Guards against memory or descriptors used up by heads without end.
func TestCrowdOfEndlessHeads(t *testing.T) {
	h := newHost(t)
	h.withstand(crowdSize, h.callers, newJobs.sendEndlessHead)
}

// Guards against memory or descriptors used up by empty lines before a request.
func TestCrowdOfEmptyLines(t *testing.T) {
	h := newHost(t)
	h.withstand(crowdSize, h.callers, sendEmptyLines)
}

// Guards against memory used up by many large bodies at once.
func TestCrowdOfWholeBodies(t *testing.T) {
	h := newHost(t)
	h.withstand(crowdSize, h.callers, newJobs.wholeBody(unusableBody(largeBodyBytes)))
}

// Guards against memory used up by many bodies that are much larger when they are decoded.
func TestCrowdOfBodiesWithManySteps(t *testing.T) {
	h := newHost(t)
	h.withstand(crowdSize, h.callers, newJobs.wholeBody(bodyOfEmptySteps(largeBodyBytes)))
}

// Guards against memory or descriptors used up by bodies that do not end.
func TestCrowdOfUnfinishedBodies(t *testing.T) {
	h := newHost(t)
	h.withstand(crowdSize, h.callers, newJobs.sendUnfinishedBody)
}

// Guards against memory or descriptors used up by large chunks that do not end.
func TestCrowdOfLargeChunks(t *testing.T) {
	h := newHost(t)
	h.withstand(crowdSize, h.callers, newJobs.sendLargeChunk)
}

// Guards against memory or descriptors used up by bodies in small chunks that do not end.
func TestCrowdOfSmallChunks(t *testing.T) {
	h := newHost(t)
	h.withstand(crowdSize, h.callers, newJobs.sendSmallChunks)
}

// Guards against descriptors used up by connections that send nothing.
func TestCrowdOfSilentConnections(t *testing.T) {
	h := newHost(t)
	h.withstand(crowdSize, h.callers, sendNothing)
}
