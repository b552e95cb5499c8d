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

// The service of machines takes so many orders a second and answers 429 to more. An order that it refused so counted as one that it may have carried out;
// when the machine was still up 3 s later, it counted as one that had had its upkeep, and the wave was shown as completed. Found by a review, without a
// play of it.
func TestMachineWhoseUpkeepWasRefusedIsNotDone(t *testing.T) {
	g := NewWithT(t)
	o, p, _ := ownerOfEmulated(t)
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
	o.deps.Machines = platform.NewMachines(netip.MustParseAddrPort(s.Listener.Addr().String()))
	o.PutWave(upkeep.Wave{Number: 1, Machines: []upkeep.MachineID{"m1"}, Duration: time.Minute, AtOnce: 1})
	known := map[int64]bool{}
	state := func() string {
		o.upkeepOnce(t.Context(), known)
		return platform.ParseWaveStatus(p.Store.Value(platform.WaveStatusKey(1)))
	}
	g.Consistently(state, 4*time.Second, 200*time.Millisecond).Should(Equal(upkeep.Running), "all orders were refused")
	g.Expect(orders.Load()).To(BeNumerically(">", 1), "it is asked for again")
}
