package poolowner

import (
	"testing"

	"foldarch.dev/foldarch/pkg/upkeep"
	"foldarch.dev/foldarch/platform"
	. "github.com/onsi/gomega"
)

// Guards against a wave that is shown as completed although a machine never had its upkeep: the operator wrote
// the wave again with one more machine as the owner stored that the earlier request was completed.
func TestCompletionOfAnEarlierRequestIsNotShown(t *testing.T) {
	f := newUpkeepFixture(t)
	first := f.request("m1")
	f.o.PutWave(first)
	f.request("m1", "m2")
	f.o.writeWaveState(t.Context(), upkeep.StateUpdate{Wave: 1, Revision: first.Revision, State: upkeep.WaveCompleted})
	f.Expect(f.shownState()).To(BeEmpty())
}

// Guards against a wave that stays shown as completed although a machine never had its upkeep: the operator
// wrote the wave again with one more machine, and then another host became the owner.
func TestNewOwnerIgnoresTheCompletionOfAnEarlierRequest(t *testing.T) {
	f := newUpkeepFixture(t)
	f.request("m1")
	f.p.Store.Put(platform.WaveStatusKey(1), platform.WaveStatus(upkeep.WaveCompleted))
	f.o.PutWave(f.request("m1", "m2"))
	f.Expect(f.advance()).To(Equal(upkeep.WaveRunning))
	f.Expect(f.orders()).To(Equal([]string{"m1", "m2"}))
	f.Eventually(f.advance, "5s", "100ms").Should(Equal(upkeep.WaveCompleted))
}
