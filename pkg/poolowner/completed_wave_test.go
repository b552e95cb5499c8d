package poolowner

import (
	"net/http"
	"testing"

	"foldarch.dev/foldarch/pkg/upkeep"
	"foldarch.dev/foldarch/platform"
	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

// Guards against a worker that stays closed, and tasks that are moved off it, for a wave that a previous owner
// has completed: a new owner ordered its first machines before it read the stored state.
func TestNewOwnerOrdersNothingForACompletedWave(t *testing.T) {
	f := newUpkeepFixture(t)
	w := f.request("m1", "m2")
	f.p.Store.Put(platform.WaveStatusKey(1), platform.WaveStatus(upkeep.WaveCompleted))
	f.o.PutWave(w)
	for range 3 {
		f.advance()
	}
	f.Expect(f.orders()).To(BeEmpty())
	f.Expect(f.o.hasCordons).To(BeFalse())
}

// Guards against a wave that is carried out again, or never, as its stored state can't be read for a while.
func TestWaveWaitsForItsStoredState(t *testing.T) {
	f := newUpkeepFixture(t)
	f.o.PutWave(f.request("m1", "m2"))
	f.p.Store.SetMode(emulator.StoreBusy)
	f.advance()
	f.Expect(f.orders()).To(BeEmpty())
	f.p.Store.SetMode(emulator.StoreUp)
	f.Eventually(f.advance, "5s", "100ms").Should(Equal(upkeep.WaveCompleted))
}

// Guards against workers that stay closed after the operator has withdrawn the only wave.
func TestWithdrawnWaveOpensItsWorkers(t *testing.T) {
	f := newUpkeepFixture(t)
	f.answer(http.StatusConflict, `{"reason":"busy"}`)
	f.o.PutWave(f.request("m1", "m2"))
	f.advance()
	f.Expect(f.o.hasCordons).To(BeTrue())
	f.o.RemoveWave(1)
	f.advance()
	f.Expect(f.o.hasCordons).To(BeFalse())
}
