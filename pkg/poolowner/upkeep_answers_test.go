package poolowner

import (
	"net/http"
	"testing"

	"foldarch.dev/foldarch/pkg/upkeep"
	. "github.com/onsi/gomega"
)

// Only a 200 says that an upkeep has begun. Guards against taking another answer for it, and so for a wave
// shown as completed although a machine never had its upkeep.
func TestOnlyAConfirmationCompletesAnUpkeep(t *testing.T) {
	for _, answer := range []struct {
		status int
		body   string
	}{
		{http.StatusConflict, `{"reason":"busy"}`},
		{http.StatusConflict, `{"reason":"wave"}`},
		{http.StatusConflict, `{"reason":"fence"}`},
		{http.StatusConflict, ``},
		{http.StatusBadRequest, ``},
		{http.StatusTooManyRequests, ``},
		{http.StatusServiceUnavailable, ``},
		{http.StatusInternalServerError, ``},
	} {
		t.Run(http.StatusText(answer.status)+answer.body, func(t *testing.T) {
			t.Parallel()
			f := newUpkeepFixture(t)
			f.answer(answer.status, answer.body)
			f.o.PutWave(f.request("m1", "m2"))
			f.Consistently(f.advance, "4s", "200ms").Should(Equal(upkeep.WaveRunning))
			f.Expect(len(f.orders())).To(BeNumerically(">", 2), "orders are repeated")
			f.answer(http.StatusOK, "")
			f.Eventually(f.advance, "8s", "200ms").Should(Equal(upkeep.WaveCompleted))
		})
	}
}
