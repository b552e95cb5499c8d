package shard

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/dialer"
	"foldarch.dev/foldarch/pkg/endpoint"
	"foldarch.dev/foldarch/pkg/result"
	"foldarch.dev/foldarch/pkg/settings"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
)

// Guards against the answer that a request did not run, when it ran, failed and could not be sent again. Its key must
// not be free for another run either.
func TestRefusedRetryDoesNotSayThatTheRequestHasNotRun(t *testing.T) {
	const id = "scoring/north/0"
	for name, beforeRetry := range map[string]func(e *Engine, authorized *atomic.Bool){
		"no endpoint is left": func(e *Engine, _ *atomic.Bool) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.removeEndpoint(id)
		},
		"the endpoint refuses":          func(*Engine, *atomic.Bool) {},
		"the owner loses its authority": func(_ *Engine, authorized *atomic.Bool) { authorized.Store(false) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var authorized atomic.Bool
			authorized.Store(true)
			e := newRecoveredOwner(t, newSegmentStore(), 1, authorized.Load)
			runs := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // a request is complete with its body
				if runs++; runs > 1 {
					w.Header().Set(endpoint.RefusedHeader, endpoint.RefusedLeaving)
				} else {
					beforeRetry(e, &authorized)
				}
				w.WriteHeader(http.StatusInternalServerError)
			}))
			defer server.Close()
			tree, faults := settings.Parse(map[string]string{
				"cell.toml":    "[[hall]]\nname = \"north\"\nregion = \"r\"\n[team.t]\n[rules.resources]\ncpu_millis = 1000\nmemory_mb = 1000\n",
				"scoring.toml": "kind = \"service\"\nteam = \"t\"\ninstances = 1\n[rules]\nrepeatable = true\nretries = 1\n",
			})
			g.Expect(faults).To(BeEmpty())
			e.SetTree(tree)
			e.mu.Lock()
			e.deps.Endpoints = endpoint.New(dialer.New(nil, time.Second, metrics.NewCounter()), 1<<20)
			e.endpoints[id] = &endpointState{address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), workload: "scoring"}
			e.router.PutEndpoint("scoring", id, 1, false)
			e.mu.Unlock()
			call := Call{Service: "scoring", Caller: "tester", Key: "k", Body: []byte("x"), Deadline: e.now().Add(5 * time.Second)}

			a := e.Call(context.Background(), call)
			g.Expect(a.Code).To(Equal(result.EndpointFailed), a.Message)
			authorized.Store(true)
			g.Expect(e.Call(context.Background(), call).Code).To(Equal(result.EndpointFailed))
		})
	}
}
