package crowds_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptrace"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// expectServed calls the service with a body of the given text, which reader returns, on a new connection. With a
// negative length the body is chunked.
func (h *host) expectServed(text []byte, reader io.Reader, length int) {
	r := h.newCall(h.t.Context(), nil)
	r.Body, r.ContentLength = io.NopCloser(reader), int64(length)
	client := &http.Client{Timeout: 2 * answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	status, answer := send(client, r)
	h.Expect(status).To(Equal(http.StatusOK), "a body of %d bytes", len(text))
	h.Expect(bytes.HasSuffix([]byte(answer), text)).To(BeTrue(), "the endpoint has received the whole body")
}

// Guards against limits that turn away the largest requests that callers may send.
func TestLargestCallsOfACellAreServedInCalm(t *testing.T) {
	h := newCellHost(t)
	for _, size := range []int{largeBodyBytes, largestBodyBytes} {
		text := unusableBody(size)
		h.expectServed(text, bytes.NewReader(text), len(text))
		h.expectServed(text, newSlowReader(text), len(text))
		h.expectServed(text, newSlowReader(text), -1)
		h.expectServed(text, bytes.NewReader(text), -1)
	}
}

// Guards against connections that are closed between requests.
func TestConnectionToACellIsUsedAgainAfterAWhile(t *testing.T) {
	h := newCellHost(t)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	reused := 0
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if i.Reused {
			reused++
		}
	}})
	expectServed := func() {
		status, answer := send(client, h.newCall(ctx, []byte("ms=1 x")))
		h.Expect(status).To(Equal(http.StatusOK), answer)
	}
	expectServed()
	time.Sleep(keptOpen)
	expectServed()
	h.Expect(reused).To(Equal(1), "requests on a connection that was kept for %s", keptOpen)
}
