package crowds_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"

	"foldarch.dev/foldarch/platform/emulator"
)

// maxTries is on how many connections, one after the other, an ordinary client tries a request.
const maxTries = 5

// ordinaryBody returns the request body of a small job.
func ordinaryBody() []byte {
	return jobBody("ms=10", []emulator.Step{{Count: 1, CPU: 100, MemoryMB: 100, Estimate: 10}})
}

func jobBody(spec string, steps any) []byte {
	body, _ := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	return body
}

// newJobPath returns the path of a job with a new id.
func newJobPath() string {
	return fmt.Sprintf("%s%016x", emulator.PathPrefix, rand.Uint64())
}

// submitJob submits an ordinary job to a host of the platform and reports whether it was accepted.
func (h *host) submitJob() bool {
	status, _ := call(http.MethodPost, h.callers, newJobPath(), bytes.NewReader(ordinaryBody()))
	return status == http.StatusOK
}

// checkReady makes the platform's health check and reports whether it passed.
func (h *host) checkReady() bool {
	status, _ := call(http.MethodGet, h.ready, readinessPath, nil)
	return status == http.StatusOK
}

// triesUntil returns at which try a request succeeded; 0 if at none of maxTries.
func triesUntil(succeeds func() bool) int {
	for n := range maxTries {
		if succeeds() {
			return n + 1
		}
	}
	return 0
}

// call makes a request on a new connection. Status 0 means that no complete answer arrived in time.
func call(method, address, path string, body io.Reader) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return callWith(ctx, client, method, address, path, body)
}

func callWith(ctx context.Context, client *http.Client, method, address, path string, body io.Reader) (status int, answer string) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return 0, err.Error()
	}
	r.Host = emulator.QueueHost
	r.Header.Set("Content-Type", "application/json")
	return send(client, r)
}

// send sends a request and reads its whole answer. Status 0 means that there is none.
func send(client *http.Client, r *http.Request) (status int, answer string) {
	res, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(text)
}
