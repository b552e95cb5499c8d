package jobhost

import (
	"testing"

	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/platform"
	. "github.com/onsi/gomega"
)

// Guards against tasks that are started a second time: an owner must not rely on recorded workers if an
// owner in between did not record them.
func TestRecordWorkersFromTermHasNoGap(t *testing.T) {
	for name, test := range map[string]struct {
		rate     float64
		previous string
		want     int64
	}{
		"first owner":                                 {1200, `{}`, 7},
		"previous owner recorded from a term on":      {1200, `{"term":6,"named_from":3}`, 3},
		"previous owner did not record":               {1200, `{"term":6}`, 7},
		"store just fast enough":                      {1000, `{"term":6}`, 7},
		"store too slow":                              {400, `{"term":6}`, 0},
		"store too slow after an owner that recorded": {999, `{"term":6,"named_from":3}`, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := &Host{}
			cfg := platform.Settings{}
			cfg.Store.WritesPerSecond = test.rate
			h.cfg.Store(&cfg)
			record, err := jobstore.DecodeOwnerRecord([]byte(test.previous))
			g.Expect(err).NotTo(HaveOccurred())
			h.election.ownerRecord = record
			g.Expect(h.recordWorkersFromTerm(7)).To(Equal(test.want))
		})
	}
}
