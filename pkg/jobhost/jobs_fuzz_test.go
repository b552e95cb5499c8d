package jobhost

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

// A call without a customer's key must be denied and must store nothing, whatever its key, path and body
// are.
func FuzzJobHandler(f *testing.F) {
	const known = "north-key"
	for _, seed := range []struct{ method, key, second, path, body string }{
		{http.MethodPost, "", "", "/fits/5c0e7a21d94b36f8", `{"steps":[{"count":1}]}`},
		{http.MethodPost, known, known, "/fits/5c0e7a21d94b36f8", `{"steps":[{"count":1}]}`},
		{http.MethodPost, known, "", "/fits/5c0e7a21d94b36f8", `{"steps":[`},
		{http.MethodGet, "\xff\x00\n", "", "/fits/", ""},
		{http.MethodGet, strings.Repeat("k", 10_000), "", "/fits/?X-Api-Key=" + known, ""},
		{http.MethodDelete, known + " ", "", "/fits/5c0e7a21d94b36f8", ""},
		{http.MethodPut, "x", "", "/none", "x"},
	} {
		f.Add(seed.method, seed.key, seed.second, seed.path, seed.body)
	}
	p, err := emulator.Start(emulator.Options{Customers: []emulator.Customer{{Name: "north", Keys: []string{known}}}})
	NewWithT(f).Expect(err).NotTo(HaveOccurred())
	f.Cleanup(p.Close)
	var handler http.Handler
	f.Fuzz(func(t *testing.T, method, key, second, path, body string) {
		if handler == nil {
			p.PutConfig(1)
			h, _ := newTestHost(t, p)
			items, _, err := h.store.List(t.Context(), "op/")
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			h.applyOperatorItems(items)
			handler = h.jobHandler()
		}
		r, err := http.NewRequest(method, "http://"+emulator.QueueHost, strings.NewReader(body))
		if err != nil {
			return // no such method
		}
		r.URL.Path, r.Host = path, emulator.QueueHost
		r.Header.Set("X-Deadline-Ms", "1")
		if key != "" {
			r.Header.Add("X-Api-Key", key)
		}
		if second != "" {
			r.Header.Add("X-Api-Key", second)
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		admitted := key == known && second == "" || second == known && key == ""
		if w.Code < http.StatusBadRequest && !admitted {
			t.Fatalf("%s %q with keys %q and %q: got %d", method, path, key, second, w.Code)
		}
		if got := p.Store.Values("foldarch/"); len(got) > 0 {
			t.Fatalf("stored: %q", got)
		}
	})
}
