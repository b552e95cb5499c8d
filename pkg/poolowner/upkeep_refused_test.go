package poolowner

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/upkeep"
	"foldarch.dev/foldarch/platform"
	. "github.com/onsi/gomega"
)

// The platform's machine service accepts a limited number of orders per second and answers 429 to more.
// Guards against counting such a refusal as an order that may have taken effect: a machine that was
// still up 3 s later then counted as done, and the wave was written as completed.
func TestRefusedUpkeepDoesNotCompleteTheMachine(t *testing.T) {
	g := NewWithT(t)
	o, p, _ := newOwnerOnEmulator(t)
	var orders atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/machine-upkeep" {
			orders.Add(1)
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		_, _ = w.Write([]byte(`{"machineFailures":[{"machine":"m1","pool":"pool","state":"up","id":"i-1"}],"nextToken":null}`))
	}))
	t.Cleanup(s.Close)
	o.deps.Machines = platform.NewMachineClient(netip.MustParseAddrPort(s.Listener.Addr().String()))
	o.PutWave(upkeep.Wave{Number: 1, Machines: []upkeep.MachineID{"m1"}, Duration: time.Minute, MaxUnavailable: 1})
	state := func() string {
		o.advanceUpkeep(t.Context())
		return platform.ParseWaveStatus(p.Store.Value(platform.WaveStatusKey(1)))
	}
	g.Consistently(state, 4*time.Second, 200*time.Millisecond).Should(Equal(upkeep.WaveRunning), "all orders are refused")
	g.Expect(orders.Load()).To(BeNumerically(">", 1), "the order is repeated")
}
