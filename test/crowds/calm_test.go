package crowds_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

const (
	specBytes     = 4000 // the longest spec that callers may send
	manySteps     = 48
	labelBytes    = 200
	piecesOfBody  = 10
	pieceInterval = 100 * time.Millisecond
	keptOpen      = 20 * time.Second
)

// largestJob returns a job with the longest spec and several dozen steps with long labels.
func largestJob() []byte {
	var steps []map[string]any
	for n := range manySteps {
		step := map[string]any{
			"count": 1, "cpu": 100, "memMb": 100, "estimatedMs": 10, "speculative": true, "checkpointing": true,
			"requirements": strings.Repeat("r", labelBytes), "affinity": strings.Repeat("a", labelBytes), "image": strings.Repeat("i", labelBytes),
		}
		if n > 0 {
			step["after"] = []int{n - 1}
		}
		steps = append(steps, step)
	}
	return jobBody(strings.Repeat("s", specBytes), steps)
}

// padded returns a body with white space at its end, up to the given size.
func padded(body []byte, size int) []byte {
	return append(bytes.Clone(body), bytes.Repeat([]byte(" "), size-len(body))...)
}

// slowReader returns a body in pieces with a pause before each.
type slowReader struct {
	text  []byte
	piece int
}

func newSlowReader(text []byte) *slowReader {
	return &slowReader{text, len(text)/piecesOfBody + 1}
}

// Read returns the next piece.
func (r *slowReader) Read(p []byte) (int, error) {
	if len(r.text) == 0 {
		return 0, io.EOF
	}
	time.Sleep(pieceInterval)
	n := copy(p, r.text[:min(r.piece, len(r.text))])
	r.text = r.text[n:]
	return n, nil
}

// expectAccepted submits a job on a new connection. With a negative length the body is chunked.
func (h *host) expectAccepted(body io.Reader, length int) {
	r, err := http.NewRequest(http.MethodPost, "http://"+h.callers+newJobPath(), body)
	h.Expect(err).NotTo(HaveOccurred())
	r.Host, r.ContentLength = emulator.QueueHost, int64(length)
	client := &http.Client{Timeout: 2 * answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(r)
	h.Expect(err).NotTo(HaveOccurred())
	text, err := io.ReadAll(res.Body)
	h.Expect(err).NotTo(HaveOccurred())
	h.Expect(res.StatusCode).To(Equal(http.StatusOK), "%s", text)
}

// Guards against limits that turn away the largest requests that callers may send.
func TestLargestRequestsAreServedInCalm(t *testing.T) {
	h := newHost(t)
	for _, body := range [][]byte{largestJob(), padded(largestJob(), largestBodyBytes-1)} {
		h.expectAccepted(bytes.NewReader(body), len(body))
		h.expectAccepted(newSlowReader(body), len(body))
		h.expectAccepted(newSlowReader(body), -1)
		h.expectAccepted(io.MultiReader(bytes.NewReader(body)), -1)
	}
}

// Guards against connections that are closed between requests.
func TestConnectionIsUsedAgainAfterAWhile(t *testing.T) {
	h := newHost(t)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	reused := 0
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if i.Reused {
			reused++
		}
	}})
	submit := func() {
		status, answer := callWith(ctx, client, http.MethodPost, h.callers, newJobPath(), bytes.NewReader(ordinaryBody()))
		h.Expect(status).To(Equal(http.StatusOK), answer)
	}
	submit()
	time.Sleep(keptOpen)
	submit()
	h.Expect(reused).To(Equal(1), fmt.Sprintf("requests on a connection that was kept for %s", keptOpen))
}
