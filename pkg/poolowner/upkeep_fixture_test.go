package poolowner

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"

	"foldarch.dev/foldarch/pkg/upkeep"
	"foldarch.dev/foldarch/platform"
	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

// upkeepFixture is an owner whose machine service has the machines m1 and m2, which are always listed as up.
type upkeepFixture struct {
	*WithT
	o *Owner
	p *emulator.Platform

	mu      sync.Mutex
	ordered []string // machines, in the order of the calls
	status  int      // of the answers to orders
	body    string   // of the answers to orders
	silent  bool     // orders get no answer
}

func newUpkeepFixture(t *testing.T) *upkeepFixture {
	f := &upkeepFixture{WithT: NewWithT(t), status: http.StatusOK}
	f.o, f.p, _ = newOwnerOnEmulator(t)
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	f.o.deps.Machines = platform.NewMachineClient(netip.MustParseAddrPort(s.Listener.Addr().String()))
	return f
}

func (f *upkeepFixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.URL.Path != "/machine-upkeep" {
		_, _ = w.Write([]byte(`{"machineFailures":[{"machine":"m1","state":"up","id":"i-1"},{"machine":"m2","state":"up","id":"i-2"}],"nextToken":null}`))
		return
	}
	var body struct {
		Machine string `json:"machine"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	f.ordered = append(f.ordered, body.Machine)
	if f.silent {
		<-r.Context().Done()
		return
	}
	w.WriteHeader(f.status)
	_, _ = w.Write([]byte(f.body))
}

// answer sets how orders are answered.
func (f *upkeepFixture) answer(status int, body string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status, f.body = status, body
}

func (f *upkeepFixture) orders() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.ordered)
}

// request writes a request of wave 1 into the store, as the operator does, and returns it.
func (f *upkeepFixture) request(machines ...upkeep.MachineID) upkeep.Wave {
	text, err := json.Marshal(map[string]any{"rolloutWave": 1, "machineFailures": machines, "durationS": 60, "maxTasks": 3})
	f.Expect(err).NotTo(HaveOccurred())
	f.p.Store.Put(platform.WaveKey(1), text)
	item, err := f.o.deps.Store.Read(context.Background(), platform.WaveKey(1))
	f.Expect(err).NotTo(HaveOccurred())
	w, ok, err := platform.ParseWave(item)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(ok).To(BeTrue())
	return w
}

func (f *upkeepFixture) shownState() string {
	return platform.ParseWaveStatus(f.p.Store.Value(platform.WaveStatusKey(1)))
}

// advance advances the upkeep by one step and returns the state of wave 1 that is shown.
func (f *upkeepFixture) advance() string {
	f.o.advanceUpkeep(context.Background())
	return f.shownState()
}
